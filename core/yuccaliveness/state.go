// Package yuccaliveness tells the entries of each other: which live, where callers
// reach them and what their callers ask for.
//
//	beats := yuccaliveness.New(self, peers, picker, log)
//	entries := beats.State().Entries(now)
package yuccaliveness

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccapeer"
)

const (
	// Interval is the time between two beats of an entry.
	Interval = 500 * time.Millisecond
	// Timeout is how long an entry that is not heard is still taken for alive.
	Timeout = 2500 * time.Millisecond
	// forgetTime is how long an entry is not heard before it is taken off the
	// list.
	forgetTime = time.Minute
	// demandLife is how long the demand of an entry that is not heard counts.
	demandLife = 10 * time.Second
)

// Entry is one entry of the system.
type Entry struct {
	Name   string
	Region string
	Domain string
	// ClientAddr is the address for callers, PeerAddr the one for other entries.
	ClientAddr string
	PeerAddr   string
	// Incarnation rises with every run under the same name.
	Incarnation uint64
	Leaving     bool
}

// State is what an entry believes of the others. It has no clock of its own.
// Make one with NewState.
type State struct {
	self   Entry
	began  time.Time
	listed map[string]record
	heard  map[string]report
}

// record is an entry in the platform's list, and since when it is known.
type record struct {
	Entry
	since time.Time
}

// report is the last beat of an entry.
type report struct {
	Entry
	at   time.Time
	busy map[string]float64
}

// NewState returns the state of the entry self, which knows no other.
func NewState(self Entry, now time.Time) *State {
	return &State{self: self, began: now, listed: map[string]record{}, heard: map[string]report{}}
}

// List takes the platform's list of entries.
func (s *State) List(now time.Time, entries []Entry) {
	old := s.listed
	s.listed = map[string]record{}
	for _, e := range entries {
		since := now
		if o, ok := old[e.Name]; ok && o.Incarnation == e.Incarnation {
			since = o.since
		}
		s.listed[e.Name] = record{e, since}
	}
}

// Hear takes a beat. One of an earlier run than is known changes nothing.
func (s *State) Hear(now time.Time, e Entry, busy map[string]float64) {
	if e.Name == s.self.Name || s.heard[e.Name].Incarnation > e.Incarnation {
		return
	}
	s.heard[e.Name] = report{e, now, busy}
}

// Leave marks the entry itself as leaving.
func (s *State) Leave() { s.self.Leaving = true }

// Self returns the entry itself.
func (s *State) Self() Entry { return s.self }

// Peers returns the listed entries but the entry itself, by name.
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

// Names returns the names of all entries that may be sending requests, the
// entry itself included.
func (s *State) Names() []string {
	names := map[string]bool{s.self.Name: true}
	for name := range s.listed {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Alive returns the entries that take new callers, by name. Those that were
// listed only now are trusted for a while; an entry that hears no other trusts
// the list.
func (s *State) Alive(now time.Time) []Entry {
	var all []Entry
	if !s.self.Leaving {
		all = append(all, s.self)
	}
	deaf := !s.hearsAny(now)
	for name, r := range s.listed {
		h, ok := s.heard[name]
		ok = ok && h.Incarnation >= r.Incarnation
		fresh := ok && now.Sub(h.at) < Timeout
		young := !ok && now.Sub(r.since) < Timeout
		leaving := r.Leaving || ok && h.Leaving
		if name != s.self.Name && !leaving && (fresh || young || deaf) {
			all = append(all, r.Entry)
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// ToDeregister returns the listed entries that this one has to take off the list: they
// were not heard for long by an entry that hears others. The entries that live
// divide this among them.
func (s *State) ToDeregister(now time.Time) []string {
	if !s.hearsAny(now) {
		return nil
	}
	var alive, gone []string
	for _, e := range s.Alive(now) {
		alive = append(alive, e.Name)
	}
	for name, r := range s.listed {
		silent := now.Sub(s.heard[name].at) > forgetTime && now.Sub(r.since) > forgetTime
		if name != s.self.Name && silent && slices.Contains(yuccapeer.RendezvousTop("gone "+name, alive, 1), s.self.Name) {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

func (s *State) hearsAny(now time.Time) bool {
	for _, h := range s.heard {
		if now.Sub(h.at) < Timeout {
			return true
		}
	}
	return false
}

// Demand returns what the callers of each region ask of each service, in slots
// busy, with the entry's own.
func (s *State) Demand(now time.Time, own map[string]float64) map[string]yuccabalancer.Demand {
	all := map[string]yuccabalancer.Demand{}
	add := func(region string, busy map[string]float64) {
		for service, v := range busy {
			if all[service] == nil {
				all[service] = yuccabalancer.Demand{}
			}
			all[service][region] += v
		}
	}
	add(s.self.Region, own)
	for _, h := range s.heard {
		if now.Sub(h.at) < demandLife {
			add(h.Region, h.busy)
		}
	}
	return all
}
