package yuccasync

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccastore"
)

// Candidates is how many entries may take the planner's lease.
const Candidates = 3

const (
	planInterval = time.Second
	planTimeout  = 2 * time.Second
)

// Lease tells whether this entry holds the planner's lease.
type Lease interface {
	Held() (epoch uint64, ok bool)
}

// PlanFunc returns the plan that follows the last one under an epoch. The last
// plan's zero value means that there is none.
type PlanFunc func(now time.Time, s Snapshot, epoch uint64, last yuccaplan.Plan) yuccaplan.Plan

// Planner publishes plans while the entry holds the lease. Make one with
// NewPlanner.
type Planner struct {
	*yuccakernel.Worker

	feed   *Syncer
	store  yuccastore.Store
	holder Lease
	make   PlanFunc
	log    zerolog.Logger

	// epoch is that for which last and tag were read from the platform.
	epoch uint64
	last  yuccaplan.Plan
	tag   string

	wake chan struct{}
}

// NewPlanner returns a planner that makes its plans with a function. Call it
// before the feed starts.
func NewPlanner(feed *Syncer, store yuccastore.Store, holder Lease, mk PlanFunc, log zerolog.Logger) *Planner {
	p := &Planner{feed: feed, store: store, holder: holder, make: mk, log: log, wake: make(chan struct{}, 1)}
	p.Worker = yuccakernel.NewWorker(p.run)
	feed.Subscribe(func(Snapshot) {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	})
	return p
}

func (p *Planner) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.wake:
		}
		if err := p.plan(ctx); err != nil && ctx.Err() == nil {
			p.epoch = 0
			p.log.Warn().Err(err).Msg("plan_not_published")
		}
	}
}

// plan makes the next plan and publishes it if it differs from the last.
func (p *Planner) plan(ctx context.Context) error {
	epoch, held := p.holder.Held()
	s := p.feed.Snapshot()
	if !held || !s.Ready() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	if epoch != p.epoch {
		if err := p.takeUp(ctx, epoch); err != nil {
			return err
		}
	}
	next := p.make(time.Now(), *s, epoch, p.last)
	if p.last.Epoch == epoch && sameDecisions(next, p.last) {
		return nil
	}
	return p.publish(ctx, next)
}

// takeUp reads the plan that the holder before left, from which ramps go on.
func (p *Planner) takeUp(ctx context.Context, epoch uint64) error {
	p.last, p.tag = yuccaplan.Plan{}, ""
	o, err := p.store.Get(ctx, PlanKey)
	if err != nil && !yuccaerror.Is(err, yuccaerror.Missing) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(o.Value, &p.last); err != nil {
			return yuccaerror.Wrap(yuccaerror.Protocol, err)
		}
		p.tag = o.Tag
	}
	if p.last.Epoch > epoch {
		return yuccaerror.New(yuccaerror.WriteConflict, "a plan of epoch %d is kept, the lease has epoch %d", p.last.Epoch, epoch)
	}
	p.epoch = epoch
	return nil
}

// publish writes a plan in place of exactly the last one. A holder that was
// paused past its lease loses here, since its successor has written since.
func (p *Planner) publish(ctx context.Context, next yuccaplan.Plan) error {
	value, err := json.Marshal(next)
	if err != nil {
		return yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	o, _, err := yuccastore.PutConfirmed(ctx, p.store, PlanKey, value, yuccastore.Cond{Tag: p.tag, Absent: p.tag == ""}, func(o yuccastore.Object) bool {
		var found yuccaplan.Plan
		return json.Unmarshal(o.Value, &found) == nil && found.Epoch == next.Epoch && found.Version == next.Version
	})
	if err != nil {
		return err
	}
	p.last, p.tag = next, o.Tag
	p.feed.Learn(PlanUpdate{next})
	return nil
}

// sameDecisions reports whether two plans differ in nothing but when and under
// which version they were made.
func sameDecisions(a, b yuccaplan.Plan) bool {
	a.Version, a.Epoch, a.Made = b.Version, b.Epoch, b.Made
	return reflect.DeepEqual(a, b)
}

// Rank is the entry's place among the candidates for the planner's lease,
// negative for none. Candidates are chosen among the summarizers of all failure
// domains, since those hear of the whole fleet.
func (f *Syncer) Rank() int {
	if !f.bus.IsGateway() {
		return -1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving {
		return -1
	}
	domains := map[string][]string{f.set.Domain: {f.set.Name}}
	now := time.Now()
	for _, e := range f.state.now.View.Entries() {
		if b, ok := f.members.Heard(e.Name); ok && e.Name != f.set.Name && !e.Leaving && !b.Silent(now) {
			domains[e.Domain] = append(domains[e.Domain], e.Name)
		}
	}
	var all []string
	for domain, names := range domains {
		all = append(all, yuccapeer.RendezvousTop("summarizer "+domain, names, yuccapeer.GatewaysPerDomain)...)
	}
	return slices.Index(yuccapeer.RendezvousTop("planner", all, Candidates), f.set.Name)
}

// Epoch is the highest epoch known.
func (f *Syncer) Epoch() uint64 { return f.Snapshot().Plan.Epoch }
