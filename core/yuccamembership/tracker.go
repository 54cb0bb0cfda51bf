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
	// maxMissedHeartbeats is the number of heartbeat intervals without a
	// heartbeat after which an entry counts as silent.
	maxMissedHeartbeats = 3
	// listRemovalDivisor limits the removals by the list to one in this many
	// instances of a kind within removalWindow.
	listRemovalDivisor = 4
	// silenceDivisor limits the entries that are marked as leaving because they
	// are silent to one in this many.
	silenceDivisor = 3
	// removalWindow is the period to which the limit on removals by the list
	// applies.
	removalWindow = 10 * time.Second
	// removedRetention is how long summaries to other failure domains still
	// include a removed entry.
	removedRetention = 2 * time.Minute
)

// Heartbeat is the state of an entry according to its latest heartbeat.
type Heartbeat struct {
	// Name is the name of the entry.
	Name string
	// Incarnation increases with every start under the same name. It is zero
	// when the state comes from the common state of a summary.
	Incarnation uint64
	// At is when the heartbeat arrived.
	At time.Time
	// MaxInterval is the longest time until the following heartbeat.
	MaxInterval time.Duration
	// Rules is the version of the rules in force at the entry.
	Rules uint64
	// Plan is the version of the plan in force at the entry.
	Plan uint64
	// Epoch is the lease epoch of that plan.
	Epoch uint64
	// ListHash is a hash of the instance list as the entry knows it.
	ListHash uint64
	// ReadsPlatform reports whether the entry reads the platform itself.
	ReadsPlatform bool
	// Leaving reports whether the entry is stopping.
	Leaving bool
}

// Silent reports whether more than maxMissedHeartbeats intervals have passed
// since the heartbeat.
func (b Heartbeat) Silent(now time.Time) bool {
	return now.Sub(b.At) > maxMissedHeartbeats*b.MaxInterval
}

// removedEntry is a removed entry that summaries still include.
type removedEntry struct {
	// domain is the failure domain of the entry.
	domain string
	// until is when summaries stop including the entry.
	until time.Time
	// heartbeat is the last heartbeat of the entry.
	heartbeat Heartbeat
}

// Tracker combines the platform's instance list with the heartbeats of entries.
// The list shows a change late; heartbeats show it early but may be wrong.
// Neither source alone can take many instances out of use at once. The Tracker
// has no clock of its own: callers pass the time. It is not safe for concurrent
// use. Create one with NewTracker.
type Tracker struct {
	// instances holds every known instance by name.
	instances map[string]yuccastore.Instance
	// listed holds the names in the latest list.
	listed map[string]bool
	// heartbeats holds the latest heartbeat of each entry by name.
	heartbeats map[string]Heartbeat
	// leavingMarks holds the incarnation in the leaving mark of each entry that
	// has one.
	leavingMarks map[string]uint64
	// removedEntries holds the last heartbeats of recently removed entries.
	removedEntries map[string]removedEntry
	// lastView is the view that View returned last.
	lastView View
	// lastSilent holds the entries that lastView marks as leaving for silence.
	lastSilent []string
	// changed is set when anything but the silence of entries has changed since
	// lastView.
	changed bool

	// windowStart is the start of the current removalWindow.
	windowStart time.Time
	// removedInWindow counts the removals by the list in the current window.
	removedInWindow map[yuccastore.Kind]int
}

// NewTracker returns a Tracker without instances.
func NewTracker() *Tracker {
	return &Tracker{instances: map[string]yuccastore.Instance{}, listed: map[string]bool{}, heartbeats: map[string]Heartbeat{}, leavingMarks: map[string]uint64{}, removedEntries: map[string]removedEntry{}}
}

// UpdateList applies the instance list of the platform. It removes instances
// that are missing from the list at a limited rate. A missing entry whose
// heartbeats have stopped too is removed at once, and one that still sends
// heartbeats stays.
func (m *Tracker) UpdateList(now time.Time, list []yuccastore.Instance) {
	m.changed = true
	m.listed = make(map[string]bool, len(list))
	for _, i := range list {
		m.instances[i.Name] = i
		m.listed[i.Name] = true
	}
	m.removeUnlisted(now)
}

