package yuccalease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccastore"
)

// Key is the object that the lease is kept in. It lies apart from what all
// entries watch, since it is written every few seconds.
const Key = "lease/plan"

const (
	tickInterval = 200 * time.Millisecond
	callTimeout  = renewAfter
)

// Candidates tells which entries may take the lease.
type Candidates interface {
	// Rank is the entry's place among the candidates, negative for none.
	Rank() int
	// Epoch is the highest epoch known.
	Epoch() uint64
}

// Elector takes and renews the lease. Make one with New.
type Elector struct {
	*yuccakernel.Worker

	store      yuccastore.Store
	candidates Candidates
	log        zerolog.Logger

	mu    sync.Mutex
	state State
}

// New returns a keeper for a run of an entry.
func New(self string, start uint64, store yuccastore.Store, candidates Candidates, log zerolog.Logger) *Elector {
	k := &Elector{store: store, candidates: candidates, log: log, state: NewState(self, start)}
	k.Worker = yuccakernel.NewWorker(k.keep)
	return k
}

// Held returns the epoch and reports whether this entry holds the lease now.
func (k *Elector) Held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Held(time.Now())
}

// Stop implements yuccakernel.Service. It gives the lease back, so that another
// entry need not wait for it to lapse.
func (k *Elector) Stop(ctx context.Context) error {
	if err := k.Worker.Stop(ctx); err != nil {
		return err
	}
	<-k.Done()
	epoch, held := k.Held()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.mu.Lock()
	tag := k.state.tag
	k.state = NewState(k.state.self, k.state.start)
	k.mu.Unlock()
	k.write(ctx, Record{Epoch: epoch}, tag)
	k.log.Info().Uint64("epoch", epoch).Msg("lease_given_back")
	return nil
}

func (k *Elector) keep(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.do(ctx, k.step(Tick{time.Now(), k.candidates.Rank(), k.candidates.Epoch()}))
		}
	}
}

func (k *Elector) step(m Message) Command {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, was := k.state.Held(time.Now())
	var c Command
	k.state, c = k.state.Step(m)
	if after, is := k.state.Held(time.Now()); was != is || is && before != after {
		k.log.Info().Uint64("epoch", after).Bool("held", is).Msg("lease")
	}
	return c
}

// do makes the call that a step asked for and steps on with its answer.
func (k *Elector) do(ctx context.Context, c Command) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for c.Read || c.Write != nil {
		if c.Write != nil {
			c = k.write(ctx, *c.Write, c.Tag)
			continue
		}
		m, ok := k.read(ctx)
		if !ok {
			return
		}
		c = k.step(m)
	}
}

func (k *Elector) read(ctx context.Context) (Read, bool) {
	o, err := k.store.Get(ctx, Key)
	if yuccaerror.Is(err, yuccaerror.Missing) {
		return Read{Now: time.Now()}, true
	}
	if err != nil {
		return Read{}, false
	}
	// An object that cannot be read is as good as a lease that was given back.
	r, _ := decode(o)
	return Read{Now: time.Now(), Record: r, Tag: o.Tag}, true
}

// write makes a conditional write and settles it.
func (k *Elector) write(ctx context.Context, r Record, tag string) Command {
	value, err := json.Marshal(r)
	if err != nil {
		return Command{}
	}
	o, outcome, _ := yuccastore.PutConfirmed(ctx, k.store, Key, value, yuccastore.Cond{Tag: tag, Absent: tag == ""}, func(o yuccastore.Object) bool {
		found, ok := decode(o)
		return ok && found == r
	})
	return k.step(Wrote{Record: r, Tag: o.Tag, Applied: outcome == yuccastore.Written, Rejected: outcome == yuccastore.Conflict})
}

func decode(o yuccastore.Object) (Record, bool) {
	var r Record
	err := json.Unmarshal(o.Value, &r)
	return r, err == nil
}
