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

// Prefix is that of the keys of all objects that hold claims.
const Prefix = "claims/"

// worker carries the commands of one range out. The calls for a range follow
// one another, so that keys which arrive meanwhile share the next write.
type worker struct {
	keeper *Deduplicator
	key    string
	limit  *rate.Limiter

	mu    sync.Mutex
	state Shard
	tries map[Attempt][]chan Record
}

func newWorker(k *Deduplicator, n int) *worker {
	return &worker{
		keeper: k,
		key:    fmt.Sprintf("%s%03d", Prefix, n),
		limit:  rate.NewLimiter(rate.Every(k.opt.MinWriteInterval), 1),
		state:  NewShard(k.opt.limits()),
		tries:  map[Attempt][]chan Record{},
	}
}

// ask waits for the record that decides a's key. The error is of kind
// Unsettled when there is none.
func (w *worker) ask(ctx context.Context, a Record) (Record, error) {
	answer := make(chan Record, 1)
	w.mu.Lock()
	w.tries[a.Attempt] = append(w.tries[a.Attempt], answer)
	w.mu.Unlock()
	w.step(Asked{a})
	select {
	case known := <-answer:
		if known == (Record{}) {
			return known, yuccaerror.New(yuccaerror.KeyStateUnknown, "the store does not say whether the key was used")
		}
		return known, nil
	case <-ctx.Done():
		w.decide(a.Attempt, Record{})
		return Record{}, yuccaerror.New(yuccaerror.KeyStateUnknown, "claim: %w", ctx.Err())
	}
}

func (w *worker) decide(t Attempt, known Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, answer := range w.tries[t] {
		answer <- known
	}
	delete(w.tries, t)
}

func (w *worker) step(m Message) {
	w.mu.Lock()
	var cmds []Command
	w.state, cmds = w.state.Update(m)
	w.mu.Unlock()
	for _, cmd := range cmds {
		w.perform(cmd)
	}
}

func (w *worker) perform(cmd Command) {
	switch cmd := cmd.(type) {
	case Decide:
		w.decide(cmd.Attempt, cmd.Record)
	case GiveUp:
		w.decide(cmd.Attempt, Record{})
	case Schedule:
		w.spawn(func(ctx context.Context) Message {
			if w.limit.Wait(ctx) != nil {
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

// spawn carries out what takes time and feeds back what came of it.
func (w *worker) spawn(fn func(context.Context) Message) {
	started := w.keeper.spawn(func(ctx context.Context) {
		if m := fn(ctx); m != nil {
			w.step(m)
		}
	})
	if !started {
		w.step(LoadFailed{})
	}
}

func (w *worker) load(ctx context.Context, cmd Load) Message {
	ctx, cancel := context.WithTimeout(ctx, w.keeper.opt.ClaimTimeout)
	defer cancel()
	m := Loaded{}
	o, err := w.keeper.opt.Store.Get(ctx, w.key)
	if yuccaerror.Is(err, yuccaerror.Missing) {
		m.Now = time.Now()
		return m
	}
	if err == nil {
		m.Tag = o.Tag
		m.Open, m.Parts, err = decodeRange(o.Value)
	}
	for i := 0; err == nil && i < len(m.Parts); i++ {
		var records []Record
		if slices.ContainsFunc(cmd.Known, func(p Part) bool { return p.Key == m.Parts[i].Key }) {
			continue
		}
		records, err = w.loadPart(ctx, m.Parts[i].Key)
		m.Old = append(m.Old, records...)
	}
	if err != nil {
		w.keeper.opt.Log.Warn().Err(err).Str("range", w.key).Msg("claims_unreadable")
		return LoadFailed{}
	}
	m.Now = time.Now()
	return m
}

func (w *worker) loadPart(ctx context.Context, key string) ([]Record, error) {
	o, err := w.keeper.opt.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	return decodePart(o.Value)
}

func (w *worker) seal(ctx context.Context, cmd Seal) Message {
	value, err := encodePart(cmd.Records)
	if err != nil {
		return WriteFailed{}
	}
	name := newTry()
	key := w.key + "/" + hex.EncodeToString(name[:])
	if !w.put(ctx, key, value, yuccastore.Cond{Absent: true}, new(string)) {
		return WriteFailed{}
	}
	return Sealed{time.Now(), key}
}

func (w *worker) write(ctx context.Context, cmd Write) Message {
	value, err := encodeRange(cmd.Open, cmd.Parts)
	if err != nil {
		return WriteFailed{}
	}
	var tag string
	if !w.put(ctx, w.key, value, yuccastore.Cond{Tag: cmd.Tag, Absent: cmd.Tag == ""}, &tag) {
		return WriteFailed{}
	}
	return Written{tag}
}

func (w *worker) put(ctx context.Context, key string, value []byte, cond yuccastore.Cond, tag *string) bool {
	ctx, cancel := context.WithTimeout(ctx, w.keeper.opt.ClaimTimeout)
	defer cancel()
	o, err := w.keeper.opt.Store.Put(ctx, key, value, cond)
	if err != nil {
		w.keeper.opt.Log.Debug().Err(err).Str("range", w.key).Msg("claims_not_written")
		return false
	}
	*tag = o.Tag
	return true
}

// discard deletes parts at the pace of the range's other calls.
func (w *worker) discard(ctx context.Context, cmd Discard) Message {
	for _, p := range cmd.Parts {
		if w.limit.Wait(ctx) != nil {
			return nil
		}
		if err := w.keeper.opt.Store.Delete(ctx, p.Key, yuccastore.Cond{}); err != nil {
			w.keeper.opt.Log.Info().Err(err).Str("part", p.Key).Msg("claims_part_left")
		}
	}
	return nil
}