// removeUnlisted removes missing instances as UpdateList describes.
func (m *Tracker) removeUnlisted(now time.Time) {
	if now.Sub(m.windowStart) > removalWindow {
		m.windowStart, m.removedInWindow = now, map[yuccastore.Kind]int{}
	}
	count := map[yuccastore.Kind]int{}
	for _, i := range m.instances {
		count[i.Kind]++
	}
	for _, name := range m.unlisted() {
		heartbeat, known := m.heartbeats[name]
		kind := m.instances[name].Kind
		allowed := max(1, (count[kind]+m.removedInWindow[kind])/listRemovalDivisor)
		switch {
		case known && heartbeat.Silent(now):
			m.remove(name, now)
		case !known && m.removedInWindow[kind] < allowed:
			m.removedInWindow[kind]++
			count[kind]--
			m.remove(name, now)
		}
	}
}

// remove deletes an instance and keeps its last heartbeat for summaries.
func (m *Tracker) remove(name string, now time.Time) {
	if b, known := m.heartbeats[name]; known {
		m.removedEntries[name] = removedEntry{m.instances[name].Domain, now.Add(removedRetention), b}
	}
	m.changed = true
	delete(m.instances, name)
	delete(m.heartbeats, name)
}

// unlisted returns the known instances that are missing from the list, ordered
// by name.
func (m *Tracker) unlisted() []string {
	var names []string
	for name := range m.instances {
		if !m.listed[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ObserveHeartbeat applies a heartbeat. It ignores one of an earlier
// incarnation than the latest.
func (m *Tracker) ObserveHeartbeat(b Heartbeat) {
	if old, ok := m.heartbeats[b.Name]; ok && b.Incarnation < old.Incarnation {
		return
	}
	m.storeHeartbeat(b)
}

// storeHeartbeat replaces the latest heartbeat of an entry.
func (m *Tracker) storeHeartbeat(b Heartbeat) {
	old := m.heartbeats[b.Name]
	m.changed = m.changed || old.Leaving != b.Leaving || old.Incarnation != b.Incarnation
	m.heartbeats[b.Name] = b
}

// DomainState is the state of the members of a failure domain for a summary.
type DomainState struct {
	// Hash is a hash of the names of all members, independent of their order.
	Hash uint64
	// Heartbeats holds the latest heartbeat of every member and of recently
	// removed ones, ordered by name. A member that never sent one has a zero
	// heartbeat with only its name, which counts as silent.
	Heartbeats []Heartbeat
}

// DomainState returns the state of a failure domain for a summary.
func (m *Tracker) DomainState(domain string, now time.Time) DomainState {
	c := DomainState{Hash: m.membersHash(domain)}
	for name, i := range m.instances {
		if i.Domain == domain && i.Kind == yuccastore.KindEntry {
			b := m.heartbeats[name]
			b.Name = name
			c.Heartbeats = append(c.Heartbeats, b)
		}
	}
	for name, g := range m.removedEntries {
		_, returned := m.instances[name]
		if returned || now.After(g.until) {
			delete(m.removedEntries, name)
		} else if g.domain == domain {
			c.Heartbeats = append(c.Heartbeats, g.heartbeat)
		}
	}
	slices.SortFunc(c.Heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

// membersHash returns the hash that DomainState.Hash describes.
func (m *Tracker) membersHash(domain string) uint64 {
	hash := uint64(0)
	for name, i := range m.instances {
		if i.Domain == domain && i.Kind == yuccastore.KindEntry {
			hash ^= xxhash.Sum64String(name)
		}
	}
	return hash
}

// ApplySummary applies the summary of another failure domain. The argument
// members is the hash of its members, common the state of most of them, and
// exceptions the states of those that differ. If the hash shows that the
// gateway knows other members than this entry, the common state does not apply
// to members without a heartbeat so far.
func (m *Tracker) ApplySummary(domain string, members uint64, common Heartbeat, exceptions []Heartbeat) {
	sameMembers := m.membersHash(domain) == members
	for name, i := range m.instances {
		if i.Domain != domain || i.Kind != yuccastore.KindEntry {
			continue
		}
		if _, known := m.heartbeats[name]; known || sameMembers {
			b := common
			b.Name = name
			m.storeHeartbeat(b)
		}
	}
	for _, b := range exceptions {
		if _, ok := m.instances[b.Name]; ok {
			m.storeHeartbeat(b)
		}
	}
}

// MarkLeaving records the mark that an entry writes to the platform when it
// stops. The mark applies to the given incarnation and to earlier ones.
func (m *Tracker) MarkLeaving(name string, incarnation uint64) {
	m.leavingMarks[name] = incarnation
	m.changed = true
}

// UnmarkLeaving deletes the mark of an entry.
func (m *Tracker) UnmarkLeaving(name string) {
	delete(m.leavingMarks, name)
	m.changed = true
}

// LastHeartbeat returns the latest heartbeat of an entry and whether there is
// one.
func (m *Tracker) LastHeartbeat(name string) (Heartbeat, bool) {
	b, ok := m.heartbeats[name]
	return b, ok
}

// isLeaving reports whether the list, a heartbeat or a mark shows that an
// instance is stopping.
func (m *Tracker) isLeaving(i yuccastore.Instance) bool {
	b := m.heartbeats[i.Name]
	mark, marked := m.leavingMarks[i.Name]
	return i.Leaving || b.Leaving || marked && mark >= b.Incarnation
}

// View returns the known instances. It marks instances that are stopping and
// silent entries as leaving. Of the silent entries it marks at most one in
// silenceDivisor (rounded up), those that have been silent for longest.
func (m *Tracker) View(now time.Time) View {
	m.removeUnlisted(now)
	silent := m.silentEntries(now)
	if !m.changed && slices.Equal(silent, m.lastSilent) {
		return m.lastView
	}
	m.changed, m.lastSilent = false, silent
	list := make([]yuccastore.Instance, 0, len(m.instances))
	for _, i := range m.instances {
		i.Leaving = m.isLeaving(i)
		list = append(list, i)
	}
	m.lastView = NewView(list).WithLeaving(silent...)
	return m.lastView
}

// silentEntries returns the names of the entries that View marks as leaving
// because they are silent.
func (m *Tracker) silentEntries(now time.Time) []string {
	var silent []Heartbeat
	entries := 0
	for name, i := range m.instances {
		if i.Kind != yuccastore.KindEntry {
			continue
		}
		entries++
		if b, ok := m.heartbeats[name]; ok && b.Silent(now) {
			silent = append(silent, b)
		}
	}
	slices.SortFunc(silent, func(a, b Heartbeat) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Name, b.Name)) })
	limit := max(1, (entries+silenceDivisor-1)/silenceDivisor)
	var names []string
	for _, b := range silent[:min(limit, len(silent))] {
		names = append(names, b.Name)
	}
	return names
}

// States of an entry in a Report.
const (
	// Live is the state of an entry that sends heartbeats.
	Live = "live"
	// Leaving is the state of an entry that is stopping.
	Leaving = "leaving"
	// Silent is the state of an entry whose heartbeats have stopped.
	Silent = "silent"
	// StateUnknown is the state of an entry that is listed but has sent no heartbeat.
	StateUnknown = "unheard"
)

// Report describes the state of an entry and the versions in force there.
type Report struct {
	// Name is the name of the entry.
	Name string `json:"name"`
	// Rules is the version of the rules in force at the entry.
	Rules uint64 `json:"rules"`
	// Plan is the version of the plan in force at the entry.
	Plan uint64 `json:"plan"`
	// Age is the time since the entry's latest heartbeat, in seconds.
	Age float64 `json:"age"`
	// State is Live, Leaving, Silent or StateUnknown.
	State string `json:"state"`
}

// Reports returns a report on every entry, ordered by name.
func (m *Tracker) Reports(now time.Time) []Report {
	var all []Report
	for name, i := range m.instances {
		if i.Kind == yuccastore.KindEntry {
			all = append(all, m.report(now, name, i))
		}
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (m *Tracker) report(now time.Time, name string, i yuccastore.Instance) Report {
	b, known := m.heartbeats[name]
	r := Report{Name: name, Rules: b.Rules, Plan: b.Plan, State: Live}
	switch {
	case !known:
		r.State = StateUnknown
	case m.isLeaving(i):
		r.State = Leaving
	case b.Silent(now):
		r.State = Silent
	}
	if known {
		r.Age = math.Round(now.Sub(b.At).Seconds()*1000) / 1000
	}
	return r
}
