package yuccasync_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// gate is one entry's way to the platform.
type gate struct {
	yuccastore.Store
	cut   atomic.Bool
	lists atomic.Int64
	pace  atomic.Int64
}

func (g *gate) err() error {
	if g.cut.Load() {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "cut off")
	}
	return nil
}

func (g *gate) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (yuccastore.Page, error) {
	g.lists.Add(1)
	if err := g.err(); err != nil {
		return yuccastore.Page{}, err
	}
	page, err := g.Store.List(ctx, prefix, after, min(wait, 2*time.Second))
	if late := g.err(); late != nil {
		return yuccastore.Page{}, late
	}
	return page, err
}

func (g *gate) Instances(ctx context.Context) (yuccastore.Instances, error) {
	if err := g.err(); err != nil {
		return yuccastore.Instances{}, err
	}
	return g.Store.Instances(ctx)
}

// Pace implements the rate that a feed sets.
func (g *gate) Pace(perSecond float64) { g.pace.Store(int64(perSecond)) }

type node struct {
	name string
	feed *yuccasync.Syncer
	gate *gate
}

type fleet struct {
	c        *qt.C
	platform *yuccafake.Platform
	net      *yuccafake.Net
	group    *errgroup.Group
	nodes    []*node
	runs     uint64
}

// newFleet starts entries; a name's first letter is its domain, and all are in
// one region.
func newFleet(c *qt.C, names ...string) *fleet {
	f := &fleet{c: c, platform: yuccafake.NewPlatform(), net: yuccafake.NewNet(), group: &errgroup.Group{}}
	var list []yuccastore.Instance
	for _, name := range names {
		list = append(list, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Peer: name, Region: "a", Domain: name[:1]})
	}
	for i := range 4 {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: "a", Slots: 4, Services: []string{"s"}})
	}
	f.platform.SetInstances(list...)
	for _, name := range names {
		f.start(name)
	}
	return f
}

func (f *fleet) start(name string) *node {
	f.runs++
	n := &node{name: name, gate: &gate{Store: f.platform}}
	set := yuccasync.Settings{Name: name, Region: "a", Domain: name[:1], Incarnation: f.runs}
	n.feed = yuccasync.New(set, n.gate, f.net.BusIn(name, name[:1]), zerolog.Nop())
	f.c.Assert(n.feed.Start(context.Background(), f.group), qt.IsNil)
	f.nodes = append(f.nodes, n)
	return n
}

// kill ends an entry without a word.
func (f *fleet) kill(n *node) {
	f.net.Cut(n.name, true)
	f.c.Assert(n.feed.Stop(context.Background()), qt.IsNil)
	<-n.feed.Done()
	for i := range f.nodes {
		if f.nodes[i] == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		f.c.Assert(n.feed.Stop(context.Background()), qt.IsNil)
	}
	f.c.Assert(f.group.Wait(), qt.IsNil)
	f.net.Wait()
}

func (f *fleet) apply(version uint64) {
	_, err := f.platform.Put(context.Background(), yuccasync.RulesKey, document(version), yuccastore.Cond{})
	f.c.Assert(err, qt.IsNil)
}

func (f *fleet) inForce(version uint64) {
	for _, n := range f.nodes {
		f.c.Assert(n.feed.Snapshot().Document.Version, qt.Equals, version, qt.Commentf("%s", n.name))
	}
}

func (f *fleet) usable(n *node) []string {
	var names []string
	for _, e := range n.feed.Snapshot().View.Entries() {
		if !e.Leaving {
			names = append(names, e.Name)
		}
	}
	return names
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, test func(c *qt.C)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t)) })
}

func TestFewEntriesReadThePlatform(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3")
		defer f.stop()
		time.Sleep(40*time.Second + 500*time.Millisecond)
		before := f.platform.Calls()["instances"]
		time.Sleep(10 * time.Second)
		c.Assert(f.platform.Calls()["instances"]-before, qt.Equals, uint64(10*2*yuccasync.Watchers))
		f.apply(1)
		time.Sleep(time.Second)
		f.inForce(1)
		for _, r := range f.nodes[0].feed.Reports(context.Background()) {
			c.Assert(r.Rules, qt.Equals, uint64(1), qt.Commentf("%v", r))
			c.Assert(r.State, qt.Equals, yuccamembership.Live)
		}
	})
}

