package yuccamembership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccawell.example/core/yuccastore"
)

const (
	// silentBeats is how many missed heartbeats make an entry silent.
	silentBeats = 3
	// listShare and silenceShare bound which part of the instances of a kind the
	// list, and which part of the entries silence, may take out of use.
	listShare    = 4
	silenceShare = 3
	// removalWindow is the time to which the bound on removals by the list
	// applies.
	removalWindow = 10 * time.Second
	// goneFor is how long other failure domains are told of a removed entry.
	goneFor = 2 * time.Minute
)

// Heartbeat is what is known of an entry from its heartbeats.
type Heartbeat struct {
	Name string
	// Incarnation rises with every run under the same name. It is zero when a summary
	// told of the entry.
	Incarnation uint64
	// At is when the heartbeat arrived and Next how long the following one
	// takes at most.
	At   time.Time
	Next time.Duration
	// Rules, Plan and Epoch are the versions in force at the entry.
	Rules, Plan, Epoch uint64
	// List is a hash of the platform's list as the entry knows it.
	List uint64
	// ReadsPlatform reports that the entry reads the platform itself.
	ReadsPlatform bool
	Leaving       bool
}

// Silent reports whether heartbeats are missing.
func (b Heartbeat) Silent(now time.Time) bool { return now.Sub(b.At) > silentBeats*b.Next }

type goneEntry struct {
	domain string
	until  time.Time
	beat   Heartbeat
}

// Tracker joins the platform's list, which is late, with heartbeats, which are
// early and may be wrong. Neither alone takes many instances out of use at
// once. It holds no clock: every method is told the time. Make one with
// NewTracker.
type Tracker struct {
	known  map[string]yuccastore.Instance
	listed map[string]bool
	beats  map[string]Heartbeat
	marks  map[string]uint64
	// gone holds the last heartbeats of entries that were removed of late.
	gone map[string]goneEntry
	// view is the last one made, of the entries in lost as silent; dirty is set
	// when something else has changed since.
	view  View
	lost  []string
	dirty bool

	window  time.Time
	removed map[yuccastore.Kind]int
}

// NewTracker returns a picture without instances.
func NewTracker() *Tracker {
	return &Tracker{known: map[string]yuccastore.Instance{}, listed: map[string]bool{}, beats: map[string]Heartbeat{}, marks: map[string]uint64{}, gone: map[string]goneEntry{}}
}

// UpdateList takes the platform's list. Instances that it no longer holds are removed
// a bounded number at a time, unless heartbeats agree that they are gone.
func (m *Tracker) UpdateList(now time.Time, list []yuccastore.Instance) {
	m.dirty = true
	m.listed = make(map[string]bool, len(list))
	for _, i := range list {
		m.known[i.Name] = i
		m.listed[i.Name] = true
	}
	m.prune(now)
}

func (m *Tracker) prune(now time.Time) {
	if now.Sub(m.window) > removalWindow {
		m.window, m.removed = now, map[yuccastore.Kind]int{}
	}
	count := map[yuccastore.Kind]int{}
	for _, i := range m.known {
		count[i.Kind]++
	}
	for _, name := range m.missing() {
		beat, heard := m.beats[name]
		kind := m.known[name].Kind
		allowed := max(1, (count[kind]+m.removed[kind])/listShare)
		switch {
		case heard && beat.Silent(now):
			m.forget(name, now)
		case !heard && m.removed[kind] < allowed:
			m.removed[kind]++
			count[kind]--
			m.forget(name, now)
		}
	}
}

func (m *Tracker) forget(name string, now time.Time) {
	if b, heard := m.beats[name]; heard {
		m.gone[name] = goneEntry{m.known[name].Domain, now.Add(goneFor), b}
	}
	m.dirty = true
	delete(m.known, name)
	delete(m.beats, name)
}

