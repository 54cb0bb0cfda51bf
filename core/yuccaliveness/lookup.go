package yuccaliveness

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccacapacity"
)

const (
	// choiceTTL is how long the choice of a region's entries is used. It bounds the
	// processor time of many lookups.
	choiceTTL = 200 * time.Millisecond
	// changeLinesPerSecond limits the log lines about changes to the named entries.
	changeLinesPerSecond = 5
)

// Caller is a caller that looks up entries.
type Caller struct {
	// Region and Domain are the caller's region and failure domain.
	Region, Domain string
	// Key selects one of the equivalent responses.
	Key uint64
}

// regionChoice holds the entries that lookups of a region name.
type regionChoice struct {
	yuccacapacity.Choice
	// entries holds the alive entries of the region by name.
	entries map[string]Entry
	// names holds the sorted names of the named entries.
	names []string
	// ready is whether this entry was ready.
	ready bool
	// at is when the choice was made; it is zero if it must be made again.
	at time.Time
}

// Lookup returns the entries that the caller may use: those that yuccacapacity.Choice
// names of the entries alive in its region, or of all entries where the region has none.
// Entries that cannot serve requests yet are left out: this one always, and others while
// there are any that can.
func (s *Monitor) Lookup(caller Caller) []Entry {
	ready := s.local.Ready()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.choose(time.Now(), caller.Region, ready)
	names := r.Answer(caller.Domain, caller.Key)
	all := make([]Entry, 0, len(names))
	for _, name := range names {
		all = append(all, r.entries[name])
	}
	return all
}

// NamedStatus describes the entries of this entry's region that lookups name.
type NamedStatus struct {
	// Named is the number of named entries, and Alive that of the entries that accept
	// callers.
	Named, Alive int
	// Changes is how often the named entries of any region have changed where they are
	// uneven.
	Changes uint64
	// Utilization is that of this entry.
	Utilization yuccacapacity.Utilization
}

// NamedStatus returns the status of the entries that lookups name.
func (s *Monitor) NamedStatus() NamedStatus {
	ready := s.local.Ready()
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.state.Self()
	r := s.choose(time.Now(), self.Region, ready)
	return NamedStatus{Named: len(r.names), Alive: len(r.entries), Changes: s.changeCount, Utilization: self.Utilization}
}

// choose returns the present choice for a region. The caller holds mu.
func (s *Monitor) choose(now time.Time, region string, ready bool) *regionChoice {
	if r, ok := s.regions[region]; ok && r.ready == ready && now.Sub(r.at) < choiceTTL {
		return r
	}
	s.state.SetReady(ready)
	all := serving(s.state.Alive(now), s.state.Self().Name)
	inRegion := InRegion(all, region)
	// Callers name their region, so the number of regions without entries is unbounded.
	if len(inRegion) == len(all) && !slices.ContainsFunc(all, func(e Entry) bool { return e.Region == region }) {
		region = ""
	}
	r := s.regions[region]
	if r != nil && r.ready == ready && now.Sub(r.at) < choiceTTL {
		return r
	}
	if r == nil {
		r = &regionChoice{}
		s.regions[region] = r
	}
	s.decide(now, region, r, inRegion)
	r.ready, r.at = ready, now
	return r
}

// serving returns the entries that can serve requests. If none of them can, it returns all but
// the entry self.
func serving(alive []Entry, self string) []Entry {
	starting := func(e Entry) bool { return e.Starting }
	if ready := slices.DeleteFunc(slices.Clone(alive), starting); len(ready) > 0 {
		return ready
	}
	return slices.DeleteFunc(alive, func(e Entry) bool { return e.Name == self })
}

// decide makes the choice for a region and its alive entries.
func (s *Monitor) decide(now time.Time, region string, r *regionChoice, alive []Entry) {
	all := make([]yuccacapacity.Entry, 0, len(alive))
	r.entries = make(map[string]Entry, len(alive))
	for _, e := range alive {
		r.entries[e.Name] = e
		all = append(all, yuccacapacity.Entry{Name: e.Name, Domain: e.Domain, Capacity: e.Capacity, Utilization: e.Utilization})
	}
	wasUneven, before := r.Uneven(), r.names
	r.Choice = r.Next(now, all)
	r.names = r.Named()
	if slices.Equal(before, r.names) || !wasUneven && !r.Uneven() {
		return
	}
	s.changeCount++
	s.changes.Info().
		Str("region", region).
		Int("named", len(r.names)).
		Int("alive", len(alive)).
		Strs("added", without(r.names, before)).
		Strs("removed", without(before, r.names)).
		Float64("demand", r.Demand()).
		Float64("capacity", r.Capacity()).
		Strs("local", r.LocalDomains()).
		Msg("named_entries_changed")
}

// expireChoices makes the next lookups decide again. The caller holds mu.
func (s *Monitor) expireChoices() {
	for _, r := range s.regions {
		r.at = time.Time{}
	}
}

// without returns the names that are not among others, which are sorted.
func without(names, others []string) []string {
	var rest []string
	for _, name := range names {
		if _, found := slices.BinarySearch(others, name); !found {
			rest = append(rest, name)
		}
	}
	return rest
}
