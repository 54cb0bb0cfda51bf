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

// pausable holds calls back while its entry is paused and makes them all the
// same when it wakes, however late.
type pausable struct {
	yuccastore.Store
	mu     sync.Mutex
	paused chan struct{}
}

func (p *pausable) pause(on bool) {
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

func (p *pausable) enter(ctx context.Context) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused == nil {
		return context.WithCancel(ctx)
	}
	<-paused
	return context.WithTimeout(context.WithoutCancel(ctx), time.Second)
}

func (p *pausable) Get(ctx context.Context, key string) (yuccastore.Object, error) {
	ctx, cancel := p.enter(ctx)
	defer cancel()
	return p.Store.Get(ctx, key)
}

func (p *pausable) Put(ctx context.Context, key string, value []byte, cond yuccastore.Cond) (yuccastore.Object, error) {
	ctx, cancel := p.enter(ctx)
	defer cancel()
	return p.Store.Put(ctx, key, value, cond)
}

type planNode struct {
	name    string
	store   *pausable
	feed    *yuccasync.Syncer
	keeper  *yuccalease.Elector
	planner *yuccasync.Planner
}

// world checks what must hold while entries plan and operators apply.
type world struct {
	platform *yuccafake.Platform
	group    errgroup.Group
	nodes    []*planNode
	start    uint64

	mu      sync.Mutex
	faults  []string
	plans   map[[2]uint64]time.Time
	last    yuccaplan.Plan
	rules   []yuccarule.Document
	epochOf map[uint64]string
}

func (w *world) fail(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func newWorld(names ...string) *world {
	w := &world{platform: yuccafake.NewPlatform(), plans: map[[2]uint64]time.Time{}, epochOf: map[uint64]string{}}
	var list []yuccastore.Instance
	for i, name := range names {
		list = append(list, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Region: "a", Domain: name})
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: "a", Slots: 4, Services: []string{"s"}})
	}
	w.platform.SetInstances(list...)
	w.platform.OnWrite(w.written)
	net := yuccafake.NewNet()
	for _, name := range names {
		w.nodes = append(w.nodes, w.newNode(name, net.BusIn(name, name)))
	}
	for _, n := range w.nodes {
		_ = n.feed.Start(context.Background(), &w.group)
		_ = n.keeper.Start(context.Background(), &w.group)
		_ = n.planner.Start(context.Background(), &w.group)
	}
	return w
}

func (w *world) newNode(name string, bus yuccasync.Bus) *planNode {
	w.start++
	n := &planNode{name: name, store: &pausable{Store: w.platform}}
	n.feed = yuccasync.New(yuccasync.Settings{Name: name, Region: "a", Domain: name, Incarnation: w.start}, n.store, bus, zerolog.Nop())
	n.keeper = yuccalease.New(name, w.start, n.store, n.feed, zerolog.Nop())
	n.planner = yuccasync.NewPlanner(n.feed, n.store, n.keeper, makePlan, zerolog.Nop())
	var before yuccasync.Snapshot
	n.feed.Subscribe(func(s yuccasync.Snapshot) {
		w.taken(name, before, s)
		before = s
	})
	return n
}

func makePlan(now time.Time, s yuccasync.Snapshot, epoch uint64, last yuccaplan.Plan) yuccaplan.Plan {
	return yuccaplan.Make(yuccaplan.Input{Now: now, Rules: s.Rules, Version: s.Document.Version, Epoch: epoch, View: s.View, Last: last})
}

// written checks what takes effect on the platform.
func (w *world) written(o yuccastore.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch o.Key {
	case yuccasync.PlanKey:
		p := decodePlan(o.Value)
		if p.Epoch < w.last.Epoch || p.Version != w.last.Version+1 {
			w.fail("plan %d of epoch %d written after %d of epoch %d", p.Version, p.Epoch, w.last.Version, w.last.Epoch)
		}
		w.last = p
	case yuccasync.RulesKey:
		d, _, _ := yuccarule.DecodeDocument(o.Value)
		if len(w.rules) > 0 && (d.Version != w.rules[len(w.rules)-1].Version+1 || !d.HasSubmission(w.rules[len(w.rules)-1].ID)) {
			w.fail("rules %d follow %d", d.Version, w.rules[len(w.rules)-1].Version)
		}
		w.rules = append(w.rules, d)
	}
}

// taken checks what an entry puts in force.
func (w *world) taken(name string, before, now yuccasync.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Document.Version < before.Document.Version || now.Plan.Version < before.Plan.Version || now.Plan.Epoch < before.Plan.Epoch {
		w.fail("%s: versions fall from %d/%d to %d/%d", name, before.Document.Version, before.Plan.Version, now.Document.Version, now.Plan.Version)
	}
	if now.Plan.Epoch == 0 {
		return
	}
	key := [2]uint64{now.Plan.Epoch, now.Plan.Version}
	if made, ok := w.plans[key]; ok && !made.Equal(now.Plan.Made) {
		w.fail("%s: two plans %d of epoch %d", name, now.Plan.Version, now.Plan.Epoch)
	}
	w.plans[key] = now.Plan.Made
}

