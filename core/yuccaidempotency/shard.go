package yuccaidempotency

import (
	"slices"
	"time"
)

// ID identifies an idempotency key within a service; see newID.
type ID [16]byte

// Attempt identifies one call of Deduplicator.Begin. It is random.
type Attempt [16]byte

// Record says which attempt may run the request with a key. No other attempt
// may.
type Record struct {
	// ID identifies the key.
	ID ID
	// Fingerprint is the Request.Fingerprint of the attempt.
	Fingerprint uint64
	// Attempt is the one that may run.
	Attempt Attempt
	// Entry is the name of the entry that made the attempt.
	Entry string
	// At is when the record was written. It expires Limits.Expiry later.
	At time.Time
}

// Part refers to a part object, which holds older records of a shard and never
// changes.
type Part struct {
	// Key is the part object's key in the store.
	Key string
	// Last is the time of its newest record.
	Last time.Time
}

// Limits are the limits of one shard.
type Limits struct {
	// Expiry is how long a record is kept.
	Expiry time.Duration
	// MaxOpenRecords is how many records the shard object holds before they
	// move to a part object.
	MaxOpenRecords int
	// MaxKeys is how many records a shard holds in all; further claims fail.
	MaxKeys int
	// MaxWrites is how often a claim is written before it fails.
	MaxWrites int
}

// Shard is what an entry knows about one shard of the keys. The shard object in
// the store is authoritative: every write of it is conditional on the tag seen
// last, so outdated knowledge only makes a write fail and never lets a request
// run twice. The zero value is not valid; use NewShard.
type Shard struct {
	// limits are the limits given to NewShard.
	limits Limits
	// loaded is true when the shard object has been read and no write has
	// failed since.
	loaded bool
	// busy is true from Schedule until the resulting store calls have ended.
	// Only one command that calls the store, except Discard, is outstanding at
	// a time.
	busy bool
	// tag is the tag of the shard object seen last, "" if there was no object.
	tag string
	// open holds the records of the shard object.
	open []Record
	// parts refers to the part objects.
	parts []Part
	// index holds all known records, those of open and of the parts, by key.
	index map[ID]Record
	// waiting holds the claims that are not part of the current write.
	waiting []pendingClaim
	// batch holds the claims of the current write.
	batch []pendingClaim
	// releases holds the claims to remove from the shard object. Only ID and
	// Attempt are set.
	releases []Record
	// next is the content of the current write.
	next nextContent
}

// nextContent is the content of the shard after the current write.
type nextContent struct {
	// open holds the records of the new shard object.
	open []Record
	// parts refers to the part objects that remain.
	parts []Part
	// expiredParts refers to the part objects that are left out since all their
	// records have expired.
	expiredParts []Part
	// released holds the claims that were left out since they were released.
	released []Record
	// expiryCutoff is the time up to which records have expired.
	expiryCutoff time.Time
}

// pendingClaim is a claim that waits to be written.
type pendingClaim struct {
	record Record
	// failedWrites is how many writes of it have failed.
	failedWrites int
}

// NewShard returns a Shard that knows nothing about the store yet.
func NewShard(limits Limits) Shard { return Shard{limits: limits} }

// Message is an event that a Shard reacts to. A field Now is the time of the
// event, since a Shard does not read the clock.
type Message interface{ message() }

type (
	// ClaimRequested asks for a key to be claimed. The answer is a Decide or a
	// GiveUp for its Attempt.
	ClaimRequested struct{ Record Record }
	// Released releases a claim. Its request certainly did not run and will not
	// run.
	Released struct {
		// ID identifies the key.
		ID ID
		// Attempt is the attempt that made the claim.
		Attempt Attempt
	}
	// StoreCallAllowed answers Schedule: the store may be called now.
	StoreCallAllowed struct{ Now time.Time }
	// Loaded answers Load with the content of the shard object. An empty Tag
	// means that there is no object.
	Loaded struct {
		// Now is the time after the read.
		Now time.Time
		// Tag is the tag of the shard object.
		Tag string
		// Open holds the records of the shard object.
		Open []Record
		// Parts refers to the part objects.
		Parts []Part
		// PartRecords holds the records of the part objects that Load did not
		// list as known.
		PartRecords []Record
	}
	// LoadFailed says that the shard object or a part object could not be read.
	LoadFailed struct{}
	// Sealed answers Seal: a part object was written under Key.
	Sealed struct {
		Now time.Time
		Key string
	}
	// Written answers Write: the shard object was written and has a new tag.
	Written struct{ Tag string }
	// WriteFailed says that a Seal or Write failed: its condition did not hold,
	// or the store did not answer.
	WriteFailed struct{}
)

