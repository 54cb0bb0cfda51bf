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

// nodeStore is the platform as one entry reaches it. It counts calls and can be
// disconnected.
type nodeStore struct {
	yuccastore.Store
	disconnected atomic.Bool
	listCalls    atomic.Int64
	callRate     atomic.Int64
}

func (g *nodeStore) connectionError() error {
	if g.disconnected.Load() {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "disconnected from the platform")
	}
	return nil
}

func (g *nodeStore) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (yuccastore.Page, error) {
	g.listCalls.Add(1)
	if err := g.connectionError(); err != nil {
		return yuccastore.Page{}, err
	}
	page, err := g.Store.List(ctx, prefix, after, min(wait, 2*time.Second))
	if cutErr := g.connectionError(); cutErr != nil {
		return yuccastore.Page{}, cutErr
	}
	return page, err
}

func (g *nodeStore) Instances(ctx context.Context) (yuccastore.Instances, error) {
	if err := g.connectionError(); err != nil {
		return yuccastore.Instances{}, err
	}
	return g.Store.Instances(ctx)
}

// SetRate records the rate limit that the Syncer sets.
func (g *nodeStore) SetRate(perSecond float64) { g.callRate.Store(int64(perSecond)) }

type node struct {
	name   string
	syncer *yuccasync.Syncer
	store  *nodeStore
}

type fleet struct {
	c           *qt.C
	platform    *yuccafake.Platform
	net         *yuccafake.Net
	group       *errgroup.Group
	nodes       []*node
	incarnation uint64
}

// newFleet starts entries in one region. The first letter of an entry's name is
// its failure domain.
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
	f.incarnation++
	n := &node{name: name, store: &nodeStore{Store: f.platform}}
	set := yuccasync.Settings{Name: name, Region: "a", Domain: name[:1], Incarnation: f.incarnation}
	n.syncer = yuccasync.New(set, n.store, f.net.BusIn(name, name[:1]), zerolog.Nop())
	f.c.Assert(n.syncer.Start(context.Background(), f.group), qt.IsNil)
	f.nodes = append(f.nodes, n)
	return n
}

// kill stops an entry without notice to its peers.
func (f *fleet) kill(n *node) {
	f.net.SetDisconnected(n.name, true)
	f.c.Assert(n.syncer.Stop(context.Background()), qt.IsNil)
	<-n.syncer.Done()
	for i := range f.nodes {
		if f.nodes[i] == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		f.c.Assert(n.syncer.Stop(context.Background()), qt.IsNil)
	}
	f.c.Assert(f.group.Wait(), qt.IsNil)
	f.net.Wait()
}

func (f *fleet) apply(version uint64) {
	_, err := f.platform.Put(context.Background(), yuccasync.RulesKey, encodedRules(version), yuccastore.Cond{})
	f.c.Assert(err, qt.IsNil)
}

func (f *fleet) checkRulesVersion(version uint64) {
	for _, n := range f.nodes {
		f.c.Assert(n.syncer.Snapshot().Document.Version, qt.Equals, version, qt.Commentf("%s", n.name))
	}
}

func (f *fleet) activeEntries(n *node) []string {
	var names []string
	for _, e := range n.syncer.Snapshot().View.Entries() {
		if !e.Leaving {
			names = append(names, e.Name)
		}
	}
	return names
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, test func(c *qt.C)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t)) })
}

func TestOnlyWatchersReadPlatform(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3")
		defer f.stop()
		time.Sleep(40*time.Second + 500*time.Millisecond)
		before := f.platform.Calls()["instances"]
		time.Sleep(10 * time.Second)
		c.Assert(f.platform.Calls()["instances"]-before, qt.Equals, uint64(10*2*yuccasync.Watchers))
		f.apply(1)
		time.Sleep(time.Second)
		f.checkRulesVersion(1)
		for _, r := range f.nodes[0].syncer.Reports(context.Background()) {
			c.Assert(r.Rules, qt.Equals, uint64(1), qt.Commentf("%v", r))
			c.Assert(r.State, qt.Equals, yuccamembership.Live)
		}
	})
}

func TestOtherEntriesReadWhenWatchersAreDisconnected(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "a4", "a5", "a6")
		defer f.stop()
		time.Sleep(40 * time.Second)
		for _, n := range f.nodes {
			n.store.listCalls.Store(0)
		}
		time.Sleep(5 * time.Second)
		disconnected := 0
		for _, n := range f.nodes {
			if n.store.listCalls.Load() > 0 {
				n.store.disconnected.Store(true)
				disconnected++
			}
		}
		c.Assert(disconnected, qt.Equals, yuccasync.Watchers)
		// Six entries share 300 calls per second. The watchers share 500 more, at
		// a quarter each.
		for _, n := range f.nodes {
			c.Assert(n.store.callRate.Load(), qt.Equals, map[bool]int64{true: 300/6 + 500/4, false: 300 / 6}[n.store.disconnected.Load()])
		}
		f.apply(1)
		time.Sleep(7 * time.Second)
		f.checkRulesVersion(1)
	})
}

