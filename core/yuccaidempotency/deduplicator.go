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

// MaxKeyBytes is the longest idempotency key in bytes.
const MaxKeyBytes = 1024

// maxCachedBytes is the size of the largest response that is cached. A message
// to another entry must have room for it.
const maxCachedBytes = yuccapeer.MaxBodyBytes / 2

// Options are the dependencies and limits of a Deduplicator. A limit of zero
// gets the default that is named at its field.
type Options struct {
	// Store holds the claims of all entries.
	Store yuccastore.Store
	// Bus carries the messages to the other entries.
	Bus yuccapeer.Bus
	// Self is this entry's name.
	Self string
	// Members returns the names of the entries that are not leaving. A wrong
	// list costs extra calls but never lets a request run twice. Nil means no
	// members: this entry then writes all claims itself.
	Members func() []string
	// Log receives the events of the Deduplicator.
	Log zerolog.Logger

	// Expiry is how long a key is remembered, by default 1 hour. It must be
	// longer than any caller keeps retrying.
	Expiry time.Duration
	// Shards is how many objects in the store the keys are spread over, by
	// default 8. All entries must use the same number.
	Shards int
	// MinWriteInterval is the minimum time between two writes of one shard, by
	// default 25 ms.
	MinWriteInterval time.Duration
	// ClaimTimeout limits the duration of one claim and of one call to the
	// store, by default 2 s.
	ClaimTimeout time.Duration
	// MaxOpenRecords is how many records a shard object holds before they move
	// to a part object, by default 512.
	MaxOpenRecords int
	// MaxKeysPerShard is how many records a shard holds in all, by default
	// 262,144. Further claims fail.
	MaxKeysPerShard int
	// MaxCacheBytes limits the memory for cached responses, by default 64 MiB.
	MaxCacheBytes int
}

func (o Options) withDefaults() Options {
	if o.Members == nil {
		o.Members = func() []string { return nil }
	}
	o.Expiry = durationOrDefault(o.Expiry, time.Hour)
	o.MinWriteInterval = durationOrDefault(o.MinWriteInterval, 25*time.Millisecond)
	o.ClaimTimeout = durationOrDefault(o.ClaimTimeout, 2*time.Second)
	o.Shards = intOrDefault(o.Shards, 8)
	o.MaxOpenRecords = intOrDefault(o.MaxOpenRecords, 512)
	o.MaxKeysPerShard = intOrDefault(o.MaxKeysPerShard, 1<<18)
	o.MaxCacheBytes = intOrDefault(o.MaxCacheBytes, 64<<20)
	return o
}

func durationOrDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

func intOrDefault(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// maxWrites is how often one claim is written before it fails.
const maxWrites = 5

func (o Options) limits() Limits {
	return Limits{Expiry: o.Expiry, MaxOpenRecords: o.MaxOpenRecords, MaxKeys: o.MaxKeysPerShard, MaxWrites: maxWrites}
}

// Deduplicator claims idempotency keys in the store and caches first responses.
// Create one with New. It implements yuccakernel.Service.
type Deduplicator struct {
	// opt holds the options with their defaults filled in.
	opt Options
	// workers has one worker for each shard.
	workers []*worker
	// cache holds the first responses of requests that ran on this entry and
	// those that stopping entries handed off to it.
	cache *responseCache
	// unresponsive holds the entries that did not answer a recent call.
	unresponsive *unresponsiveSet

	// ctx is the context of all background work. It ends when the Deduplicator
	// stops.
	ctx context.Context
	// cancel ends ctx.
	cancel context.CancelFunc
	// group contains the background goroutines.
	group errgroup.Group
	// mu guards stopped.
	mu sync.Mutex
	// stopped is true once Stop has been called; no background work starts
	// after that.
	stopped bool
	// done is closed when all background work has ended.
	done chan struct{}
}

// New returns a Deduplicator and registers its handlers for messages of other
// entries on the bus.
func New(opt Options) *Deduplicator {
	opt = opt.withDefaults()
	k := &Deduplicator{opt: opt, cache: newResponseCache(opt.MaxCacheBytes, opt.Expiry), unresponsive: newUnresponsiveSet(), done: make(chan struct{})}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	for n := range opt.Shards {
		k.workers = append(k.workers, newWorker(k, n))
	}
	k.registerHandlers()
	return k
}

// Start implements yuccakernel.Service.
func (k *Deduplicator) Start(context.Context, *errgroup.Group) error { return nil }

// Stop hands the cached responses off to other entries, cancels the background
// work and waits until it has ended.
func (k *Deduplicator) Stop(ctx context.Context) error {
	k.handOff(ctx)
	k.mu.Lock()
	wasStopped := k.stopped
	k.stopped = true
	k.mu.Unlock()
	if wasStopped {
		return nil
	}
	k.cancel()
	err := k.group.Wait()
	close(k.done)
	return err
}

// Done implements yuccakernel.Service.
func (k *Deduplicator) Done() <-chan struct{} { return k.done }

// spawn runs fn in a goroutine; its context ends when the Deduplicator stops.
// It returns false, without running fn, once the Deduplicator has stopped.
func (k *Deduplicator) spawn(fn func(context.Context)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return false
	}
	k.group.Go(func() error {
		fn(k.ctx)
		return nil
	})
	return true
}

