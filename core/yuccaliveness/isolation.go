package yuccaliveness

import (
	"slices"
	"time"
)

const (
	// overdueDelay is how long after a heartbeat the next one is overdue. What an entry
	// reaches later than that, it reaches in spite of what silences the others.
	overdueDelay = 2 * Interval
	// probeInterval is the time between two probes of a silent entry.
	probeInterval = 2 * time.Second
)

// isolation decides which entries count as alive while this entry receives no heartbeats.
// Either all others are dead, or this entry's own network is at fault. An entry that
// accepts a connection is alive. One that doesn't is dead if this entry's other links
// work, and otherwise nothing is known of it. The zero value is ready to use.
type isolation struct {
	// probes holds the last probe of each silent entry by name.
	probes map[string]probe
	// linksWork is set while the entry's links to others than entries are known to work.
	linksWork bool
}

// probe is the result of connecting to an entry that sends no heartbeats.
type probe struct {
	// at is when the entry was last connected to.
	at time.Time
	// deadSince is when the entry first did not accept a connection while the links
	// worked; it is zero if it has accepted one since.
	deadSince time.Time
}

// presumesAlive reports whether an entry that sends no heartbeats counts as alive.
func (i *isolation) presumesAlive(name string) bool { return i.probes[name].deadSince.IsZero() }

// deadFor reports whether the probes have shown an entry to be dead for longer than a time.
func (i *isolation) deadFor(now time.Time, name string, d time.Duration) bool {
	since := i.probes[name].deadSince
	return !since.IsZero() && now.Sub(since) > d
}

// record records whether an entry accepted a connection.
func (i *isolation) record(now time.Time, name string, accepts bool) {
	if i.probes == nil {
		i.probes = map[string]probe{}
	}
	p := i.probes[name]
	p.at = now
	switch {
	case accepts || !i.linksWork:
		p.deadSince = time.Time{}
	case p.deadSince.IsZero():
		p.deadSince = now
	}
	i.probes[name] = p
}

// Isolated reports whether this entry receives no heartbeats although others are listed.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.lastHeard()) >= Timeout && slices.ContainsFunc(s.names, func(name string) bool { return name != s.self.Name })
}

// OverdueSince returns from when on the heartbeats of all other entries are overdue.
func (s *State) OverdueSince() time.Time { return s.lastHeard().Add(overdueDelay) }

// lastHeard returns when the last heartbeat arrived, and when the state was created if
// there is none.
func (s *State) lastHeard() time.Time {
	last := s.createdAt
	for _, h := range s.heartbeats {
		if h.receivedAt.After(last) {
			last = h.receivedAt
		}
	}
	return last
}

// SetLinksWork records whether this entry's links to others than entries are known to have
// worked since OverdueSince.
func (s *State) SetLinksWork(work bool) { s.isolation.linksWork = work }

// ToProbe returns the listed entries that are to be connected to, since this entry is
// isolated. It forgets earlier probes if it is not.
func (s *State) ToProbe(now time.Time) []Entry {
	if !s.Isolated(now) {
		s.isolation = isolation{}
		return nil
	}
	var all []Entry
	for _, name := range s.names {
		if name != s.self.Name && now.Sub(s.isolation.probes[name].at) >= probeInterval {
			all = append(all, s.listed[name].Entry)
		}
	}
	return all
}

// RecordProbe records whether a silent entry accepted a connection.
func (s *State) RecordProbe(now time.Time, name string, accepts bool) {
	s.isolation.record(now, name, accepts)
}
