package yuccapoison

import (
	"slices"
	"time"
)

// Limits bound what a State remembers.
type Limits struct {
	// Suspicion is how long a fingerprint stays a suspect after a server
	// died with it in flight.
	Suspicion time.Duration
	// Quarantine is how long a quarantined fingerprint is stopped.
	Quarantine time.Duration
	// Passes is how many runs without a server death clear a suspect.
	Passes int
	// MaxFingerprints is how many suspects and quarantined fingerprints are
	// remembered. The counts of runs are bounded by twice this number.
	MaxFingerprints int
	// ProbeTTL is how long a probe that is not released stays reserved.
	ProbeTTL time.Duration
}

// Window is the greatest time between server deaths that are assumed to have
// one cause.
const Window = 10 * time.Second

// State holds the suspects and the quarantined fingerprints. Its methods
// return the changed state. Make one with NewState.
type State struct {
	// limits bound the state.
	limits Limits
	// records holds the suspects and quarantined fingerprints.
	records map[Fingerprint]record
	// deaths are the server deaths within the last Window.
	deaths []serverDeath
	// probes holds the acquired probes by dead server.
	probes map[string]probe
	// runs counts the runs of each fingerprint that ended without a server
	// death.
	runs runCounter
}

// record is a suspect or a quarantined fingerprint.
type record struct {
	// deaths are the server deaths with the fingerprint in flight, in the
	// order in which they were recorded.
	deaths []serverDeath
	// passes counts the runs without a server death since the fingerprint
	// became a suspect.
	passes int
	// quarantinedUntil is when the quarantine ends; zero for a suspect.
	quarantinedUntil time.Time
}

// serverDeath is the death of a server with a certain fingerprint in flight.
type serverDeath struct {
	// server is the name of the server.
	server string
	// started is when the last attempt with the fingerprint started there.
	started time.Time
	// at is when the death was seen.
	at time.Time
	// knownGood says that the fingerprint had often run without a server
	// death at the entry that saw this one.
	knownGood bool
}

// sameDeath reports whether both are the same death of a server. An attempt
// that started after the earlier death ran on the restarted server, so the
// later death is another one.
func (l serverDeath) sameDeath(other serverDeath) bool {
	return l.server == other.server && !l.started.After(other.at)
}

// probe is the exclusive right to run one suspect of a dead server.
type probe struct {
	// fingerprint is the suspect that may run.
	fingerprint Fingerprint
	// at is when the probe was acquired.
	at time.Time
}

// NewState returns a State without suspects.
func NewState(limits Limits) State {
	return State{limits: limits, records: map[Fingerprint]record{}, probes: map[string]probe{}, runs: newRunCounter(limits.MaxFingerprints)}
}

// Event is an event that was seen at this entry or at another one.
type Event interface{ message() }

type (
	// ServerDied says that a server died with a fingerprint in flight.
	ServerDied struct {
		// Fingerprint is the fingerprint that was in flight.
		Fingerprint Fingerprint
		// Server is the name of the server.
		Server string
		// Started is when the last attempt with the fingerprint started
		// there.
		Started time.Time
		// At is when the death was seen.
		At time.Time
		// KnownGood says that the fingerprint had often run without a server
		// death at the entry that saw this one.
		KnownGood bool
	}
	// Passed says that a run of a fingerprint ended without a server death.
	Passed struct{ Fingerprint Fingerprint }
	// Cleared says that a suspect ran often enough at some entry without a
	// server death.
	Cleared struct{ Fingerprint Fingerprint }
	// ProbeReleased returns the probe that a fingerprint has acquired.
	ProbeReleased struct{ Fingerprint Fingerprint }
)

func (ServerDied) message()    {}
func (Passed) message()        {}
func (Cleared) message()       {}
func (ProbeReleased) message() {}

// Command tells the caller of Update what to do.
type Command uint8

// The commands that Update returns.
const (
	// Nothing means that there is nothing to do.
	Nothing Command = iota
	// TellCleared means to tell the other entries that the fingerprint of
	// the message is cleared.
	TellCleared
	// NowQuarantined means that the fingerprint of the message has just been
	// quarantined.
	NowQuarantined
)

// Update applies a message and returns the new state and what to do. The
// earlier state must not be used afterwards.
func (s State) Update(m Event) (State, Command) {
	switch m := m.(type) {
	case ServerDied:
		return s.died(m)
	case Passed:
		return s.passed(m.Fingerprint)
	case Cleared:
		if r, ok := s.records[m.Fingerprint]; ok && r.quarantinedUntil.IsZero() {
			delete(s.records, m.Fingerprint)
		}
	case ProbeReleased:
		for server, t := range s.probes {
			if t.fingerprint == m.Fingerprint {
				delete(s.probes, server)
			}
		}
	}
	return s, Nothing
}

