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

// statement is a rule without a problem, with the line it is from.
type statement struct {
	// rule is a Region, Link, Service, ShiftLimit, Shift, Drain, Peak, Goal, Site
	// or CIDRBlock.
	rule any
	line line
}

// keywords maps the first word of a line to the function that reads the rest.
var keywords = map[string]func(*reader, *Rules) any{
	"region":  readRegion,
	"link":    readLink,
	"service": readService,
	"cap":     readShiftLimit,
	"shift":   readShift,
	"drain":   readDrain,
	"event":   readPeak,
	"goal":    readGoal,
	"site":    readSite,
	"block":   readBlock,
}

func readRule(r *reader, rules *Rules) any {
	w := r.line.words[0]
	r.next = 1
	read, ok := keywords[w.text]
	if !ok {
		r.report(w.column, fmt.Sprintf("unknown rule %q", w.text), "one of "+strings.Join(keywordNames(), ", "))
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
	v := Region{Name: r.name("a region's name"), Domains: r.names("domains"), Source: r.source()}
	return appendRule(r, &rules.Regions, v)
}

func readLink(r *reader, rules *Rules) any {
	v := Link{A: r.name("a region's name"), B: r.name("another region's name"), Bandwidth: r.rate("cap"), Source: r.source()}
	return appendRule(r, &rules.Links, v)
}

func readService(r *reader, rules *Rules) any {
	v := Service{Name: r.name("a service's name"), Hosts: r.hosts("host"), Regions: r.names("regions"), Priority: r.priority("weight"), Source: r.source()}
	return appendRule(r, &rules.Services, v)
}

func readShiftLimit(r *reader, rules *Rules) any {
	v := ShiftLimit{Service: r.name("a service's name"), Step: r.share("step"), Window: r.duration("every"), Source: r.source()}
	return appendRule(r, &rules.ShiftLimits, v)
}

func readShift(r *reader, rules *Rules) any {
	v := Shift{Service: r.name("a service's name"), From: r.nameValue("from"), To: r.nameValue("to"), Share: r.share("share"), Source: r.source()}
	return appendRule(r, &rules.Shifts, v)
}

func readDrain(r *reader, rules *Rules) any {
	v := Drain{Kind: r.drainKind(), Source: r.source()}
	if v.Kind == DrainServer {
		v.Name = r.server()
	} else {
		v.Name = r.name("a region's name")
	}
	return appendRule(r, &rules.Drains, v)
}

func readPeak(r *reader, rules *Rules) any {
	v := Peak{
		Name:    r.name("an event's name"),
		Service: r.nameValue("service"),
		Start:   r.time("start"),
		Lead:    r.duration("lead"),
		Length:  r.duration("length"),
		Factor:  r.factor("factor"),
		Source:  r.source(),
	}
	return appendRule(r, &rules.Peaks, v)
}

func readGoal(r *reader, rules *Rules) any {
	v := Goal{Service: r.name("a service's name"), Latency: r.duration("latency"), Share: r.share("share"), Window: r.window("window"), Source: r.source()}
	return appendRule(r, &rules.Goals, v)
}

func readSite(r *reader, rules *Rules) any {
	v := Site{Name: r.name("a site's name"), Region: r.nameValue("region"), Source: r.source()}
	return appendRule(r, &rules.Sites, v)
}

func readBlock(r *reader, rules *Rules) any {
	v := CIDRBlock{Prefix: r.prefix(), Site: r.nameValue("site"), Source: r.source()}
	return appendRule(r, &rules.Blocks, v)
}

// appendRule adds the rule to the list when its line has no problem.
func appendRule[T any](r *reader, list *[]T, v T) any {
	if len(r.problems) == 0 {
		*list = append(*list, v)
	}
	return v
}

// reader reads the words of one line in order and collects its problems.
type reader struct {
	file string
	line line
	// next is the index of the next word.
	next int
	// keys are the keys that the rule may have.
	keys     []string
	problems []Problem
}

func (r *reader) report(column int, message, expected string) {
	r.problems = append(r.problems, Problem{r.file, r.line.number, column, message, expected})
}

func (r *reader) source() Source { return Source{Requester: r.line.requester, Line: r.line.number} }

// endColumn returns the column after the last word, where a missing word belongs.
func (r *reader) endColumn() int {
	last := r.line.words[len(r.line.words)-1]
	return last.column + len([]rune(last.text))
}

// word returns the next word, which must not be a key. It reports a problem when
// there is none.
func (r *reader) word(expected string) (word, bool) {
	if r.next >= len(r.line.words) || strings.Contains(r.line.words[r.next].text, "=") {
		r.report(r.endColumn(), "a word is missing", expected)
		return word{}, false
	}
	w := r.line.words[r.next]
	r.next++
	return w, true
}

// value returns the value of a key. It reports a problem when the key is missing.
func (r *reader) value(key, expected string) (word, bool) {
	w, ok := r.optional(key)
	if !ok {
		r.report(r.endColumn(), fmt.Sprintf("%s= is missing", key), key+"="+expected)
	}
	return w, ok
}

// optional returns the value of a key and reports whether the line has the key.
func (r *reader) optional(key string) (word, bool) {
	r.keys = append(r.keys, key)
	for _, w := range r.line.words[1:] {
		name, text, ok := strings.Cut(w.text, "=")
		if ok && name == key {
			return word{text, w.column + len([]rune(key)) + 1}, true
		}
	}
	return word{}, false
}

// checkUnused reports words and keys that the rule must not have, and keys that
// occur twice.
func (r *reader) checkUnused() {
	seen := map[string]bool{}
	for i, w := range r.line.words {
		key, _, isKey := strings.Cut(w.text, "=")
		switch {
		case i == 0:
		case !isKey && i >= r.next:
			r.report(w.column, fmt.Sprintf("unexpected word %q", w.text), "key=value")
		case isKey && r.keys != nil && !slices.Contains(r.keys, key):
			r.report(w.column, fmt.Sprintf("unknown key %q", key), "one of "+strings.Join(r.keys, ", "))
		case isKey && seen[key]:
			r.report(w.column, fmt.Sprintf("key %q is given twice", key), "each key once")
		}
		seen[key] = seen[key] || isKey
	}
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
)

const (
	nameExpected = "lower-case letters, digits, dots, dashes and underscores, at most 63, a letter or digit first"
	hostExpected = "a host name in lower case without a port"
)

func (r *reader) name(expected string) string {
	w, ok := r.word(expected)
	if ok && !namePattern.MatchString(w.text) {
		r.report(w.column, fmt.Sprintf("%q is not a name", w.text), nameExpected)
	}
	return w.text
}

// nameValue returns the name that a key has as its value.
func (r *reader) nameValue(key string) string {
	w, ok := r.value(key, "NAME")
	if ok && !namePattern.MatchString(w.text) {
		r.report(w.column, fmt.Sprintf("%q is not a name", w.text), nameExpected)
	}
	return w.text
}

func (r *reader) names(key string) []string {
	return r.list(key, "NAME,NAME", namePattern, nameExpected)
}

func (r *reader) hosts(key string) []string {
	return r.list(key, "HOST,HOST", hostPattern, hostExpected)
}

// list returns the values of a key, which are separated by commas.
func (r *reader) list(key, format string, pattern *regexp.Regexp, expected string) []string {
	w, ok := r.value(key, format)
	if !ok {
		return nil
	}
	items := strings.Split(w.text, ",")
	column := w.column
	for i, item := range items {
		if !pattern.MatchString(item) {
			r.report(column, fmt.Sprintf("%q is not allowed here", item), expected)
		}
		if slices.Contains(items[:i], item) {
			r.report(column, fmt.Sprintf("%q is given twice", item), "each value once")
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
			err = fmt.Errorf("%q is too long for a window", text)
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
	// maxFactor is the largest Peak.Factor.
	maxFactor = 1000.0
	// maxPriority is the largest Service.Priority.
	maxPriority = 1000
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

func (r *reader) priority(key string) int {
	w, ok := r.optional(key)
	if !ok {
		return 1
	}
	n, err := strconv.Atoi(w.text)
	if err != nil || n < 1 || n > maxPriority {
		r.report(w.column, fmt.Sprintf("%q is not a weight", w.text), "a whole number from 1 to 1000")
	}
	return n
}

// valueOf returns the parsed value of a key, zero when there is none.
func valueOf[T any](r *reader, key, expected string, parse func(string) (T, error)) T {
	var zero T
	w, ok := r.value(key, expected)
	if !ok {
		return zero
	}
	v, err := parse(w.text)
	if err != nil {
		r.report(w.column, err.Error(), expected)
	}
	return v
}

func (r *reader) drainKind() DrainKind {
	w, ok := r.word("region or server")
	kind := DrainKind(w.text)
	if ok && kind != DrainRegion && kind != DrainServer {
		r.report(w.column, fmt.Sprintf("%q cannot be drained", w.text), "region or server")
	}
	return kind
}

func (r *reader) server() string {
	w, ok := r.word("a server's address such as 10.0.0.7:80")
	if !ok {
		return ""
	}
	if _, err := netip.ParseAddrPort(w.text); err != nil {
		r.report(w.column, fmt.Sprintf("%q is not an address", w.text), "an address such as 10.0.0.7:80")
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
		r.report(w.column, fmt.Sprintf("%q is not a prefix", w.text), "a prefix such as 10.20.0.0/16, without bits set after the prefix length")
	}
	return p
}
