// Package yuccaliveness detects which entries are alive. An entry is a proxy
// instance of the system. Each entry publishes heartbeats with its address, its
// drain status, the number of requests that its clients have in flight for each
// service, its capacity and its utilization.
//
// State combines the platform's list of entries with the heartbeats of the other
// entries. It has no clock and does no I/O. Monitor is the service around it: it
// publishes the entry's own heartbeats, records those of the others and reports
// the demand of all regions to the load balancer.
//
//	monitor := yuccaliveness.New(self, peers, picker, replica, log)
//	monitor.UpdateList(entries) // whenever the platform's list changes
//	nearby := monitor.Lookup(caller)
package yuccaliveness

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccacapacity"
	"yuccawell.example/core/yuccapeer"
)

const (
	// Interval is the time between two heartbeats of an entry.
	Interval = 500 * time.Millisecond
	// Timeout is how long an entry counts as alive after its last heartbeat.
	Timeout = 2500 * time.Millisecond
	// deregisterTimeout is how long an entry must be silent before another entry
	// removes it from the platform's list.
	deregisterTimeout = time.Minute
	// forgetTimeout is how long an entry that is not listed must be silent before it is
	// forgotten. Until then an earlier incarnation of it is recognized.
	forgetTimeout = 5 * time.Minute
	// demandTTL is how long the demand in an entry's last heartbeat is counted.
	demandTTL = 10 * time.Second
)

// Entry describes one entry of the system.
type Entry struct {
	// Name identifies the entry and stays the same across restarts.
	Name string
	// Region is the region that the entry runs in.
	Region string
	// Domain is the failure domain that the entry runs in.
	Domain string
	// ClientAddr is the address that clients connect to.
	ClientAddr string
	// PeerAddr is the address that other entries connect to. It comes from the
	// platform's list; heartbeats do not carry it.
	PeerAddr string
	// TunnelAddr is the address at which the entry carries connections of other entries
	// to backend servers. It comes from heartbeats; the platform's list does not carry
	// it.
	TunnelAddr string
	// CutOff marks an entry that itself reaches no backend server.
	CutOff bool
	// Incarnation increases with every run under the same name.
	Incarnation uint64
	// Leaving marks an entry that drains and accepts no new clients.
	Leaving bool
	// Starting marks an entry that cannot serve requests yet. It comes from heartbeats.
	Starting bool
	// Capacity is what the entry can carry, the zero value if it is unknown.
	Capacity yuccacapacity.Capacity
	// Utilization is what the entry carries at present. It comes from heartbeats; the
	// platform's list does not carry it.
	Utilization yuccacapacity.Utilization
}

// State is an entry's view of the other entries. The caller passes the current
// time, and guards the state against concurrent use. Create one with NewState.
type State struct {
	// self describes this entry.
	self Entry
	// createdAt is when the state was created.
	createdAt time.Time
	// listed holds the entries in the platform's list by name.
	listed map[string]*listedEntry
	// names holds the sorted names of the listed entries.
	names []string
	// large holds the sorted names of the listed entries that are large in their region, and
	// strong those of the listed entries that are strong in their failure domain.
	large, strong []string
	// heartbeats holds the last heartbeat of each other entry by name.
	heartbeats map[string]*heartbeatRecord
	// isolation judges the silent entries while all are silent.
	isolation isolation
}

// listedEntry is an entry in the platform's list.
type listedEntry struct {
	Entry
	// firstListed is when this incarnation first appeared in the list.
	firstListed time.Time
}

// heartbeatRecord is the last heartbeat of an entry.
type heartbeatRecord struct {
	Entry
	// receivedAt is when the heartbeat arrived, by the receiver's clock.
	receivedAt time.Time
	// inFlight is the mean number of requests in flight by service.
	inFlight map[string]float32
	// ended is the highest incarnation that this one has replaced although it is lower,
	// because the clock of the entry had gone back; zero if there is none.
	ended uint64
}

// NewState returns the state of the entry self before any other entry is known.
func NewState(self Entry, now time.Time) *State {
	return &State{self: self, createdAt: now, listed: map[string]*listedEntry{}, heartbeats: map[string]*heartbeatRecord{}}
}

// UpdateList replaces the platform's list of entries. An entry that stays in the
// list with the same incarnation keeps the time at which it was first listed.
func (s *State) UpdateList(now time.Time, entries []Entry) {
	previous := s.listed
	s.listed = make(map[string]*listedEntry, len(entries))
	for _, e := range entries {
		firstListed := now
		if p, ok := previous[e.Name]; ok && p.Incarnation == e.Incarnation {
			firstListed = p.firstListed
		}
		s.listed[e.Name] = &listedEntry{e, firstListed}
	}
	s.names = slices.Sorted(maps.Keys(s.listed))
	s.large = s.namesBy(Entry.region, yuccacapacity.Large)
	s.strong = s.namesBy(Entry.domain, yuccacapacity.Strong)
	for name, h := range s.heartbeats {
		if _, ok := s.listed[name]; !ok && now.Sub(h.receivedAt) > forgetTimeout {
			delete(s.heartbeats, name)
		}
	}
}

