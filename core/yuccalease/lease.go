// Package yuccalease lets one entry at a time hold the right to plan.
//
// The lease is an object of the platform, written by conditional updates only.
// Its holder judges it by its own monotonic clock, from before each write was
// sent. Others take it over when they have seen it unchanged for longer than
// that, so that their clocks need not agree with the holder's. Every change of
// holder raises the epoch, which goes with all that a holder publishes.
//
// State is the pure part; Elector makes the calls around it.
package yuccalease

import "time"

const (
	// TTL is how long a write keeps the lease.
	TTL = 5 * time.Second
	// renewAfter is when the holder writes again and others read again.
	renewAfter = TTL / 3
	// drift is how much longer others wait, for clocks that run unevenly.
	drift = TTL / 10
	// rankDelay is how much longer each further candidate waits.
	rankDelay = TTL / 10
)

// Record is the object as it is kept.
type Record struct {
	// Holder and Start are a run of an entry; an empty holder has given the
	// lease back.
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`
	// Epoch rises with every change of holder.
	Epoch uint64 `json:"epoch"`
	// Renewal rises with every write under one epoch.
	Renewal uint64 `json:"renewal"`
}

// Command is a call that a step asks for. At most one field is set.
type Command struct {
	// Read asks for a read of the object.
	Read bool
	// Write asks for a write under the condition that the object still has the
	// tag, or does not exist where the tag is empty.
	Write *Record
	Tag   string
}

// Message is something that a step takes in.
type Message interface{ message() }

type (
	// Tick is the passing of time. Rank is the entry's place among the
	// candidates, negative for none; KnownEpoch is the highest epoch known.
	Tick struct {
		Now        time.Time
		Rank       int
		KnownEpoch uint64
	}
	// Read is the answer to a read; the tag is empty when there is no object.
	Read struct {
		Now    time.Time
		Record Record
		Tag    string
	}
	// Wrote is the end of a write. Applied reports that it is known to have taken
	// effect, Rejected that it is known not to.
	Wrote struct {
		Record            Record
		Tag               string
		Applied, Rejected bool
	}
)

func (Tick) message()  {}
func (Read) message()  {}
func (Wrote) message() {}

// State is what one entry knows of the lease. It is immutable.
type State struct {
	self  string
	start uint64

	held  bool
	until time.Time
	now   Record
	tag   string
	// since is when the object was first seen with this tag.
	since time.Time
	// called is when the last call was asked for.
	called time.Time
	// pending is the last record to be written and asked when that was first
	// asked for; a write without an answer is asked for again.
	pending Record
	asked   time.Time
	tick    Tick
}

// NewState returns the state of a run of an entry that knows nothing yet.
func NewState(self string, start uint64) State { return State{self: self, start: start} }

// Held returns the epoch and reports whether the entry may act as holder at the
// given moment.
func (s State) Held(now time.Time) (uint64, bool) {
	return s.now.Epoch, s.held && now.Before(s.until)
}

// Step takes a message and returns the next state and what to do.
func (s State) Step(m Message) (State, Command) {
	switch m := m.(type) {
	case Tick:
		return s.passed(m)
	case Read:
		return s.read(m)
	case Wrote:
		return s.wrote(m), Command{}
	}
	return s, Command{}
}

func (s State) passed(m Tick) (State, Command) {
	s.tick = m
	if _, held := s.Held(m.Now); !held {
		s.held = false
	}
	if m.Now.Sub(s.called) < renewAfter || m.Rank < 0 && !s.held {
		return s, Command{}
	}
	s.called = m.Now
	if !s.held {
		return s, Command{Read: true}
	}
	next := s.now
	next.Renewal++
	return s.write(m.Now, next)
}

func (s State) write(now time.Time, r Record) (State, Command) {
	if s.pending != r {
		s.pending, s.asked = r, now
	}
	return s, Command{Write: &r, Tag: s.tag}
}

func (s State) read(m Read) (State, Command) {
	if m.Tag != s.tag || s.since.IsZero() {
		s.now, s.tag, s.since = m.Record, m.Tag, m.Now
	}
	wait := TTL + drift + time.Duration(s.tick.Rank)*rankDelay
	free := s.tag == "" || s.now.Holder == "" || m.Now.Sub(s.since) >= wait
	if s.held || s.tick.Rank < 0 || !free {
		return s, Command{}
	}
	return s.write(m.Now, Record{Holder: s.self, Start: s.start, Epoch: max(s.now.Epoch, s.tick.KnownEpoch) + 1})
}

// wrote counts the lease from when the record was first asked for, since an
// earlier call for it may be the one that took effect.
func (s State) wrote(m Wrote) State {
	switch {
	case m.Rejected:
		s.held = false
	case m.Applied && m.Record == s.pending:
		s.now, s.tag, s.since = m.Record, m.Tag, s.asked
		s.held = m.Record.Holder == s.self
		s.until = s.asked.Add(TTL)
	}
	return s
}