func (m *Tracker) missing() []string {
	var names []string
	for name := range m.known {
		if !m.listed[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ObserveHeartbeat takes a heartbeat. One of an earlier run than the last is ignored.
func (m *Tracker) ObserveHeartbeat(b Heartbeat) {
	if old, ok := m.beats[b.Name]; ok && b.Incarnation < old.Incarnation {
		return
	}
	m.put(b)
}

// put keeps a heartbeat.
func (m *Tracker) put(b Heartbeat) {
	old := m.beats[b.Name]
	m.dirty = m.dirty || old.Leaving != b.Leaving || old.Incarnation != b.Incarnation
	m.beats[b.Name] = b
}

// DomainState is what a summary tells of the members of a failure domain.
type DomainState struct {
	// Hash depends on the names of all members, in any order.
	Hash uint64
	// Beats holds the last heartbeat of every member. One that was never heard
	// has a heartbeat of the distant past, and so has one removed of late.
	Beats []Heartbeat
}

// DomainState returns what is known of a failure domain for a summary.
func (m *Tracker) DomainState(domain string, now time.Time) DomainState {
	c := DomainState{Hash: m.hash(domain)}
	for name, i := range m.known {
		if i.Domain == domain && i.Kind == yuccastore.KindEntry {
			b := m.beats[name]
			b.Name = name
			c.Beats = append(c.Beats, b)
		}
	}
	for name, g := range m.gone {
		_, back := m.known[name]
		if back || now.After(g.until) {
			delete(m.gone, name)
		} else if g.domain == domain {
			c.Beats = append(c.Beats, g.beat)
		}
	}
	slices.SortFunc(c.Beats, func(a, b Heartbeat) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

func (m *Tracker) hash(domain string) uint64 {
	hash := uint64(0)
	for name, i := range m.known {
		if i.Domain == domain && i.Kind == yuccastore.KindEntry {
			hash ^= xxhash.Sum64String(name)
		}
	}
	return hash
}

// ApplySummary takes what a summarizer says of its failure domain: the state of most
// members, and that of each that differs. When the summary covers other members
// than are known here, it says nothing of those never heard of.
func (m *Tracker) ApplySummary(domain string, members uint64, most Heartbeat, odd []Heartbeat) {
	agreed := m.hash(domain) == members
	for name, i := range m.known {
		if i.Domain != domain || i.Kind != yuccastore.KindEntry {
			continue
		}
		if _, heard := m.beats[name]; heard || agreed {
			b := most
			b.Name = name
			m.put(b)
		}
	}
	for _, b := range odd {
		if _, ok := m.known[b.Name]; ok {
			m.put(b)
		}
	}
}

// Mark takes the mark that an entry leaves on the platform when it stops; start
// is the run that left it.
func (m *Tracker) Mark(name string, start uint64) {
	m.marks[name] = start
	m.dirty = true
}

// Unmark takes a mark back.
func (m *Tracker) Unmark(name string) {
	delete(m.marks, name)
	m.dirty = true
}

// Heard returns what is known of an entry from heartbeats.
func (m *Tracker) Heard(name string) (Heartbeat, bool) {
	b, ok := m.beats[name]
	return b, ok
}

func (m *Tracker) leaving(i yuccastore.Instance) bool {
	b := m.beats[i.Name]
	mark, marked := m.marks[i.Name]
	return i.Leaving || b.Leaving || marked && mark >= b.Incarnation
}

// View returns the instances. Those that are leaving or silent are marked as
// leaving; of the silent ones only those that have been so for longest, up to
// the bound.
func (m *Tracker) View(now time.Time) View {
	m.prune(now)
	lost := m.silent(now)
	if !m.dirty && slices.Equal(lost, m.lost) {
		return m.view
	}
	m.dirty, m.lost = false, lost
	list := make([]yuccastore.Instance, 0, len(m.known))
	for _, i := range m.known {
		i.Leaving = m.leaving(i)
		list = append(list, i)
	}
	m.view = NewView(list).WithLeaving(lost...)
	return m.view
}

// silent returns the entries that silence takes out of use.
func (m *Tracker) silent(now time.Time) []string {
	var silent []Heartbeat
	entries := 0
	for name, i := range m.known {
		if i.Kind != yuccastore.KindEntry {
			continue
		}
		entries++
		if b, ok := m.beats[name]; ok && b.Silent(now) {
			silent = append(silent, b)
		}
	}
	slices.SortFunc(silent, func(a, b Heartbeat) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Name, b.Name)) })
	bound := max(1, (entries+silenceShare-1)/silenceShare)
	var names []string
	for _, b := range silent[:min(bound, len(silent))] {
		names = append(names, b.Name)
	}
	return names
}

// The states of an entry in a Report.
const (
	Live    = "live"
	Leaving = "leaving"
	Silent  = "silent"
	Unheard = "unheard"
)

// Report says which versions an entry has in force.
type Report struct {
	Name  string `json:"name"`
	Rules uint64 `json:"rules"`
	Plan  uint64 `json:"plan"`
	// Age is how long ago the entry said so, in seconds.
	Age   float64 `json:"age"`
	State string  `json:"state"`
}

// Reports returns a report on every entry, ordered by name.
func (m *Tracker) Reports(now time.Time) []Report {
	var all []Report
	for name, i := range m.known {
		if i.Kind == yuccastore.KindEntry {
			all = append(all, m.report(now, name, i))
		}
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (m *Tracker) report(now time.Time, name string, i yuccastore.Instance) Report {
	b, heard := m.beats[name]
	r := Report{Name: name, Rules: b.Rules, Plan: b.Plan, State: Live}
	switch {
	case !heard:
		r.State = Unheard
	case m.leaving(i):
		r.State = Leaving
	case b.Silent(now):
		r.State = Silent
	}
	if heard {
		r.Age = math.Round(now.Sub(b.At).Seconds()*1000) / 1000
	}
	return r
}