// wait lets time pass and checks that at most one entry holds the lease.
func (w *world) wait(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		var holders []string
		for _, n := range w.nodes {
			epoch, held := n.keeper.Held()
			if !held {
				continue
			}
			holders = append(holders, n.name)
			w.mu.Lock()
			if other, ok := w.epochOf[epoch]; ok && other != n.name {
				w.fail("epoch %d is held by %s and %s", epoch, other, n.name)
			}
			w.epochOf[epoch] = n.name
			w.mu.Unlock()
		}
		if len(holders) > 1 {
			w.mu.Lock()
			w.fail("holders at once: %v", holders)
			w.mu.Unlock()
		}
	}
}

// race lets two operators apply at once and checks what they are told.
func (w *world) race(round int) {
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
			w.told(id, outcome, err)
			return nil
		})
	}
	w.group.Go(group.Wait)
}

func (w *world) told(id string, outcome yuccastore.Outcome, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	written := false
	for _, d := range w.rules {
		written = written || d.ID == id
	}
	if outcome == yuccastore.Written && !written || outcome == yuccastore.Conflict && (written || err == nil) {
		w.fail("%s was told %v, written: %v", id, err, written)
	}
}

// settle ends all faults and checks that every entry agrees with the platform.
func (w *world) settle() {
	w.platform.Fail(yuccafake.PlatformFaults{})
	for _, n := range w.nodes {
		n.store.pause(false)
	}
	w.wait(25 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.rules) == 0 {
		return
	}
	want := w.rules[len(w.rules)-1].Version
	for _, n := range w.nodes {
		s := n.feed.Snapshot()
		if s.Document.Version != want || s.Plan.Rules != want || s.Plan.Version != w.last.Version {
			w.fail("%s: rules %d, plan %d for rules %d in the end; want rules %d, plan %d", n.name, s.Document.Version, s.Plan.Version, s.Plan.Rules, want, w.last.Version)
		}
	}
}

func (w *world) stop() {
	for _, n := range w.nodes {
		n.store.pause(false)
		_ = n.planner.Stop(context.Background())
		_ = n.keeper.Stop(context.Background())
		_ = n.feed.Stop(context.Background())
	}
	_ = w.group.Wait()
}

type fault struct {
	what, node int
	last       time.Duration
}

func (w *world) bring(round int, f fault) {
	n := w.nodes[f.node]
	switch f.what {
	case 0:
		n.store.pause(true)
	case 1:
		n.store.pause(false)
	case 2:
		w.platform.Fail(yuccafake.PlatformFaults{Down: true})
	case 3:
		w.platform.Fail(yuccafake.PlatformFaults{LostReplies: 3})
	case 4:
		w.platform.Fail(yuccafake.PlatformFaults{Old: true})
	case 5:
		w.platform.Fail(yuccafake.PlatformFaults{Slow: 1500 * time.Millisecond})
	case 6:
		w.platform.Fail(yuccafake.PlatformFaults{})
	default:
		w.race(round)
	}
	w.wait(f.last)
}

// TestLeaseAndVersions brings about pauses, outages, lost answers, stale reads
// and racing operators in any order.
func TestLeaseAndVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{rapid.IntRange(0, 9).Draw(t, "what"), rapid.IntRange(0, 2).Draw(t, "node"),
				time.Duration(rapid.IntRange(1, 90).Draw(t, "tenths")) * 100 * time.Millisecond}
		}), 1, 12).Draw(rt, "faults")
		var found []string
		synctest.Test(t, func(*testing.T) {
			w := newWorld("a", "b", "c")
			w.race(-1)
			w.wait(7 * time.Second)
			for round, f := range faults {
				w.bring(round, f)
			}
			w.settle()
			w.stop()
			found = w.faults
		})
		if len(found) > 0 {
			rt.Fatalf("%s", found[0])
		}
	})
}

// TestPausedHolderWritesNothing pauses the holder for longer than its lease,
// just before it sends a plan.
func TestPausedHolderWritesNothing(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		w := newWorld("a", "b", "c")
		defer w.stop()
		w.race(0)
		w.wait(10 * time.Second)
		var holder *planNode
		for _, n := range w.nodes {
			if _, held := n.keeper.Held(); held {
				holder = n
			}
		}
		holder.store.pause(true)
		w.race(1)
		w.wait(20 * time.Second)
		c.Assert(w.last.Epoch, qt.Equals, uint64(2))
		c.Assert(w.last.Rules, qt.Equals, w.rules[len(w.rules)-1].Version)
		version := w.last.Version
		holder.store.pause(false)
		w.wait(5 * time.Second)
		c.Assert(w.last.Epoch, qt.Equals, uint64(2))
		c.Assert(w.last.Version, qt.Equals, version)
		w.settle()
		c.Assert(w.faults, qt.HasLen, 0)
	})
}
