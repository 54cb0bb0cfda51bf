package yuccapoison

import (
	"slices"
	"time"
)

// Limits bound a State.
type Limits struct {
	// Suspicion is how long a print is remembered after it was in flight on a
	// server that died.
	Suspicion time.Duration
	// Quarantine is how long a print is stopped.
	Quarantine time.Duration
	// Passes is how many runs without a death clear a suspect.
	Passes int
	// Prints is how many prints are remembered.
	Prints int
	// ProbeTTL is how long a turn is kept that is not given back.
	ProbeTTL time.Duration
}

// Window is how close deaths of servers are taken to have one cause.
const Window = 10 * time.Second

// State is what is known of requests that were in flight when servers died.
type State struct {
	limits  Limits
	records map[Fingerprint]record
	deaths  []loss
	turns   map[string]turn
	tally   tally
}

// record is one suspect. A quarantined one has an until.
type record struct {
	lost   []loss
	passes int
	until  time.Time
}

// loss is a server that died with a print in flight.
type loss struct {
	server   string
	started  time.Time
	at       time.Time
	familiar bool
}

// same reports whether two losses are of one death: a server that was started
// again dies another one.
func (l loss) same(other loss) bool {
	return l.server == other.server && !l.started.After(other.at)
}

// turn is the right to run one suspect of a dead server.
type turn struct {
	print Fingerprint
	at    time.Time
}

// NewState returns a state without suspects.
func NewState(limits Limits) State {
	return State{limits: limits, records: map[Fingerprint]record{}, turns: map[string]turn{}, tally: newTally(limits.Prints)}
}

// Message is something that was seen here or at another entry.
type Message interface{ message() }

type (
	// ServerDied says that a print was in flight since Started when its server died.
	ServerDied struct {
		Fingerprint Fingerprint
		Server      string
		Started     time.Time
		At          time.Time
		// KnownGood says that the print had passed often where it died.
		KnownGood bool
	}
	// Passed says that a run of a print has ended and its server lives.
	Passed struct{ Fingerprint Fingerprint }
	// Cleared says that a print passed often enough at some entry.
	Cleared struct{ Fingerprint Fingerprint }
	// ProbeReleased gives the turn of a print back.
	ProbeReleased struct{ Fingerprint Fingerprint }
)

func (ServerDied) message()    {}
func (Passed) message()        {}
func (Cleared) message()       {}
func (ProbeReleased) message() {}

// Command is something to be done.
type Command uint8

// The commands.
const (
	// Nothing means that nothing is to be done.
	Nothing Command = iota
	// TellCleared means that other entries have to learn that the print of the
	// message is cleared.
	TellCleared
	// NowQuarantined means that the print of the message is quarantined now.
	NowQuarantined
)

// Update takes a message and returns the new state and what to do. The earlier
// state must not be used again.
func (s State) Update(m Message) (State, Command) {
	switch m := m.(type) {
	case ServerDied:
		return s.died(m)
	case Passed:
		return s.passed(m.Fingerprint)
	case Cleared:
		if r, ok := s.records[m.Fingerprint]; ok && r.until.IsZero() {
			delete(s.records, m.Fingerprint)
		}
	case ProbeReleased:
		for server, t := range s.turns {
			if t.print == m.Fingerprint {
				delete(s.turns, server)
			}
		}
	}
	return s, Nothing
}

func (s State) died(m ServerDied) (State, Command) {
	s = s.without(m.At)
	r := s.records[m.Fingerprint]
	l := loss{m.Server, m.Started, m.At, m.KnownGood}
	if !slices.ContainsFunc(s.deaths, l.same) {
		s.deaths = append(slices.Clone(s.deaths), l)
	}
	if !r.until.IsZero() || slices.ContainsFunc(r.lost, l.same) {
		return s, Nothing
	}
	r.lost = append(slices.Clone(r.lost), l)
	if len(r.lost) > 1 && s.guilty(r) {
		r.until = m.At.Add(s.limits.Quarantine)
	}
	s = s.room()
	s.records[m.Fingerprint] = r
	if r.until.IsZero() {
		return s, Nothing
	}
	return s, NowQuarantined
}