func (ClaimRequested) message()   {}
func (Released) message()         {}
func (StoreCallAllowed) message() {}
func (Loaded) message()           {}
func (LoadFailed) message()       {}
func (Sealed) message()           {}
func (Written) message()          {}
func (WriteFailed) message()      {}

// Command is an action that a Shard asks its worker for.
type Command interface{ command() }

type (
	// Schedule asks for StoreCallAllowed as soon as the rate limit for writes
	// (MinWriteInterval) permits.
	Schedule struct{}
	// Load reads the shard object and its part objects, except the known ones,
	// which never change.
	Load struct{ KnownParts []Part }
	// Seal writes the records to a new part object.
	Seal struct{ Records []Record }
	// Write writes the shard object on condition that its tag is still Tag. An
	// empty Tag means that there must be no object.
	Write struct {
		// Tag is the tag that the shard object must still have.
		Tag string
		// Open holds the records of the new shard object.
		Open []Record
		// Parts refers to the part objects.
		Parts []Part
	}
	// Decide answers an attempt with the record that decides its key. The
	// attempt may run only if it is the record's Attempt.
	Decide struct {
		Attempt Attempt
		Record  Record
	}
	// GiveUp ends an attempt because its key cannot be decided.
	GiveUp struct{ Attempt Attempt }
	// Discard deletes part objects that the shard object does not refer to.
	Discard struct{ Parts []Part }
)

func (Schedule) command() {}
func (Load) command()     {}
func (Seal) command()     {}
func (Write) command()    {}
func (Decide) command()   {}
func (GiveUp) command()   {}
func (Discard) command()  {}

// Update handles a message and returns the new state and the commands to
// perform. The receiver must not be used again, since both share memory.
func (r Shard) Update(m Message) (Shard, []Command) {
	switch m := m.(type) {
	case ClaimRequested:
		return r.addClaim(m.Record)
	case Released:
		return r.addRelease(m)
	case StoreCallAllowed:
		if !r.loaded {
			return r, []Command{Load{r.parts}}
		}
		return r.write(m.Now)
	case Loaded:
		return r.applyLoad(m)
	case LoadFailed:
		return r.giveUpWaiting()
	case Sealed:
		return r.finishSeal(m)
	case Written:
		return r.finishWrite(m.Tag)
	case WriteFailed:
		return r.handleWriteFailure()
	}
	return r, nil
}

// addClaim decides a claim of a known key at once and queues any other.
func (r Shard) addClaim(a Record) (Shard, []Command) {
	if known, ok := r.index[a.ID]; ok && r.loaded {
		return r, []Command{Decide{a.Attempt, known}}
	}
	r.waiting = append(r.waiting, pendingClaim{record: a})
	return r.schedule()
}

// schedule asks for a store call unless one is in progress.
func (r Shard) schedule() (Shard, []Command) {
	if r.busy {
		return r, nil
	}
	r.busy = true
	return r, []Command{Schedule{}}
}

// addRelease withdraws the claim if it still waits and queues its removal from
// the shard object. When MaxOpenRecords releases are queued, a further one is
// dropped; its record then remains until it expires.
func (r Shard) addRelease(m Released) (Shard, []Command) {
	r.waiting = slices.DeleteFunc(r.waiting, func(p pendingClaim) bool { return p.record.Attempt == m.Attempt })
	if len(r.releases) >= r.limits.MaxOpenRecords {
		return r, nil
	}
	r.releases = append(r.releases, Record{ID: m.ID, Attempt: m.Attempt})
	return r.schedule()
}

// applyLoad replaces the state of the shard by what was read and continues with a
// write.
func (r Shard) applyLoad(m Loaded) (Shard, []Command) {
	if r.index == nil {
		r.index = make(map[ID]Record, len(m.Open)+len(m.PartRecords))
	}
	for _, before := range r.open {
		delete(r.index, before.ID)
	}
	r.loaded, r.tag, r.open, r.parts = true, m.Tag, m.Open, m.Parts
	for _, old := range m.PartRecords {
		r.index[old.ID] = old
	}
	for _, open := range m.Open {
		r.index[open.ID] = open
	}
	return r.write(m.Now)
}
