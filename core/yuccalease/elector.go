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

// Key is the key of the lease object. It is outside the prefix that all entries
// watch, because it is written every few seconds.
const Key = "lease/plan"

const (
	// pollInterval is the time between two Ticks.
	pollInterval = 200 * time.Millisecond
	// callTimeout bounds the platform calls that follow one Tick.
	callTimeout = renewInterval
)

// Candidates ranks the entries that may acquire the lease.
type Candidates interface {
	// Rank returns the rank of this entry among the candidates, from 0, or a
	// negative number if it is no candidate.
	Rank() int
	// Epoch returns the highest epoch that this entry knows.
	Epoch() uint64
}

// Elector acquires and renews the lease. Create one with New.
type Elector struct {
	*yuccakernel.Worker

	store      yuccastore.Store
	candidates Candidates
	log        zerolog.Logger

	// mu guards the fields below.
	mu    sync.Mutex
	state State
	// failing is set from the first failed call until one succeeds.
	failing bool
}

// New returns an Elector for the entry with the given name and incarnation.
func New(self string, incarnation uint64, store yuccastore.Store, candidates Candidates, log zerolog.Logger) *Elector {
	k := &Elector{store: store, candidates: candidates, log: log, state: NewState(self, incarnation)}
	k.Worker = yuccakernel.NewWorker(k.run)
	return k
}

// Held returns the epoch and reports whether this entry holds the lease now.
func (k *Elector) Held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Held(time.Now())
}

// Stop implements yuccakernel.Service. It releases the lease, so that another
// entry can acquire it before it expires.
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
	k.state = NewState(k.state.self, k.state.incarnation)
	k.mu.Unlock()
	k.write(ctx, Record{Epoch: epoch}, tag)
	k.log.Info().Uint64("epoch", epoch).Msg("lease_given_back")
	return nil
}

// run sends a Tick to the state machine at every pollInterval until ctx ends.
func (k *Elector) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.execute(ctx, k.step(Tick{time.Now(), k.candidates.Rank(), k.candidates.Epoch()}))
		}
	}
}

// step passes a message to the state machine and logs a change of holder.
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

// execute performs the call that a step requested and the calls that follow
// from its result.
func (k *Elector) execute(ctx context.Context, c Command) {
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

// read reads the lease object and reports whether there was a response.
func (k *Elector) read(ctx context.Context) (ReadResult, bool) {
	o, err := k.store.Get(ctx, Key)
	k.recordCall(err)
	if yuccaerror.Is(err, yuccaerror.NotFound) {
		return ReadResult{Now: time.Now()}, true
	}
	if err != nil {
		return ReadResult{}, false
	}
	// An object that cannot be decoded counts as a released lease.
	r, _ := decode(o)
	return ReadResult{Now: time.Now(), Record: r, Tag: o.Tag}, true
}

// write performs a conditional write, finds out whether it took effect and
// passes the outcome to the state machine.
func (k *Elector) write(ctx context.Context, r Record, tag string) Command {
	value, err := json.Marshal(r)
	if err != nil {
		k.log.Error().Err(err).Msg("lease_not_encoded")
		return Command{}
	}
	o, outcome, err := yuccastore.PutConfirmed(ctx, k.store, Key, value, yuccastore.Cond{Tag: tag, Absent: tag == ""}, func(o yuccastore.Object) bool {
		found, ok := decode(o)
		return ok && found == r
	})
	k.recordCall(err)
	return k.step(WriteResult{Record: r, Tag: o.Tag, Applied: outcome == yuccastore.Written, Rejected: outcome == yuccastore.Conflict})
}

// recordCall logs the first of several failed calls and the end of the failures. A missing
// object and a failed condition are answers.
func (k *Elector) recordCall(err error) {
	failed := err != nil && !yuccaerror.Is(err, yuccaerror.NotFound) && !yuccaerror.Is(err, yuccaerror.WriteConflict)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case failed && !k.failing:
		k.log.Warn().Err(err).Msg("lease_call_failed")
	case !failed && k.failing:
		k.log.Info().Msg("lease_call_worked")
	}
	k.failing = failed
}

// decode returns the record in an object and whether it is valid.
func decode(o yuccastore.Object) (Record, bool) {
	var r Record
	err := json.Unmarshal(o.Value, &r)
	return r, err == nil
}