// Begin claims a key. After any error the request must not run. If the
// attributes of the error's kind say MayHaveRun, an earlier request with the
// same key may have run. For a key longer than MaxKeyBytes, Begin returns an error
// of kind TooLarge.
func (k *Deduplicator) Begin(ctx context.Context, r Request) (Claim, error) {
	if len(r.Key) > MaxKeyBytes {
		return Claim{}, yuccaerror.New(yuccaerror.TooLarge, "idempotency key has %d bytes; the limit is %d", len(r.Key), MaxKeyBytes)
	}
	ctx, cancel := k.withClaimDeadline(ctx, r.Deadline)
	defer cancel()
	c := Claim{Request: r, id: newID(r), attempt: newAttempt()}
	known, err := k.claim(ctx, Record{ID: c.id, Fingerprint: r.Fingerprint, Attempt: c.attempt, Entry: k.opt.Self})
	switch {
	case err != nil:
		k.release(c)
		return Claim{}, err
	case known.Attempt == c.attempt:
		k.cache.begin(c.id)
		return c, nil
	case known.Fingerprint != r.Fingerprint:
		return Claim{}, yuccaerror.New(yuccaerror.KeyMismatch, "the idempotency key was used before with a different method, target or body")
	}
	c.Replay, err = k.lookup(ctx, known)
	return c, err
}

// withClaimDeadline limits ctx to ClaimTimeout and to the deadline, if there is
// one.
func (k *Deduplicator) withClaimDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	end := time.Now().Add(k.opt.ClaimTimeout)
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	return context.WithDeadline(ctx, end)
}

// End reports the outcome of a claim. Call it exactly once for each claim
// without a Replay.
func (k *Deduplicator) End(c Claim, o Outcome) {
	if !o.MayHaveRun {
		k.cache.end(c.id)
		k.release(c)
		return
	}
	k.cache.add(c.id, o.Response, time.Now())
	k.cache.end(c.id)
}

func (k *Deduplicator) worker(id ID) *worker { return k.workers[k.shardIndex(id)] }

// shardIndex returns the number of the shard that a key belongs to.
func (k *Deduplicator) shardIndex(id ID) int {
	return int(binary.BigEndian.Uint32(id[:])) % k.opt.Shards
}

// newID hashes the service and the key, so that all records have the same size.
// The length of the service's name comes first, so that no two pairs of service
// and key hash the same bytes.
func newID(r Request) ID {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(r.Service)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(r.Service))
	_, _ = h.Write([]byte(r.Key))
	return ID(h.Sum(nil)[:len(ID{})])
}

// newAttempt returns a random Attempt.
func newAttempt() Attempt {
	var t Attempt
	_, _ = rand.Read(t[:])
	return t
}
