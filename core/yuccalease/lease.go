// Package yuccalease implements the planner lease: at most one entry (a proxy
// instance of the system) at a time holds it and may publish plans.
//
// The lease is an object on the platform, the object store of the system. All
// writes to it are conditional. The holder measures its validity on its own
// monotonic clock, from before it sent the write. Another entry may take over
// when it has seen the object unchanged for longer than that, so the clocks of
// the entries need not agree. Every change of holder increases the epoch, a
// fencing token that is part of everything the holder publishes.
//
// State is the state machine without I/O. Elector runs it and performs the
// calls to the platform.
//
//	elector := yuccalease.New(name, incarnation, store, candidates, log)
//	err := elector.Start(ctx, group)
//	if epoch, ok := elector.Held(); ok {
//		// Publish a plan with this epoch.
//	}
package yuccalease

import "time"

const (
	// TTL is how long the lease is valid after a write.
	TTL = 5 * time.Second
	// renewInterval is the interval at which the holder renews the lease and
	// other candidates read it.
	renewInterval = TTL / 3
	// clockDriftMargin is the additional time that other candidates wait, in
	// case clocks run at different rates.
	clockDriftMargin = TTL / 10
	// rankDelay is the additional time that a candidate waits for each rank
	// above 0, so that candidates try one after the other.
	rankDelay = TTL / 10
)

// Record is the lease object on the platform, encoded as JSON.
type Record struct {
	// Holder is the name of the entry that holds the lease. It is empty after
	// the holder has released the lease.
	Holder string `json:"holder"`
	// Incarnation tells apart the successive processes that run under the name Holder.
	Incarnation uint64 `json:"start"`
	// Epoch increases with every change of holder.
	Epoch uint64 `json:"epoch"`
	// Renewal increases with every write under the same epoch.
	Renewal uint64 `json:"renewal"`
}

// Command is a platform call that Step requests. Either Read or Write is set,
// or neither.
type Command struct {
	// Read requests a read of the lease object.
	Read bool
	// Write is the record to write, on the condition that Tag describes.
	Write *Record
	// Tag is the tag that the object must still have. If it is empty, the object
	// must not exist.
	Tag string
}

// Message is an input of Step.
type Message interface{ message() }

type (
	// Tick reports the current time.
	Tick struct {
		// Now is the current time.
		Now time.Time
		// Rank is the entry's rank among the candidates, from 0, or negative if
		// it is no candidate.
		Rank int
		// KnownEpoch is the highest epoch that the entry knows.
		KnownEpoch uint64
	}
	// ReadResult is the result of a successful read.
	ReadResult struct {
		// Now is the time after the read.
		Now time.Time
		// Record is the record on the platform.
		Record Record
		// Tag is the tag of the object. It is empty when the object does not
		// exist.
		Tag string
	}
	// WriteResult is the outcome of a write. If neither Applied nor Rejected is
	// set, the outcome is unknown.
	WriteResult struct {
		// Record is the record of the write.
		Record Record
		// Tag is the tag of the object after an applied write.
		Tag string
		// Applied reports that the write is known to have taken effect.
		Applied bool
		// Rejected reports that the write is known to have had no effect.
		Rejected bool
	}
)

func (Tick) message()        {}
func (ReadResult) message()  {}
func (WriteResult) message() {}

// State is what one entry knows about the lease. It is immutable.
type State struct {
	// self is the name of the entry.
	self string
	// incarnation is the incarnation of the entry.
	incarnation uint64

	// held is set while the entry may be the holder.
	held bool
	// expires is when the lease of this entry ends.
	expires time.Time
	// record is the latest known record on the platform.
	record Record
	// tag is the tag of the object that holds record.
	tag string
	// tagSince is when the object was first seen with this tag.
	tagSince time.Time
	// lastCall is when the last read or renewal was requested.
	lastCall time.Time
	// pending is the last record that was to be written. A write with an
	// unknown outcome is requested again.
	pending Record
	// pendingSince is when the write of pending was first requested.
	pendingSince time.Time
	// lastTick is the latest Tick.
	lastTick Tick
}

// NewState returns the initial state of an entry with the given name and
// incarnation.
func NewState(self string, incarnation uint64) State {
	return State{self: self, incarnation: incarnation}
}

// Held returns the epoch and reports whether the entry holds the lease at the
// given time.
func (s State) Held(now time.Time) (uint64, bool) {
	return s.record.Epoch, s.held && now.Before(s.expires)
}

// Step processes a message and returns the next state and the platform call to
// make, if any.
func (s State) Step(m Message) (State, Command) {
	switch m := m.(type) {
	case Tick:
		return s.onTick(m)
	case ReadResult:
		return s.onReadResult(m)
	case WriteResult:
		return s.onWriteResult(m), Command{}
	}
	return s, Command{}
}

// onTick requests the renewal of the lease or a read at every renewInterval.
func (s State) onTick(m Tick) (State, Command) {
	s.lastTick = m
	if _, held := s.Held(m.Now); !held {
		s.held = false
	}
	if m.Now.Sub(s.lastCall) < renewInterval || m.Rank < 0 && !s.held {
		return s, Command{}
	}
	s.lastCall = m.Now
	if !s.held {
		return s, Command{Read: true}
	}
	next := s.record
	next.Renewal++
	return s.requestWrite(m.Now, next)
}

// requestWrite requests a write on the condition that the object is unchanged.
func (s State) requestWrite(now time.Time, r Record) (State, Command) {
	if s.pending != r {
		s.pending, s.pendingSince = r, now
	}
	return s, Command{Write: &r, Tag: s.tag}
}

// onReadResult requests a takeover if the lease is free or has expired.
func (s State) onReadResult(m ReadResult) (State, Command) {
	if m.Tag != s.tag || s.tagSince.IsZero() {
		s.record, s.tag, s.tagSince = m.Record, m.Tag, m.Now
	}
	takeoverDelay := TTL + clockDriftMargin + time.Duration(s.lastTick.Rank)*rankDelay
	free := s.tag == "" || s.record.Holder == "" || m.Now.Sub(s.tagSince) >= takeoverDelay
	if s.held || s.lastTick.Rank < 0 || !free {
		return s, Command{}
	}
	return s.requestWrite(m.Now, Record{Holder: s.self, Incarnation: s.incarnation, Epoch: max(s.record.Epoch, s.lastTick.KnownEpoch) + 1})
}

// onWriteResult measures the lease from when the record was first requested,
// because an earlier call with the same record may be the one that took effect.
func (s State) onWriteResult(m WriteResult) State {
	switch {
	case m.Rejected:
		s.held = false
	case m.Applied && m.Record == s.pending:
		s.record, s.tag, s.tagSince = m.Record, m.Tag, s.pendingSince
		s.held = m.Record.Holder == s.self
		s.expires = s.pendingSince.Add(TTL)
	}
	return s
}
