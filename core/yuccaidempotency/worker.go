package yuccaidempotency

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

// KeyPrefix is the prefix of all keys in the store that hold claims. The object of
// shard N has the key "claims/" and N in three digits; its part objects have
// that key, a slash and a random name.
const KeyPrefix = "claims/"

// worker runs the Shard of one shard and performs its commands. It makes one store
// call at a time, so claims that arrive during a call share the next write.
type worker struct {
	// dedup is the Deduplicator that the worker belongs to.
	dedup *Deduplicator
	// key is the shard object's key in the store.
	key string
	// limiter limits the rate of writes and deletions to one per
	// MinWriteInterval.
	limiter *rate.Limiter

	// mu guards state and waiters.
	mu sync.Mutex
	// state is the state machine of the shard.
	state Shard
	// waiters holds a channel for each call of claim that waits, by its
	// attempt.
	waiters map[Attempt][]chan Record
}

// newWorker returns the worker of shard n.
func newWorker(k *Deduplicator, n int) *worker {
	return &worker{
		dedup:   k,
		key:     fmt.Sprintf("%s%03d", KeyPrefix, n),
		limiter: rate.NewLimiter(rate.Every(k.opt.MinWriteInterval), 1),
		state:   NewShard(k.opt.limits()),
		waiters: map[Attempt][]chan Record{},
	}
}

// claim waits for the record that decides a's key. If there is none before ctx
// ends, the error is of kind KeyStateUnknown.
func (w *worker) claim(ctx context.Context, a Record) (Record, error) {
	result := make(chan Record, 1)
	w.mu.Lock()
	w.waiters[a.Attempt] = append(w.waiters[a.Attempt], result)
	w.mu.Unlock()
	w.step(ClaimRequested{a})
	select {
	case known := <-result:
		if known == (Record{}) {
			return known, yuccaerror.New(yuccaerror.KeyStateUnknown, "cannot tell whether the idempotency key was used: no answer from the store, too many conflicting writes, or the shard is full")
		}
		return known, nil
	case <-ctx.Done():
		w.resolve(a.Attempt, Record{})
		return Record{}, yuccaerror.New(yuccaerror.KeyStateUnknown, "wait for the claim in the store: %w", ctx.Err())
	}
}

// resolve passes the record to all calls of claim that wait for the attempt.
// The zero Record means that the key cannot be decided.
func (w *worker) resolve(t Attempt, known Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, result := range w.waiters[t] {
		result <- known
	}
	delete(w.waiters, t)
}

// step passes a message to the state machine and performs the resulting
// commands.
func (w *worker) step(m Message) {
	w.mu.Lock()
	var cmds []Command
	w.state, cmds = w.state.Update(m)
	w.mu.Unlock()
	for _, cmd := range cmds {
		w.perform(cmd)
	}
}

// perform performs a command. Commands that wait or call the store run in
// the background.
func (w *worker) perform(cmd Command) {
	switch cmd := cmd.(type) {
	case Decide:
		w.resolve(cmd.Attempt, cmd.Record)
	case GiveUp:
		w.resolve(cmd.Attempt, Record{})
	case Schedule:
		w.spawn(func(ctx context.Context) Message {
			if w.limiter.Wait(ctx) != nil {
				return LoadFailed{}
			}
			return StoreCallAllowed{time.Now()}
		})
	case Load:
		w.spawn(func(ctx context.Context) Message { return w.load(ctx, cmd) })
	case Seal:
		w.spawn(func(ctx context.Context) Message { return w.seal(ctx, cmd) })
	case Write:
		w.spawn(func(ctx context.Context) Message { return w.write(ctx, cmd) })
	case Discard:
		w.spawn(func(ctx context.Context) Message { return w.discard(ctx, cmd) })
	}
}

// spawn runs fn in the background and passes the resulting message, if any, to
// step. Once the Deduplicator has stopped it fails all waiting claims instead.
func (w *worker) spawn(fn func(context.Context) Message) {
	started := w.dedup.spawn(func(ctx context.Context) {
		if m := fn(ctx); m != nil {
			w.step(m)
		}
	})
	if !started {
		w.step(LoadFailed{})
	}
}

// load reads the shard object and the part objects that are not known yet. A
// missing shard object counts as an empty one.
func (w *worker) load(ctx context.Context, cmd Load) Message {
	ctx, cancel := context.WithTimeout(ctx, w.dedup.opt.ClaimTimeout)
	defer cancel()
	m := Loaded{}
	o, err := w.dedup.opt.Store.Get(ctx, w.key)
	if yuccaerror.Is(err, yuccaerror.NotFound) {
		m.Now = time.Now()
		return m
	}
	if err == nil {
		m.Tag = o.Tag
		m.Open, m.Parts, err = decodeShard(o.Value)
	}
	for i := 0; err == nil && i < len(m.Parts); i++ {
		var records []Record
		if slices.ContainsFunc(cmd.KnownParts, func(p Part) bool { return p.Key == m.Parts[i].Key }) {
			continue
		}
		records, err = w.loadPart(ctx, m.Parts[i].Key)
		m.PartRecords = append(m.PartRecords, records...)
	}
	if err != nil {
		w.dedup.opt.Log.Warn().Err(err).Str("range", w.key).Msg("claims_unreadable")
		return LoadFailed{}
	}
	m.Now = time.Now()
	return m
}

func (w *worker) loadPart(ctx context.Context, key string) ([]Record, error) {
	o, err := w.dedup.opt.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	return decodePart(o.Value)
}

// seal writes the records to a part object with a random name.
func (w *worker) seal(ctx context.Context, cmd Seal) Message {
	value, err := encodePart(cmd.Records)
	if err != nil {
		return WriteFailed{}
	}
	name := newAttempt()
	key := w.key + "/" + hex.EncodeToString(name[:])
	if !w.put(ctx, key, value, yuccastore.Cond{Absent: true}, new(string)) {
		return WriteFailed{}
	}
	return Sealed{time.Now(), key}
}

// write writes the shard object if its tag has not changed.
func (w *worker) write(ctx context.Context, cmd Write) Message {
	value, err := encodeShard(cmd.Open, cmd.Parts)
	if err != nil {
		return WriteFailed{}
	}
	var tag string
	if !w.put(ctx, w.key, value, yuccastore.Cond{Tag: cmd.Tag, Absent: cmd.Tag == ""}, &tag) {
		return WriteFailed{}
	}
	return Written{tag}
}

// put writes an object, stores its new tag in tag and reports success.
func (w *worker) put(ctx context.Context, key string, value []byte, cond yuccastore.Cond, tag *string) bool {
	ctx, cancel := context.WithTimeout(ctx, w.dedup.opt.ClaimTimeout)
	defer cancel()
	o, err := w.dedup.opt.Store.Put(ctx, key, value, cond)
	if err != nil {
		w.dedup.opt.Log.Debug().Err(err).Str("range", w.key).Msg("claims_not_written")
		return false
	}
	*tag = o.Tag
	return true
}

// discard deletes part objects, under the same rate limit as the shard's other
// calls.
func (w *worker) discard(ctx context.Context, cmd Discard) Message {
	for _, p := range cmd.Parts {
		if w.limiter.Wait(ctx) != nil {
			return nil
		}
		if err := w.dedup.opt.Store.Delete(ctx, p.Key, yuccastore.Cond{}); err != nil {
			w.dedup.opt.Log.Info().Err(err).Str("part", p.Key).Msg("claims_part_left")
		}
	}
	return nil
}
