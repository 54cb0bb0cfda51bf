package yuccasync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccalease"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// pausableStore simulates the calls of a paused process: it holds them back
// during the pause and performs them when the process resumes, however late.
type pausableStore struct {
	yuccastore.Store
	mu     sync.Mutex
	paused chan struct{}
}

func (p *pausableStore) pause(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && p.paused == nil {
		p.paused = make(chan struct{})
	}
	if !on && p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

func (p *pausableStore) waitWhilePaused(ctx context.Context) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused == nil {
		return context.WithCancel(ctx)
	}
	<-paused
	return context.WithTimeout(context.WithoutCancel(ctx), time.Second)
}

func (p *pausableStore) Get(ctx context.Context, key string) (yuccastore.Object, error) {
	ctx, cancel := p.waitWhilePaused(ctx)
	defer cancel()
	return p.Store.Get(ctx, key)
}

func (p *pausableStore) Put(ctx context.Context, key string, value []byte, cond yuccastore.Cond) (yuccastore.Object, error) {
	ctx, cancel := p.waitWhilePaused(ctx)
	defer cancel()
	return p.Store.Put(ctx, key, value, cond)
}

type planNode struct {
	name    string
	store   *pausableStore
	syncer  *yuccasync.Syncer
	elector *yuccalease.Elector
	planner *yuccasync.Planner
}

// planSimulation runs entries that plan while operators apply rules, and
// records every violated invariant.
type planSimulation struct {
	platform    *yuccafake.Platform
	group       errgroup.Group
	nodes       []*planNode
	incarnation uint64

	mu sync.Mutex
	// violations describes the violated invariants.
	violations []string
	// planTimes holds when each plan was made, by epoch and version.
	planTimes map[[2]uint64]time.Time
	// lastPlan is the plan on the platform.
	lastPlan yuccaplan.Plan
	// rules holds every rules document written to the platform, in order.
	rules []yuccarule.Document
	// holderOf names the entry that held the lease under an epoch.
	holderOf map[uint64]string
}

func (w *planSimulation) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func newPlanSimulation(names ...string) *planSimulation {
	w := &planSimulation{platform: yuccafake.NewPlatform(), planTimes: map[[2]uint64]time.Time{}, holderOf: map[uint64]string{}}
	var list []yuccastore.Instance
	for i, name := range names {
		list = append(list, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Region: "a", Domain: name})
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: "a", Slots: 4, Services: []string{"s"}})
	}
	w.platform.SetInstances(list...)
	w.platform.OnWrite(w.checkWrite)
	net := yuccafake.NewNet()
	for _, name := range names {
		w.nodes = append(w.nodes, w.newNode(name, net.BusIn(name, name)))
	}
	for _, n := range w.nodes {
		_ = n.syncer.Start(context.Background(), &w.group)
		_ = n.elector.Start(context.Background(), &w.group)
		_ = n.planner.Start(context.Background(), &w.group)
	}
	return w
}

func (w *planSimulation) newNode(name string, bus yuccasync.Bus) *planNode {
	w.incarnation++
	n := &planNode{name: name, store: &pausableStore{Store: w.platform}}
	n.syncer = yuccasync.New(yuccasync.Settings{Name: name, Region: "a", Domain: name, Incarnation: w.incarnation}, n.store, bus, zerolog.Nop())
	n.elector = yuccalease.New(name, w.incarnation, n.store, n.syncer, zerolog.Nop())
	n.planner = yuccasync.NewPlanner(n.syncer, n.store, n.elector, makePlan, zerolog.Nop())
	var before yuccasync.Snapshot
	n.syncer.Subscribe(func(s yuccasync.Snapshot) {
		w.checkUpdate(name, before, s)
		before = s
	})
	return n
}

func makePlan(now time.Time, s yuccasync.Snapshot, epoch uint64, last yuccaplan.Plan) yuccaplan.Plan {
	return yuccaplan.Make(yuccaplan.Input{Now: now, Rules: s.Rules, RulesVersion: s.Document.Version, Epoch: epoch, View: s.View, Last: last})
}