// guilty reports whether a print that was in flight on several servers when
// they died is what they died of: it was started on one after another had died,
// or all recent deaths have it in common and it has hardly ever passed.
func (s State) guilty(r record) bool {
	for _, first := range r.lost {
		for _, later := range r.lost {
			if later.started.After(first.at) {
				return true
			}
		}
	}
	if slices.ContainsFunc(r.lost, func(l loss) bool { return l.familiar }) {
		return false
	}
	at := r.lost[len(r.lost)-1].at
	for _, d := range s.deaths {
		near := at.Sub(d.at).Abs() <= Window
		if near && !slices.ContainsFunc(r.lost, func(l loss) bool { return l.server == d.server }) {
			return false
		}
	}
	return true
}

// passed counts runs that ended otherwise than by a death. One alone proves
// nothing, since a server may have declined the request or its caller hung up.
func (s State) passed(p Fingerprint) (State, Command) {
	s.tally = s.tally.add(p)
	r, ok := s.records[p]
	if !ok || !r.until.IsZero() {
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

// without forgets what has expired.
func (s State) without(now time.Time) State {
	for p, r := range s.records {
		if s.expired(r, now) {
			delete(s.records, p)
		}
	}
	for server, t := range s.turns {
		if now.Sub(t.at) > s.limits.ProbeTTL {
			delete(s.turns, server)
		}
	}
	s.deaths = slices.DeleteFunc(slices.Clone(s.deaths), func(d loss) bool { return now.Sub(d.at) > Window })
	return s
}

func (s State) expired(r record, now time.Time) bool {
	if !r.until.IsZero() {
		return !now.Before(r.until)
	}
	return len(r.lost) > 0 && now.Sub(r.lost[len(r.lost)-1].at) > s.limits.Suspicion
}

// room forgets the oldest suspect when there is no place for another. A
// quarantined print goes only when there is nothing else.
func (s State) room() State {
	if len(s.records) < s.limits.Prints {
		return s
	}
	var oldest Fingerprint
	var found *record
	for p, r := range s.records {
		if found == nil || before(p, r, oldest, *found) {
			oldest, found = p, &r
		}
	}
	delete(s.records, oldest)
	return s
}

func before(p Fingerprint, a record, q Fingerprint, b record) bool {
	if a.until.IsZero() != b.until.IsZero() {
		return a.until.IsZero()
	}
	if x, y := a.lost[len(a.lost)-1].at, b.lost[len(b.lost)-1].at; !x.Equal(y) {
		return x.Before(y)
	}
	return p < q
}

// KnownGood reports whether a print has passed often here.
func (s State) KnownGood(p Fingerprint) bool { return s.tally.count(p) >= s.limits.Passes }

// Quarantined reports whether requests of a print are stopped.
func (s State) Quarantined(p Fingerprint, now time.Time) bool {
	r, ok := s.records[p]
	return ok && now.Before(r.until)
}

// Suspect returns the server that died first with a print in flight.
func (s State) Suspect(p Fingerprint, now time.Time) (string, bool) {
	r, ok := s.records[p]
	if !ok || !r.until.IsZero() || s.expired(r, now) {
		return "", false
	}
	return r.lost[0].server, true
}

// AcquireProbe gives the turn of a dead server's suspects to one run of a print, so that
// no other of them runs meanwhile. It reports false while the turn is taken.
func (s State) AcquireProbe(p Fingerprint, server string, now time.Time) (State, bool) {
	if held, ok := s.turns[server]; ok && now.Sub(held.at) < s.limits.ProbeTTL {
		return s, false
	}
	s.turns[server] = turn{print: p, at: now}
	return s, true
}