// TestSyncerSetsRateOfRateLimitedStore measures the rate of a real rate-limited
// store. The Syncer finds the method that sets the rate by a type assertion, so
// the compiler does not notice if the store no longer has that method.
func TestSyncerSetsRateOfRateLimitedStore(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		const (
			// initialRate is the limit before the Syncer sets one, in calls per
			// second.
			initialRate = 2
			// entries is the number of listed entries. Only one of them runs.
			entries = 6
			// wantRate is the expected limit in calls per second. The running entry
			// is a watcher of the only failure domain.
			wantRate = 300/entries + 500/4
			// seconds is the duration of the measurement.
			seconds = 10
		)
		platform, net, group := yuccafake.NewPlatform(), yuccafake.NewNet(), &errgroup.Group{}
		var list []yuccastore.Instance
		for i := range entries {
			name := fmt.Sprint("a", i)
			list = append(list, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Peer: name, Region: "a", Domain: "a"})
		}
		platform.SetInstances(list...)
		store := yuccastore.NewRateLimited(platform, initialRate)
		set := yuccasync.Settings{Name: "a0", Region: "a", Domain: "a", Incarnation: 1}
		syncer := yuccasync.New(set, store, net.BusIn("a0", "a"), zerolog.Nop())
		c.Assert(syncer.Start(context.Background(), group), qt.IsNil)
		defer func() {
			c.Assert(syncer.Stop(context.Background()), qt.IsNil)
			c.Assert(group.Wait(), qt.IsNil)
			net.Wait()
		}()
		time.Sleep(10 * time.Second)
		calls := func() (sum int) {
			for _, n := range platform.Calls() {
				sum += int(n)
			}
			return sum
		}
		before := calls()
		ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := store.Instances(ctx); err != nil {
				<-ctx.Done()
			}
		}
		made := calls() - before
		// A burst of one second's calls comes on top of the rate.
		c.Assert(made >= wantRate*seconds, qt.IsTrue, qt.Commentf("%d calls in %d s", made, seconds))
		c.Assert(made <= wantRate*(seconds+1), qt.IsTrue, qt.Commentf("%d calls in %d s", made, seconds))
	})
}

func TestStartWithThePlatformDown(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "b1")
		defer f.stop()
		f.apply(3)
		time.Sleep(2 * time.Second)
		f.platform.Fail(yuccafake.PlatformFaults{Down: true})
		f.kill(f.nodes[0])
		time.Sleep(10 * time.Second)
		n := f.start("a1")
		c.Assert(n.syncer.Snapshot().Ready(), qt.IsFalse)
		f.net.SetDisconnected("a1", false)
		time.Sleep(2 * time.Second)
		f.checkRulesVersion(3)
		c.Assert(n.syncer.Snapshot().View.Servers(), qt.HasLen, 4)
		c.Assert(f.activeEntries(f.nodes[0]), qt.DeepEquals, []string{"a1", "a2", "b1"})
	})
}

// TestColdStart starts all entries during a platform outage. They must become
// ready after it ends.
func TestColdStart(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
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
			c.Assert(n.syncer.Snapshot().Ready(), qt.IsFalse)
		}
		f.platform.Fail(yuccafake.PlatformFaults{StaleReads: true})
		time.Sleep(3 * time.Second)
		f.checkRulesVersion(5)
	})
}

func TestSilentEntryIsMarkedBeforeListUpdate(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "b1", "b2", "c1", "c2")
		defer f.stop()
		f.apply(1)
		time.Sleep(2 * time.Second)
		f.platform.Fail(yuccafake.PlatformFaults{Lag: 30 * time.Second})
		f.kill(f.nodes[1])
		time.Sleep(5 * time.Second)
		for _, n := range f.nodes {
			c.Assert(f.activeEntries(n), qt.DeepEquals, []string{"a1", "a3", "b1", "b2", "c1", "c2"}, qt.Commentf("%s", n.name))
		}
	})
}

func TestLeavingPropagatesWithin3s(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "a4", "b1")
		defer f.stop()
		f.apply(1)
		time.Sleep(40 * time.Second)
		f.platform.SetInstance(yuccastore.Instance{Name: "s0", Kind: yuccastore.KindServer, Region: "a", Slots: 4, Leaving: true})
		f.nodes[0].syncer.Leave()
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			c.Assert(n.syncer.Snapshot().View.Servers()[0].Leaving, qt.IsTrue, qt.Commentf("%s", n.name))
			c.Assert(f.activeEntries(n), qt.DeepEquals, []string{"a2", "a3", "a4", "b1"}, qt.Commentf("%s", n.name))
		}
	})
}

// TestPartitionedDomainRecovers disconnects failure domain b from the others
// and from the platform, so that it receives no updates, and then connects it
// to the others again.
func TestPartitionedDomainRecovers(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "b1", "b2", "c1", "c2")
		defer f.stop()
		f.apply(1)
		time.Sleep(2 * time.Second)
		partition := func(on bool) {
			f.net.SetPartitioned("b", "a", on)
			f.net.SetPartitioned("b", "c", on)
		}
		partition(true)
		for _, n := range f.nodes[2:4] {
			n.store.disconnected.Store(true)
		}
		f.apply(2)
		time.Sleep(time.Minute)
		for i, n := range f.nodes {
			want := uint64(2)
			if i == 2 || i == 3 {
				want = 1
			}
			c.Assert(n.syncer.Snapshot().Document.Version, qt.Equals, want, qt.Commentf("%s", n.name))
			c.Assert(len(f.activeEntries(n)) >= 4, qt.IsTrue, qt.Commentf("%s sees %v", n.name, f.activeEntries(n)))
		}
		partition(false)
		time.Sleep(3 * time.Second)
		f.checkRulesVersion(2)
		for _, n := range f.nodes {
			c.Assert(f.activeEntries(n), qt.HasLen, 6)
		}
	})
}