// checkWrite checks a write that took effect on the platform: the plan version
// increases by one, its epoch never decreases, and rules follow their
// predecessor.
func (w *planSimulation) checkWrite(o yuccastore.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch o.Key {
	case yuccasync.PlanKey:
		p := decodePlan(o.Value)
		if p.Epoch < w.lastPlan.Epoch || p.Version != w.lastPlan.Version+1 {
			w.addViolation("plan %d of epoch %d written after %d of epoch %d", p.Version, p.Epoch, w.lastPlan.Version, w.lastPlan.Epoch)
		}
		w.lastPlan = p
	case yuccasync.RulesKey:
		d, _, _ := yuccarule.DecodeDocument(o.Value)
		if len(w.rules) > 0 && (d.Version != w.rules[len(w.rules)-1].Version+1 || !d.HasSubmission(w.rules[len(w.rules)-1].ID)) {
			w.addViolation("rules %d written after rules %d", d.Version, w.rules[len(w.rules)-1].Version)
		}
		w.rules = append(w.rules, d)
	}
}

// checkUpdate checks that the versions in force at an entry never decrease, and
// that all entries have the same plan under the same epoch and version.
func (w *planSimulation) checkUpdate(name string, before, now yuccasync.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Document.Version < before.Document.Version || now.Plan.Version < before.Plan.Version || now.Plan.Epoch < before.Plan.Epoch {
		w.addViolation("%s: versions decrease from rules %d, plan %d to rules %d, plan %d", name, before.Document.Version, before.Plan.Version, now.Document.Version, now.Plan.Version)
	}
	if now.Plan.Epoch == 0 {
		return
	}
	key := [2]uint64{now.Plan.Epoch, now.Plan.Version}
	if made, ok := w.planTimes[key]; ok && !made.Equal(now.Plan.CreatedAt) {
		w.addViolation("%s: two different plans have version %d of epoch %d", name, now.Plan.Version, now.Plan.Epoch)
	}
	w.planTimes[key] = now.Plan.CreatedAt
}

// run lets time pass and checks that at most one entry at a time holds the
// lease.
func (w *planSimulation) run(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		var holders []string
		for _, n := range w.nodes {
			epoch, held := n.elector.Held()
			if !held {
				continue
			}
			holders = append(holders, n.name)
			w.mu.Lock()
			if other, ok := w.holderOf[epoch]; ok && other != n.name {
				w.addViolation("epoch %d is held by %s and %s", epoch, other, n.name)
			}
			w.holderOf[epoch] = n.name
			w.mu.Unlock()
		}
		if len(holders) > 1 {
			w.mu.Lock()
			w.addViolation("several entries hold the lease at once: %v", holders)
			w.mu.Unlock()
		}
	}
}

// applyConcurrently lets two operators apply rules at the same time and checks
// the outcomes that they get.
func (w *planSimulation) applyConcurrently(round int) {
	var group errgroup.Group
	for i := range 2 {
		id := fmt.Sprint("apply ", round, " ", i)
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var base yuccarule.Document
			o, err := w.platform.Get(ctx, yuccasync.RulesKey)
			if err == nil {
				base, _, _ = yuccarule.DecodeDocument(o.Value)
			}
			value, _ := base.Next(id, "t", time.Now(), "region a domains=a # t\nservice s host=s regions=a # t").Encode()
			_, outcome, err := yuccastore.PutConfirmed(ctx, w.platform, yuccasync.RulesKey, value, yuccastore.Cond{Tag: o.Tag, Absent: o.Tag == ""}, func(o yuccastore.Object) bool {
				d, _, err := yuccarule.DecodeDocument(o.Value)
				return err == nil && d.HasSubmission(id)
			})
			w.checkApplyResult(id, outcome, err)
			return nil
		})
	}
	w.group.Go(group.Wait)
}

// checkApplyResult checks that the outcome of an apply agrees with what the
// platform holds.
func (w *planSimulation) checkApplyResult(id string, outcome yuccastore.Outcome, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	written := false
	for _, d := range w.rules {
		written = written || d.ID == id
	}
	if outcome == yuccastore.Written && !written || outcome == yuccastore.Conflict && (written || err == nil) {
		w.addViolation("%s got the error %v; rules written: %v", id, err, written)
	}
}

// checkConvergence ends all faults and checks that every entry reaches the
// rules and the plan on the platform.
func (w *planSimulation) checkConvergence() {
	w.platform.Fail(yuccafake.PlatformFaults{})
	for _, n := range w.nodes {
		n.store.pause(false)
	}
	w.run(25 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.rules) == 0 {
		return
	}
	want := w.rules[len(w.rules)-1].Version
	for _, n := range w.nodes {
		s := n.syncer.Snapshot()
		if s.Document.Version != want || s.Plan.RulesVersion != want || s.Plan.Version != w.lastPlan.Version {
			w.addViolation("%s: rules %d, plan %d for rules %d after all faults ended; want rules %d, plan %d", n.name, s.Document.Version, s.Plan.Version, s.Plan.RulesVersion, want, w.lastPlan.Version)
		}
	}
}

