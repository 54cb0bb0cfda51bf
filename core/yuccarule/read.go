package yuccarule

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// statement is a rule that was read without a fault, with the line it is from.
type statement struct {
	rule any
	line line
}

// keywords maps the first word of a line to what reads the rest.
var keywords = map[string]func(*reader, *Rules) any{
	"region":  readRegion,
	"link":    readLink,
	"service": readService,
	"cap":     readCap,
	"shift":   readShift,
	"drain":   readDrain,
	"event":   readEvent,
	"goal":    readGoal,
	"site":    readSite,
	"block":   readBlock,
}

func readRule(r *reader, rules *Rules) any {
	w := r.line.words[0]
	r.next = 1
	read, ok := keywords[w.text]
	if !ok {
		r.fail(w.column, fmt.Sprintf("unknown rule %q", w.text), "one of "+strings.Join(keywordNames(), ", "))
		r.next = len(r.line.words)
		return nil
	}
	return read(r, rules)
}

func keywordNames() []string {
	names := make([]string, 0, len(keywords))
	for name := range keywords {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func readRegion(r *reader, rules *Rules) any {
	v := Region{Name: r.name("a region's name"), Domains: r.names("domains"), Source: r.note()}
	return keep(r, &rules.Regions, v)
}

func readLink(r *reader, rules *Rules) any {
	v := Link{A: r.name("a region's name"), B: r.name("another region's name"), Bandwidth: r.rate("cap"), Source: r.note()}
	return keep(r, &rules.Links, v)
}

func readService(r *reader, rules *Rules) any {
	v := Service{Name: r.name("a service's name"), Hosts: r.hosts("host"), Regions: r.names("regions"), Priority: r.weight("weight"), Source: r.note()}
	return keep(r, &rules.Services, v)
}

func readCap(r *reader, rules *Rules) any {
	v := ShiftLimit{Service: r.name("a service's name"), Step: r.share("step"), Window: r.duration("every"), Source: r.note()}
	return keep(r, &rules.ShiftLimits, v)
}

func readShift(r *reader, rules *Rules) any {
	v := Shift{Service: r.name("a service's name"), From: r.nameOf("from"), To: r.nameOf("to"), Share: r.share("share"), Source: r.note()}
	return keep(r, &rules.Shifts, v)
}

func readDrain(r *reader, rules *Rules) any {
	v := Drain{Kind: r.drainKind(), Source: r.note()}
	if v.Kind == DrainServer {
		v.Name = r.server()
	} else {
		v.Name = r.name("a region's name")
	}
	return keep(r, &rules.Drains, v)
}

func readEvent(r *reader, rules *Rules) any {
	v := Peak{
		Name:    r.name("an event's name"),
		Service: r.nameOf("service"),
		Start:   r.time("start"),
		Lead:    r.duration("lead"),
		Length:  r.duration("length"),
		Factor:  r.factor("factor"),
		Source:  r.note(),
	}
	return keep(r, &rules.Peaks, v)
}

func readGoal(r *reader, rules *Rules) any {
	v := Goal{Service: r.name("a service's name"), Latency: r.duration("latency"), Share: r.share("share"), Window: r.window("window"), Source: r.note()}
	return keep(r, &rules.Goals, v)
}

func readSite(r *reader, rules *Rules) any {
	v := Site{Name: r.name("a site's name"), Region: r.nameOf("region"), Source: r.note()}
	return keep(r, &rules.Sites, v)
}

func readBlock(r *reader, rules *Rules) any {
	v := CIDRBlock{Prefix: r.prefix(), Site: r.nameOf("site"), Source: r.note()}
	return keep(r, &rules.Blocks, v)
}

func keep[T any](r *reader, list *[]T, v T) any {
	if len(r.faults) == 0 {
		*list = append(*list, v)
	}
	return v
}

// reader takes the words of one line in turn and collects what is wrong.
type reader struct {
	file   string
	line   line
	next   int
	used   []string
	faults []Problem
}

func (r *reader) fail(column int, wrong, right string) {
	r.faults = append(r.faults, Problem{r.file, r.line.number, column, wrong, right})
}

func (r *reader) note() Source { return Source{Requester: r.line.who, Line: r.line.number} }

// column returns where a missing word would stand.
func (r *reader) column() int {
	last := r.line.words[len(r.line.words)-1]
	return last.column + len([]rune(last.text))
}

// word takes the next word, which must not be a key.
func (r *reader) word(right string) (word, bool) {
	if r.next >= len(r.line.words) || strings.Contains(r.line.words[r.next].text, "=") {
		r.fail(r.column(), "a word is missing", right)
		return word{}, false
	}
	w := r.line.words[r.next]
	r.next++
	return w, true
}

// value takes the value of a key.
func (r *reader) value(key, right string) (word, bool) {
	w, ok := r.optional(key)
	if !ok {
		r.fail(r.column(), fmt.Sprintf("%s= is missing", key), key+"="+right)
	}
	return w, ok
}

func (r *reader) optional(key string) (word, bool) {
	r.used = append(r.used, key)
	for _, w := range r.line.words[1:] {
		name, text, ok := strings.Cut(w.text, "=")
		if ok && name == key {
			return word{text, w.column + len([]rune(key)) + 1}, true
		}
	}
	return word{}, false
}

// end reports the words that nothing took and the keys given twice.
func (r *reader) end() {
	seen := map[string]bool{}
	for i, w := range r.line.words {
		key, _, isKey := strings.Cut(w.text, "=")
		switch {
		case i == 0:
		case !isKey && i >= r.next:
			r.fail(w.column, fmt.Sprintf("unexpected word %q", w.text), "key=value")
		case isKey && r.used != nil && !slices.Contains(r.used, key):
			r.fail(w.column, fmt.Sprintf("unknown key %q", key), "one of "+strings.Join(r.used, ", "))
		case isKey && seen[key]:
			r.fail(w.column, fmt.Sprintf("key %q stands twice", key), "each key once")
		}
		seen[key] = seen[key] || isKey
	}
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
)

const (
	nameRight = "lower-case letters, digits, dots and dashes, at most 63"
	hostRight = "a host name in lower case without a port"
)

func (r *reader) name(right string) string {
	w, ok := r.word(right)
	if ok && !namePattern.MatchString(w.text) {
		r.fail(w.column, fmt.Sprintf("%q is not a name", w.text), nameRight)
	}
	return w.text
}

func (r *reader) nameOf(key string) string {
	w, ok := r.value(key, "NAME")
	if ok && !namePattern.MatchString(w.text) {
		r.fail(w.column, fmt.Sprintf("%q is not a name", w.text), nameRight)
	}
	return w.text
}

func (r *reader) names(key string) []string {
	return r.list(key, "NAME,NAME", namePattern, nameRight)
}

func (r *reader) hosts(key string) []string {
	return r.list(key, "HOST,HOST", hostPattern, hostRight)
}

func (r *reader) list(key, shape string, pattern *regexp.Regexp, right string) []string {
	w, ok := r.value(key, shape)
	if !ok {
		return nil
	}
	items := strings.Split(w.text, ",")
	column := w.column
	for i, item := range items {
		if !pattern.MatchString(item) {
			r.fail(column, fmt.Sprintf("%q is not allowed here", item), right)
		}
		if slices.Contains(items[:i], item) {
			r.fail(column, fmt.Sprintf("%q stands twice", item), "each once")
		}
		column += len([]rune(item)) + 1
	}
	return items
}

func (r *reader) rate(key string) Rate {
	return valueOf(r, key, "a rate such as 4Gbit, 500Mbit or 10kbit", parseRate)
}

func (r *reader) share(key string) Share {
	return valueOf(r, key, "a share above 0% and up to 100%, such as 12.5%", parseShare)
}

func (r *reader) duration(key string) time.Duration {
	return valueOf(r, key, "a duration such as 300ms, 45m, 4h or 30d, at most 3650d", parseDuration)
}

// maxWindow is the longest window of a goal.
const maxWindow = 90 * day

func (r *reader) window(key string) time.Duration {
	return valueOf(r, key, "a duration of at most 90d, such as 30d", func(text string) (time.Duration, error) {
		d, err := parseDuration(text)
		if err == nil && d > maxWindow {
			err = fmt.Errorf("%q is too long a window", text)
		}
		return d, err
	})
}

func (r *reader) time(key string) time.Time {
	return valueOf(r, key, "a time such as 2027-03-27T20:00:00Z", func(text string) (time.Time, error) {
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return t, fmt.Errorf("%q is not a time", text)
		}
		return t.UTC(), nil
	})
}

const (
	maxFactor = 1000.0
	maxWeight = 1000
)

func (r *reader) factor(key string) float64 {
	return valueOf(r, key, "a number above 0 and up to 1000", func(text string) (float64, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f > 0 && f <= maxFactor) {
			return 0, fmt.Errorf("%q is not a factor", text)
		}
		return f, nil
	})
}

