package yuccaidempotency

import (
	"slices"
	"time"
)

// ID identifies an idempotency key of a service.
type ID [16]byte

// Attempt identifies one call of Begin.
type Attempt [16]byte

// Record says which try may run a key. Nothing else may.
type Record struct {
	ID          ID
	Fingerprint uint64
	Attempt     Attempt
	// Entry is where the try was made.
	Entry string
	At    time.Time
}

// Part names an object with older records of a range.
type Part struct {
	Key string
	// Last is the time of its newest record.
	Last time.Time
}

// Limits bound a range.
type Limits struct {
	// Expiry is how long a record is kept.
	Expiry time.Duration
	// MaxOpenRecords is how many records the range's own object holds before they move to
	// a part.
	MaxOpenRecords int
	// Keys is how many records a range holds in all.
	Keys int
	// Rounds is how often a write is tried.
	Rounds int
}

// Shard is what an entry knows of one range of keys. The range's object in the
// store decides; every write of it is conditional on the tag last seen, so what
// an entry knows may be old but never leads to a second run.
type Shard struct {
	limits   Limits
	loaded   bool
	busy     bool
	tag      string
	open     []Record
	parts    []Part
	index    map[ID]Record
	waiting  []pending
	batch    []pending
	releases []Record
	// next is the content being written.
	next content
}

// content is what a write in progress makes of the range.
type content struct {
	open    []Record
	parts   []Part
	expired []Part
	freed   []Record
	// old is the time up to which records have expired.
	old time.Time
}

// pending is a record that waits to be written.
type pending struct {
	record Record
	rounds int
}

// NewShard returns a range of which nothing is known.
func NewShard(limits Limits) Shard { return Shard{limits: limits} }

// Message is something that happened to a range.
type Message interface{ message() }

type (
	// Asked asks for a key to be claimed.
	Asked struct{ Record Record }
	// Released gives a claim back whose try certainly did not and will not run.
	Released struct {
		ID      ID
		Attempt Attempt
	}
	// StoreCallAllowed says that the store may be called now.
	StoreCallAllowed struct{ Now time.Time }
	// Loaded carries the range's object and the records of the parts that were
	// not known.
	Loaded struct {
		Now   time.Time
		Tag   string
		Open  []Record
		Parts []Part
		Old   []Record
	}
	// LoadFailed says that the object could not be read.
	LoadFailed struct{}
	// Sealed says that a part was written.
	Sealed struct {
		Now time.Time
		Key string
	}
	// Written says that the range's object was written.
	Written struct{ Tag string }
	// WriteFailed says that a write lost its condition or had no answer.
	WriteFailed struct{}
)

func (Asked) message()            {}
func (Released) message()         {}
func (StoreCallAllowed) message() {}
func (Loaded) message()           {}
func (LoadFailed) message()       {}
func (Sealed) message()           {}
func (Written) message()          {}
func (WriteFailed) message()      {}

// Command is something to be done for a range.
type Command interface{ command() }

type (
	// Schedule asks for a StoreCallAllowed as soon as the call budget allows.
	Schedule struct{}
	// Load reads the range's object and its parts, but for those known, which
	// never change.
	Load struct{ Known []Part }
	// Seal writes a part under a key of its own.
	Seal struct{ Records []Record }
	// Write writes the range's object if its tag is still Tag; an empty Tag
	// means that there must be no object.
	Write struct {
		Tag   string
		Open  []Record
		Parts []Part
	}
	// Decide tells the try which record decides its key.
	Decide struct {
		Attempt Attempt
		Record  Record
	}
	// GiveUp tells the try that its key cannot be decided.
	GiveUp struct{ Attempt Attempt }
	// Discard deletes parts that no range names any more.
	Discard struct{ Parts []Part }
)

func (Schedule) command() {}
func (Load) command()     {}
func (Seal) command()     {}
func (Write) command()    {}
func (Decide) command()   {}
func (GiveUp) command()   {}
func (Discard) command()  {}

// Update takes a message and returns the new state and what to do. The earlier
// state must not be used again.
func (r Shard) Update(m Message) (Shard, []Command) {
	switch m := m.(type) {
	case Asked:
		return r.asked(m.Record)
	case Released:
		return r.released(m)
	case StoreCallAllowed:
		if !r.loaded {
			return r, []Command{Load{r.parts}}
		}
		return r.write(m.Now)
	case Loaded:
		return r.load(m)
	case LoadFailed:
		return r.giveUp()
	case Sealed:
		return r.sealed(m)
	case Written:
		return r.written(m.Tag)
	case WriteFailed:
		return r.failed()
	}
	return r, nil
}

func (r Shard) asked(a Record) (Shard, []Command) {
	if known, ok := r.index[a.ID]; ok && r.loaded {
		return r, []Command{Decide{a.Attempt, known}}
	}
	r.waiting = append(r.waiting, pending{record: a})
	return r.schedule()
}

func (r Shard) schedule() (Shard, []Command) {
	if r.busy {
		return r, nil
	}
	r.busy = true
	return r, []Command{Schedule{}}
}

func (r Shard) released(m Released) (Shard, []Command) {
	r.waiting = slices.DeleteFunc(r.waiting, func(p pending) bool { return p.record.Attempt == m.Attempt })
	if len(r.releases) >= r.limits.MaxOpenRecords {
		return r, nil
	}
	r.releases = append(r.releases, Record{ID: m.ID, Attempt: m.Attempt})
	return r.schedule()
}

func (r Shard) load(m Loaded) (Shard, []Command) {
	if r.index == nil {
		r.index = make(map[ID]Record, len(m.Open)+len(m.Old))
	}
	for _, before := range r.open {
		delete(r.index, before.ID)
	}
	r.loaded, r.tag, r.open, r.parts = true, m.Tag, m.Open, m.Parts
	for _, old := range m.Old {
		r.index[old.ID] = old
	}
	for _, open := range m.Open {
		r.index[open.ID] = open
	}
	return r.write(m.Now)
}