func (w *planSimulation) stop() {
	for _, n := range w.nodes {
		n.store.pause(false)
		_ = n.planner.Stop(context.Background())
		_ = n.elector.Stop(context.Background())
		_ = n.syncer.Stop(context.Background())
	}
	_ = w.group.Wait()
}

type fault struct {
	// kind selects a case of planSimulation.inject.
	kind int
	// node is the index of the entry that a pause applies to.
	node     int
	duration time.Duration
}

// inject injects a fault and runs the simulation for its duration.
func (w *planSimulation) inject(round int, f fault) {
	n := w.nodes[f.node]
	switch f.kind {
	case 0:
		n.store.pause(true)
	case 1:
		n.store.pause(false)
	case 2:
		w.platform.Fail(yuccafake.PlatformFaults{Down: true})
	case 3:
		w.platform.Fail(yuccafake.PlatformFaults{LostReplies: 3})
	case 4:
		w.platform.Fail(yuccafake.PlatformFaults{StaleReads: true})
	case 5:
		w.platform.Fail(yuccafake.PlatformFaults{Slow: 1500 * time.Millisecond})
	case 6:
		w.platform.Fail(yuccafake.PlatformFaults{})
	default:
		w.applyConcurrently(round)
	}
	w.run(f.duration)
}

// TestLeaseAndVersions injects pauses, outages, lost responses, stale reads and
// concurrent applies in random order.
func TestLeaseAndVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{rapid.IntRange(0, 9).Draw(t, "kind"), rapid.IntRange(0, 2).Draw(t, "node"),
				time.Duration(rapid.IntRange(1, 90).Draw(t, "duration in 100 ms")) * 100 * time.Millisecond}
		}), 1, 12).Draw(rt, "faults")
		var found []string
		synctest.Test(t, func(*testing.T) {
			w := newPlanSimulation("a", "b", "c")
			w.applyConcurrently(-1)
			w.run(7 * time.Second)
			for round, f := range faults {
				w.inject(round, f)
			}
			w.checkConvergence()
			w.stop()
			found = w.violations
		})
		if len(found) > 0 {
			rt.Fatalf("%s", found[0])
		}
	})
}

// TestPausedHolderWritesNothing guards against a write by a former lease
// holder. It pauses the holder for longer than its lease, just before it sends
// a plan.
func TestPausedHolderWritesNothing(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		w := newPlanSimulation("a", "b", "c")
		defer w.stop()
		w.applyConcurrently(0)
		w.run(10 * time.Second)
		var holder *planNode
		for _, n := range w.nodes {
			if _, held := n.elector.Held(); held {
				holder = n
			}
		}
		holder.store.pause(true)
		w.applyConcurrently(1)
		w.run(20 * time.Second)
		c.Assert(w.lastPlan.Epoch, qt.Equals, uint64(2))
		c.Assert(w.lastPlan.RulesVersion, qt.Equals, w.rules[len(w.rules)-1].Version)
		version := w.lastPlan.Version
		holder.store.pause(false)
		w.run(5 * time.Second)
		c.Assert(w.lastPlan.Epoch, qt.Equals, uint64(2))
		c.Assert(w.lastPlan.Version, qt.Equals, version)
		w.checkConvergence()
		c.Assert(w.violations, qt.HasLen, 0)
	})
}

// TestUnreadablePlanIsReplaced has the platform hold a plan that cannot be decoded: the
// holder of the lease plans anew in its place.
func TestUnreadablePlanIsReplaced(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		w := newPlanSimulation("a")
		defer w.stop()
		w.platform.OnWrite(func(yuccastore.Object) {})
		_, err := w.platform.Put(context.Background(), yuccasync.PlanKey, []byte("{"), yuccastore.Cond{})
		c.Assert(err, qt.IsNil)
		w.platform.OnWrite(w.checkWrite)
		w.applyConcurrently(0)
		w.run(20 * time.Second)
		c.Assert(w.lastPlan.RulesVersion, qt.Equals, w.rules[len(w.rules)-1].Version)
		c.Assert(w.violations, qt.HasLen, 0)
	})
}