func (r *reader) weight(key string) int {
	w, ok := r.optional(key)
	if !ok {
		return 1
	}
	n, err := strconv.Atoi(w.text)
	if err != nil || n < 1 || n > maxWeight {
		r.fail(w.column, fmt.Sprintf("%q is not a weight", w.text), "a whole number from 1 to 1000")
	}
	return n
}

func valueOf[T any](r *reader, key, right string, parse func(string) (T, error)) T {
	var zero T
	w, ok := r.value(key, right)
	if !ok {
		return zero
	}
	v, err := parse(w.text)
	if err != nil {
		r.fail(w.column, err.Error(), right)
	}
	return v
}

func (r *reader) drainKind() DrainKind {
	w, ok := r.word("region or server")
	kind := DrainKind(w.text)
	if ok && kind != DrainRegion && kind != DrainServer {
		r.fail(w.column, fmt.Sprintf("%q cannot be drained", w.text), "region or server")
	}
	return kind
}

func (r *reader) server() string {
	w, ok := r.word("a server's address such as 10.0.0.7:80")
	if !ok {
		return ""
	}
	if _, err := netip.ParseAddrPort(w.text); err != nil {
		r.fail(w.column, fmt.Sprintf("%q is not an address", w.text), "an address such as 10.0.0.7:80")
	}
	return w.text
}

func (r *reader) prefix() netip.Prefix {
	w, ok := r.word("a prefix such as 10.20.0.0/16")
	if !ok {
		return netip.Prefix{}
	}
	p, err := netip.ParsePrefix(w.text)
	if err != nil || p != p.Masked() || p.Addr().Is4In6() {
		r.fail(w.column, fmt.Sprintf("%q is not a prefix", w.text), "a prefix such as 10.20.0.0/16, without bits set behind its length")
	}
	return p
}
