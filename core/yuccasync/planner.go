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

// Candidates is the number of entries that may acquire the planner lease.
const Candidates = 3

const (
	// planInterval is the longest time between two planning runs.
	planInterval = time.Second
	// planTimeout bounds one planning run with its platform calls.
	planTimeout = 2 * time.Second
)

// Lease reports whether this entry holds the planner lease.
type Lease interface {
	// Held returns the epoch of the lease and whether this entry holds it now.
	Held() (epoch uint64, ok bool)
}

// PlanFunc returns the plan that follows last under an epoch. The zero value of
// last means that there is no earlier plan.
type PlanFunc func(now time.Time, s Snapshot, epoch uint64, last yuccaplan.Plan) yuccaplan.Plan

// Planner publishes plans while the entry holds the planner lease. Create one
// with NewPlanner.
type Planner struct {
	*yuccakernel.Worker

	syncer   *Syncer
	store    yuccastore.Store
	lease    Lease
	makePlan PlanFunc
	log      zerolog.Logger

	// epoch is the lease epoch for which last and tag are valid. Zero makes the
	// next planning run read them from the platform.
	epoch uint64
	// last is the latest plan on the platform.
	last yuccaplan.Plan
	// tag is the object tag of last, for the conditional write. It is empty
	// when the platform has no plan.
	tag string

	// changes signals that there is a new snapshot.
	changes chan struct{}
}

// NewPlanner returns a planner that computes its plans with makePlan. Call it
// before the Syncer starts.
func NewPlanner(syncer *Syncer, store yuccastore.Store, lease Lease, makePlan PlanFunc, log zerolog.Logger) *Planner {
	p := &Planner{syncer: syncer, store: store, lease: lease, makePlan: makePlan, log: log, changes: make(chan struct{}, 1)}
	p.Worker = yuccakernel.NewWorker(p.run)
	syncer.Subscribe(func(Snapshot) {
		select {
		case p.changes <- struct{}{}:
		default:
		}
	})
	return p
}

// run plans at every interval and after every new snapshot until ctx ends.
func (p *Planner) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.changes:
		}
		if err := p.plan(ctx); err != nil && ctx.Err() == nil {
			p.epoch = 0
			p.log.Warn().Err(err).Msg("plan_not_published")
		}
	}
}

// plan computes the next plan and publishes it if it differs from the last one.
// It does nothing without the lease or without rules.
func (p *Planner) plan(ctx context.Context) error {
	epoch, held := p.lease.Held()
	s := p.syncer.Snapshot()
	if !held || !s.Ready() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	if epoch != p.epoch {
		if err := p.loadLastPlan(ctx, epoch); err != nil {
			return err
		}
	}
	next := p.makePlan(time.Now(), *s, epoch, p.last)
	if p.last.Epoch == epoch && sameDecisions(next, p.last) {
		return nil
	}
	return p.publish(ctx, next)
}

// loadLastPlan reads the plan of the previous lease holder, so that its ramps
// continue. It returns an error of kind WriteConflict if that plan has a higher
// epoch than the lease.
func (p *Planner) loadLastPlan(ctx context.Context, epoch uint64) error {
	p.last, p.tag = yuccaplan.Plan{}, ""
	o, err := p.store.Get(ctx, PlanKey)
	if err != nil && !yuccaerror.Is(err, yuccaerror.NotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(o.Value, &p.last); err != nil {
			// Planning begins anew: the epoch of the lease is higher than that of any
			// plan that entries may have taken from it.
			p.log.Warn().Err(err).Msg("plan_unreadable")
			p.last = yuccaplan.Plan{}
		}
		p.tag = o.Tag
	}
	if p.last.Epoch > epoch {
		return yuccaerror.New(yuccaerror.WriteConflict, "the platform holds a plan of epoch %d, which is higher than epoch %d of the lease", p.last.Epoch, epoch)
	}
	p.epoch = epoch
	return nil
}

// publish writes a plan on the condition that the platform still holds the last
// one. A holder that was paused until its lease expired fails here, because its
// successor has written a plan since.
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
	p.syncer.Apply(PlanUpdate{next})
	return nil
}

// sameDecisions reports whether two plans are equal except for their version,
// epoch and time.
func sameDecisions(a, b yuccaplan.Plan) bool {
	a.Version, a.Epoch, a.CreatedAt = b.Version, b.Epoch, b.CreatedAt
	return reflect.DeepEqual(a, b)
}

// Rank returns the entry's rank among the candidates for the planner lease,
// from 0, or a negative number if it is no candidate. The candidates are chosen
// among the gateways of all failure domains, because gateways receive the state
// of the whole fleet.
func (f *Syncer) Rank() int {
	if !f.bus.IsGateway() {
		return -1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving {
		return -1
	}
	domains := map[string][]string{f.settings.Domain: {f.settings.Name}}
	now := time.Now()
	for _, e := range f.state.snapshot.View.Entries() {
		if b, ok := f.members.LastHeartbeat(e.Name); ok && e.Name != f.settings.Name && !e.Leaving && !b.Silent(now) {
			domains[e.Domain] = append(domains[e.Domain], e.Name)
		}
	}
	var all []string
	for domain, names := range domains {
		all = append(all, yuccapeer.RendezvousTop("summarizer "+domain, names, yuccapeer.GatewaysPerDomain)...)
	}
	return slices.Index(yuccapeer.RendezvousTop("planner", all, Candidates), f.settings.Name)
}

// Epoch returns the highest lease epoch that is known.
func (f *Syncer) Epoch() uint64 { return f.Snapshot().Plan.Epoch }