func TestOthersReadWhenTheWatchersAreCutOff(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "a4", "a5", "a6")
		defer f.stop()
		time.Sleep(40 * time.Second)
		for _, n := range f.nodes {
			n.gate.lists.Store(0)
		}
		time.Sleep(5 * time.Second)
		cut := 0
		for _, n := range f.nodes {
			if n.gate.lists.Load() > 0 {
				n.gate.cut.Store(true)
				cut++
			}
		}
		c.Assert(cut, qt.Equals, yuccasync.Watchers)
		for _, n := range f.nodes {
			c.Assert(n.gate.pace.Load(), qt.Equals, map[bool]int64{true: 300/6 + 500/4, false: 300 / 6}[n.gate.cut.Load()])
		}
		f.apply(1)
		time.Sleep(7 * time.Second)
		f.inForce(1)
	})
}

func TestStartWithThePlatformDown(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "b1")
		defer f.stop()
		f.apply(3)
		time.Sleep(2 * time.Second)
		f.platform.Fail(yuccafake.PlatformFaults{Down: true})
		f.kill(f.nodes[0])
		time.Sleep(10 * time.Second)
		f.net.Cut("a1", false)
		n := f.start("a1")
		c.Assert(n.feed.Snapshot().Ready(), qt.IsFalse)
		time.Sleep(2 * time.Second)
		f.inForce(3)
		c.Assert(n.feed.Snapshot().View.Servers(), qt.HasLen, 4)
		c.Assert(f.usable(f.nodes[0]), qt.DeepEquals, []string{"a1", "a2", "b1"})
	})
}

// TestColdStart starts all entries with the platform down.
func TestColdStart(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c)
		defer f.stop()
		f.platform.SetInstances(yuccastore.Instance{Name: "a1", Kind: yuccastore.KindEntry, Peer: "a1", Region: "a", Domain: "a"})
		f.apply(5)
		f.platform.Fail(yuccafake.PlatformFaults{Down: true})
		for _, name := range []string{"a1", "a2", "b1", "b2", "c1", "c2", "c3"} {
			f.start(name)
		}
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			c.Assert(n.feed.Snapshot().Ready(), qt.IsFalse)
		}
		f.platform.Fail(yuccafake.PlatformFaults{Old: true})
		time.Sleep(3 * time.Second)
		f.inForce(5)
	})
}

func TestDeadEntryLeavesTheLookUpsBeforeTheListSaysSo(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "b1", "b2", "c1", "c2")
		defer f.stop()
		f.apply(1)
		time.Sleep(2 * time.Second)
		f.platform.Fail(yuccafake.PlatformFaults{Lag: 30 * time.Second})
		f.kill(f.nodes[1])
		time.Sleep(5 * time.Second)
		for _, n := range f.nodes {
			c.Assert(f.usable(n), qt.DeepEquals, []string{"a1", "a3", "b1", "b2", "c1", "c2"}, qt.Commentf("%s", n.name))
		}
	})
}

func TestLeavingIsKnownWithin3s(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "a4", "b1")
		defer f.stop()
		f.apply(1)
		time.Sleep(40 * time.Second)
		f.platform.SetInstance(yuccastore.Instance{Name: "s0", Kind: yuccastore.KindServer, Region: "a", Slots: 4, Leaving: true})
		f.nodes[0].feed.Leave()
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			c.Assert(n.feed.Snapshot().View.Servers()[0].Leaving, qt.IsTrue, qt.Commentf("%s", n.name))
			c.Assert(f.usable(n), qt.DeepEquals, []string{"a2", "a3", "a4", "b1"}, qt.Commentf("%s", n.name))
		}
	})
}

// TestDomainsCutOffAndHealed parts domain b from the others and from the
// platform, so that it hears of nothing.
func TestDomainsCutOffAndHealed(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "b1", "b2", "c1", "c2")
		defer f.stop()
		f.apply(1)
		time.Sleep(2 * time.Second)
		cut := func(on bool) {
			f.net.SetPartitioned("b", "a", on)
			f.net.SetPartitioned("b", "c", on)
		}
		cut(true)
		for _, n := range f.nodes[2:4] {
			n.gate.cut.Store(true)
		}
		f.apply(2)
		time.Sleep(time.Minute)
		for i, n := range f.nodes {
			want := uint64(2)
			if i == 2 || i == 3 {
				want = 1
			}
			c.Assert(n.feed.Snapshot().Document.Version, qt.Equals, want, qt.Commentf("%s", n.name))
			c.Assert(len(f.usable(n)) >= 4, qt.IsTrue, qt.Commentf("%s sees %v", n.name, f.usable(n)))
		}
		cut(false)
		time.Sleep(3 * time.Second)
		f.inForce(2)
		for _, n := range f.nodes {
			c.Assert(f.usable(n), qt.HasLen, 6)
		}
	})
}