// died records a server death, and quarantines the fingerprint if isPoison
// says so.
func (s State) died(m ServerDied) (State, Command) {
	s = s.withoutExpired(m.At)
	r := s.records[m.Fingerprint]
	l := serverDeath{m.Server, m.Started, m.At, m.KnownGood}
	if !slices.ContainsFunc(s.deaths, l.sameDeath) {
		s.deaths = append(slices.Clone(s.deaths), l)
	}
	if !r.quarantinedUntil.IsZero() || slices.ContainsFunc(r.deaths, l.sameDeath) {
		return s, Nothing
	}
	r.deaths = append(slices.Clone(r.deaths), l)
	if len(r.deaths) > 1 && s.isPoison(r) {
		r.quarantinedUntil = m.At.Add(s.limits.Quarantine)
	}
	s = s.makeRoom()
	s.records[m.Fingerprint] = r
	if r.quarantinedUntil.IsZero() {
		return s, Nothing
	}
	return s, NowQuarantined
}

// isPoison reports whether a fingerprint that was in flight on several dead
// servers is the cause of their deaths. It is, if it was started on one of
// them after another had died with it. It also is, if it was in flight on
// every server that died within Window and no entry knew it as good.
func (s State) isPoison(r record) bool {
	for _, first := range r.deaths {
		for _, later := range r.deaths {
			if later.started.After(first.at) {
				return true
			}
		}
	}
	if slices.ContainsFunc(r.deaths, func(l serverDeath) bool { return l.knownGood }) {
		return false
	}
	at := r.deaths[len(r.deaths)-1].at
	for _, d := range s.deaths {
		related := at.Sub(d.at).Abs() <= Window
		if related && !slices.ContainsFunc(r.deaths, func(l serverDeath) bool { return l.server == d.server }) {
			return false
		}
	}
	return true
}

// passed counts a run that ended without a server death. A single run proves
// nothing, since the server may have declined the request or the caller may
// have closed the connection.
func (s State) passed(p Fingerprint) (State, Command) {
	s.runs = s.runs.add(p)
	r, ok := s.records[p]
	if !ok || !r.quarantinedUntil.IsZero() {
		return s, Nothing
	}
	r.passes++
	if r.passes < s.limits.Passes {
		s.records[p] = r
		return s, Nothing
	}
	delete(s.records, p)
	return s, TellCleared
}

// withoutExpired drops expired records, probes and deaths.
func (s State) withoutExpired(now time.Time) State {
	for p, r := range s.records {
		if s.expired(r, now) {
			delete(s.records, p)
		}
	}
	for server, t := range s.probes {
		if now.Sub(t.at) > s.limits.ProbeTTL {
			delete(s.probes, server)
		}
	}
	s.deaths = slices.DeleteFunc(slices.Clone(s.deaths), func(d serverDeath) bool { return now.Sub(d.at) > Window })
	return s
}

// expired reports whether the quarantine or the suspicion has ended.
func (s State) expired(r record, now time.Time) bool {
	if !r.quarantinedUntil.IsZero() {
		return !now.Before(r.quarantinedUntil)
	}
	return len(r.deaths) > 0 && now.Sub(r.deaths[len(r.deaths)-1].at) > s.limits.Suspicion
}

// makeRoom evicts one record when the limit is reached: the suspect with the
// oldest last death, or a quarantined fingerprint if there is no suspect.
func (s State) makeRoom() State {
	if len(s.records) < s.limits.MaxFingerprints {
		return s
	}
	var oldest Fingerprint
	var found *record
	for p, r := range s.records {
		if found == nil || evictedBefore(p, r, oldest, *found) {
			oldest, found = p, &r
		}
	}
	delete(s.records, oldest)
	return s
}

// evictedBefore reports whether record a of fingerprint p is evicted before
// record b of q.
func evictedBefore(p Fingerprint, a record, q Fingerprint, b record) bool {
	if a.quarantinedUntil.IsZero() != b.quarantinedUntil.IsZero() {
		return a.quarantinedUntil.IsZero()
	}
	if x, y := a.deaths[len(a.deaths)-1].at, b.deaths[len(b.deaths)-1].at; !x.Equal(y) {
		return x.Before(y)
	}
	return p < q
}

// KnownGood reports whether a fingerprint has often run here without a
// server death.
func (s State) KnownGood(p Fingerprint) bool { return s.runs.count(p) >= s.limits.Passes }

// Quarantined reports whether requests with the fingerprint are stopped.
func (s State) Quarantined(p Fingerprint, now time.Time) bool {
	r, ok := s.records[p]
	return ok && now.Before(r.quarantinedUntil)
}

// Suspect returns the first server that died with the fingerprint in flight,
// and whether the fingerprint is a suspect.
func (s State) Suspect(p Fingerprint, now time.Time) (string, bool) {
	r, ok := s.records[p]
	if !ok || !r.quarantinedUntil.IsZero() || s.expired(r, now) {
		return "", false
	}
	return r.deaths[0].server, true
}

// AcquireProbe assigns a dead server's probe to a fingerprint, so that no
// other suspect of that server runs at the same time. It returns false while
// the probe is held.
func (s State) AcquireProbe(p Fingerprint, server string, now time.Time) (State, bool) {
	if held, ok := s.probes[server]; ok && now.Sub(held.at) < s.limits.ProbeTTL {
		return s, false
	}
	s.probes[server] = probe{fingerprint: p, at: now}
	return s, true
}