// Heard returns the number of entries whose heartbeats are remembered.
func (s *State) Heard() int { return len(s.heartbeats) }

// RecordHeartbeat records a heartbeat of the entry e with its mean number of
// requests in flight by service. It ignores heartbeats of this entry itself and
// of an earlier incarnation than the last recorded one, unless that one is silent.
func (s *State) RecordHeartbeat(now time.Time, e Entry, inFlight map[string]float32) {
	if e.Name == s.self.Name {
		return
	}
	record := &heartbeatRecord{Entry: e, receivedAt: now, inFlight: inFlight}
	if last := s.heartbeats[e.Name]; last != nil {
		record.ended = last.ended
		if last.Incarnation > e.Incarnation {
			if now.Sub(last.receivedAt) < Timeout {
				return
			}
			record.ended = max(last.ended, last.Incarnation)
		}
	}
	s.heartbeats[e.Name] = record
}

// SetCapacity replaces the capacity of this entry.
func (s *State) SetCapacity(c yuccacapacity.Capacity) { s.self.Capacity = c }

// SetUtilization replaces the utilization of this entry.
func (s *State) SetUtilization(u yuccacapacity.Utilization) { s.self.Utilization = u }

// SetReady records whether this entry can serve requests.
func (s *State) SetReady(ready bool) { s.self.Starting = !ready }

// SetCutOff marks whether this entry itself reaches no backend server.
func (s *State) SetCutOff(cutOff bool) { s.self.CutOff = cutOff }

