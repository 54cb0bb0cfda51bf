package yuccaidempotency

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccastore"
)

// MaxKey is the longest idempotency key in bytes.
const MaxKey = 1024

// maxHeld is the largest answer that is held, so that it fits a peer message.
const maxHeld = yuccapeer.MaxBody / 2

// Options are the dependencies and bounds of a Deduplicator. Zero bounds get defaults.
type Options struct {
	Store yuccastore.Store
	Bus   yuccapeer.Bus
	// Self is this entry's name.
	Self string
	// Members returns the names of the entries that are not leaving. It may be
	// wrong: that costs calls, never a second run.
	Members func() []string
	Log     zerolog.Logger

	// Expiry is how long a key is remembered; longer than any caller sends again.
	Expiry time.Duration
	// Shards is how many objects the keys are spread over. All entries must
	// agree on it.
	Shards int
	// MinWriteInterval is the least time between two writes of one range.
	MinWriteInterval time.Duration
	// ClaimTimeout bounds a claim.
	ClaimTimeout time.Duration
	// MaxOpenRecords is how many records a range's own object holds, and Keys how many a
	// range holds in all.
	MaxOpenRecords, Keys int
	// MaxCacheBytes bounds the answers that are held for repeats.
	MaxCacheBytes int
}

func (o Options) withDefaults() Options {
	if o.Members == nil {
		o.Members = func() []string { return nil }
	}
	o.Expiry = orDuration(o.Expiry, time.Hour)
	o.MinWriteInterval = orDuration(o.MinWriteInterval, 25*time.Millisecond)
	o.ClaimTimeout = orDuration(o.ClaimTimeout, 2*time.Second)
	o.Shards = orInt(o.Shards, 8)
	o.MaxOpenRecords = orInt(o.MaxOpenRecords, 512)
	o.Keys = orInt(o.Keys, 1<<18)
	o.MaxCacheBytes = orInt(o.MaxCacheBytes, 64<<20)
	return o
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

func orInt(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// rounds is how often one claim is written before it is given up.
const rounds = 5

func (o Options) limits() Limits {
	return Limits{Expiry: o.Expiry, MaxOpenRecords: o.MaxOpenRecords, Keys: o.Keys, Rounds: rounds}
}

// Deduplicator claims keys in the store and holds first answers. Make one with New.
type Deduplicator struct {
	opt     Options
	workers []*worker
	answers *answers
	suspect *suspects

	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	mu     sync.Mutex
	ended  bool
	done   chan struct{}
}

// New returns a keeper and registers what it answers to other entries.
func New(opt Options) *Deduplicator {
	opt = opt.withDefaults()
	k := &Deduplicator{opt: opt, answers: newAnswers(opt.MaxCacheBytes, opt.Expiry), suspect: newSuspects(), done: make(chan struct{})}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	for n := range opt.Shards {
		k.workers = append(k.workers, newWorker(k, n))
	}
	k.handle()
	return k
}

// Start implements yuccakernel.Service.
func (k *Deduplicator) Start(context.Context, *errgroup.Group) error { return nil }

// Stop hands the answers that are held to other entries and ends the work.
func (k *Deduplicator) Stop(ctx context.Context) error {
	k.handOver(ctx)
	k.mu.Lock()
	ended := k.ended
	k.ended = true
	k.mu.Unlock()
	if ended {
		return nil
	}
	k.cancel()
	err := k.group.Wait()
	close(k.done)
	return err
}

// Done implements yuccakernel.Service.
func (k *Deduplicator) Done() <-chan struct{} { return k.done }

// spawn runs fn beside the caller until the keeper stops. It reports false once
// the keeper has stopped.
func (k *Deduplicator) spawn(fn func(context.Context)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return false
	}
	k.group.Go(func() error {
		fn(k.ctx)
		return nil
	})
	return true
}

// Begin claims a key. With an error of a kind whose row says that the request
// may have run, an earlier request of the same key may have; the request itself
// must not run with any error.
func (k *Deduplicator) Begin(ctx context.Context, r Request) (Claim, error) {
	if len(r.Key) > MaxKey {
		return Claim{}, yuccaerror.New(yuccaerror.Large, "key has %d bytes, at most %d are taken", len(r.Key), MaxKey)
	}
	ctx, cancel := k.bound(ctx, r.Deadline)
	defer cancel()
	c := Claim{Request: r, id: newID(r), try: newTry()}
	known, err := k.ask(ctx, Record{ID: c.id, Fingerprint: r.Fingerprint, Attempt: c.try, Entry: k.opt.Self})
	switch {
	case err != nil:
		k.release(c)
		return Claim{}, err
	case known.Attempt == c.try:
		k.answers.begin(c.id)
		return c, nil
	case known.Fingerprint != r.Fingerprint:
		return Claim{}, yuccaerror.New(yuccaerror.KeyMismatch, "the key was used for another request")
	}
	c.Replay, err = k.seek(ctx, known)
	return c, err
}

func (k *Deduplicator) bound(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	end := time.Now().Add(k.opt.ClaimTimeout)
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	return context.WithDeadline(ctx, end)
}

// End says what came of a claim. Call it exactly once for each claim without a
// Replay.
func (k *Deduplicator) End(c Claim, o Outcome) {
	if !o.MayHaveRun {
		k.answers.end(c.id)
		k.release(c)
		return
	}
	k.answers.keep(c.id, o.Answer, time.Now())
	k.answers.end(c.id)
}

func (k *Deduplicator) worker(id ID) *worker { return k.workers[k.rangeOf(id)] }

func (k *Deduplicator) rangeOf(id ID) int {
	return int(binary.BigEndian.Uint32(id[:])) % k.opt.Shards
}

// newID hashes service and key, so that records have one size.
func newID(r Request) ID {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(r.Service)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(r.Service))
	_, _ = h.Write([]byte(r.Key))
	return ID(h.Sum(nil)[:len(ID{})])
}

func newTry() Attempt {
	var t Attempt
	_, _ = rand.Read(t[:])
	return t
}