// TunnelPeers returns the other entries that may carry connections of this one to
// backend servers, sorted by name: those with a recent heartbeat that neither leave nor
// are cut off themselves.
func (s *State) TunnelPeers(now time.Time) []Entry {
	var all []Entry
	for _, h := range s.heartbeats {
		if now.Sub(h.receivedAt) < Timeout && !h.Leaving && !h.CutOff && h.TunnelAddr != "" {
			all = append(all, h.Entry)
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Leave marks this entry as draining.
func (s *State) Leave() { s.self.Leaving = true }

// Self returns the description of this entry.
func (s *State) Self() Entry { return s.self }

// Peers returns the listed entries except this one, sorted by name.
func (s *State) Peers() []Entry {
	var all []Entry
	for _, r := range s.listed {
		if r.Name != s.self.Name {
			all = append(all, r.Entry)
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Names returns the sorted names of the entries that may be sending requests to backend
// servers: the listed ones, and those with a recent heartbeat, since the platform may
// come back from a copy that lacks them. This one is missing until it is listed or
// receives heartbeats.
func (s *State) Names(now time.Time) []string {
	var unlisted []string
	heard := false
	for name, h := range s.heartbeats {
		if now.Sub(h.receivedAt) >= Timeout || h.Leaving {
			continue
		}
		heard = true
		if _, listed := s.listed[name]; !listed {
			unlisted = append(unlisted, name)
		}
	}
	if _, listed := s.listed[s.self.Name]; heard && !listed {
		unlisted = append(unlisted, s.self.Name)
	}
	names := append(slices.Clone(s.names), unlisted...)
	if len(unlisted) > 0 {
		slices.Sort(names)
	}
	return names
}

// LargeNames returns the sorted names of the listed entries that are large in their
// region, by yuccacapacity.Large. It depends on the list only, so that all entries agree,
// whatever the load.
func (s *State) LargeNames() []string { return s.large }

// StrongNames returns the sorted names of the listed entries that are about as large as the
// largest of their failure domain, by yuccacapacity.Strong. Like LargeNames it depends on the
// list only.
func (s *State) StrongNames() []string { return s.strong }

// namesBy returns the sorted names of the listed entries that are selected among those with
// the same key.
func (s *State) namesBy(key func(Entry) string, selected func([]yuccacapacity.Entry) []string) []string {
	groups := map[string][]yuccacapacity.Entry{}
	for name, e := range s.listed {
		groups[key(e.Entry)] = append(groups[key(e.Entry)], yuccacapacity.Entry{Name: name, Capacity: e.Capacity})
	}
	var names []string
	for _, all := range groups {
		names = append(names, selected(all)...)
	}
	slices.Sort(names)
	return names
}

func (e Entry) region() string { return e.Region }

func (e Entry) domain() string { return e.Domain }

// Alive returns the entries that accept new clients, sorted by name. A listed
// entry without a heartbeat of its present incarnation counts as alive until
// Timeout after it was first listed. An entry that receives no heartbeats at all is either
// the last one or disconnected from its peers. It relies on the list and returns every
// listed entry that is not leaving and that its probes have not shown to be dead, without
// capacities, since nothing recent is known of them.
func (s *State) Alive(now time.Time) []Entry {
	all := make([]Entry, 0, len(s.names)+1)
	isolated := !s.receivesHeartbeats(now)
	for _, name := range s.names {
		if name != s.self.Name && s.alive(now, name, isolated) {
			all = append(all, s.described(name, isolated))
		}
	}
	if s.self.Leaving {
		return all
	}
	i, _ := slices.BinarySearchFunc(all, s.self.Name, func(e Entry, name string) int { return cmp.Compare(e.Name, name) })
	return slices.Insert(all, i, s.self)
}

// alive reports whether a listed entry other than this one accepts new clients.
func (s *State) alive(now time.Time, name string, isolated bool) bool {
	r := s.listed[name]
	h, ok := s.currentHeartbeat(name)
	if r.Leaving || ok && h.Leaving {
		return false
	}
	recent := ok && now.Sub(h.receivedAt) < Timeout
	newlyListed := !ok && now.Sub(r.firstListed) < Timeout
	return recent || newlyListed || isolated && s.isolation.presumesAlive(name)
}

// described returns a listed entry with what its heartbeats tell.
func (s *State) described(name string, isolated bool) Entry {
	e := s.listed[name].Entry
	if h, ok := s.currentHeartbeat(name); ok {
		e.Utilization, e.Starting = h.Utilization, h.Starting
		if h.Capacity != (yuccacapacity.Capacity{}) {
			e.Capacity = h.Capacity
		}
	}
	if isolated {
		e.Capacity = yuccacapacity.Capacity{}
	}
	return e
}

// currentHeartbeat returns the last heartbeat of a listed entry, and false if there is none
// of its listed incarnation, a later one or one that has replaced it.
func (s *State) currentHeartbeat(name string) (*heartbeatRecord, bool) {
	h, ok := s.heartbeats[name]
	return h, ok && max(h.Incarnation, h.ended) >= s.listed[name].Incarnation
}

// DomainPeers returns the sorted names of the other alive entries of this entry's
// failure domain.
func (s *State) DomainPeers(now time.Time) []string {
	var names []string
	isolated := !s.receivesHeartbeats(now)
	for _, name := range s.names {
		if name != s.self.Name && s.listed[name].Domain == s.self.Domain && s.alive(now, name, isolated) {
			names = append(names, name)
		}
	}
	return names
}

// ToDeregister returns the sorted names of the silent entries that this entry has
// to remove from the platform's list. Rendezvous hashing assigns each silent
// entry to one of the live ones, so that only one removes it. An entry that
// receives no heartbeats returns those that its probes show to be dead for as long, since
// its own network may be at fault.
func (s *State) ToDeregister(now time.Time) []string {
	isolated := !s.receivesHeartbeats(now)
	var alive, expired []string
	for _, e := range s.Alive(now) {
		alive = append(alive, e.Name)
	}
	for name, r := range s.listed {
		h, heard := s.heartbeats[name]
		silent := (!heard || now.Sub(h.receivedAt) > deregisterTimeout) && now.Sub(r.firstListed) > deregisterTimeout
		if isolated && !s.isolation.deadFor(now, name, deregisterTimeout) {
			continue
		}
		if name != s.self.Name && silent && slices.Contains(yuccapeer.RendezvousTop("gone "+name, alive, 1), s.self.Name) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

// receivesHeartbeats reports whether any other entry's heartbeat is recent.
func (s *State) receivesHeartbeats(now time.Time) bool {
	for _, h := range s.heartbeats {
		if now.Sub(h.receivedAt) < Timeout {
			return true
		}
	}
	return false
}

// Demand returns the demand for each service by the region that it comes from, as
// the mean number of requests in flight. It adds own, the requests of this entry,
// to those in the other entries' heartbeats.
func (s *State) Demand(now time.Time, own map[string]float64) map[string]yuccabalancer.Demand {
	demand := map[string]yuccabalancer.Demand{}
	add := func(region, service string, inFlight float64) {
		if demand[service] == nil {
			demand[service] = yuccabalancer.Demand{}
		}
		demand[service][region] += inFlight
	}
	for service, v := range own {
		add(s.self.Region, service, v)
	}
	for _, h := range s.heartbeats {
		if now.Sub(h.receivedAt) >= demandTTL {
			continue
		}
		for service, v := range h.inFlight {
			add(h.Region, service, float64(v))
		}
	}
	return demand
}
