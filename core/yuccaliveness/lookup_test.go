package yuccaliveness_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccacapacity"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaliveness"
	"yuccawell.example/core/yuccareplica"
)

// settleTime is the time in which all heartbeats have come. It does not end together with
// an interval.
const settleTime = 2*yuccaliveness.Interval + 10*time.Millisecond

// noBalancer is a load balancer without services.
type noBalancer struct{}

func (noBalancer) MeanInFlight(time.Time) map[string]float64                { return nil }
func (noBalancer) Rebalance(map[string]yuccabalancer.Demand, time.Duration) {}
func (noBalancer) StatusAndReset() []yuccabalancer.Status                   { return nil }

// noReplica is a replica that announces nothing.
type noReplica struct{}

func (noReplica) Announcement() yuccareplica.Announcement   { return yuccareplica.Announcement{} }
func (noReplica) Observe(string, yuccareplica.Announcement) {}

// allRunning is a prober that finds that all processes run.
type allRunning struct{}

func (allRunning) Accepts(context.Context, string) bool { return true }

// local is the state of an entry.
type local struct {
	load  atomic.Pointer[yuccacapacity.Utilization]
	ready atomic.Bool
	// linksFail is set while the entry's links to the platform and the servers are down.
	linksFail atomic.Bool
}

func newLocal() *local {
	l := &local{}
	l.load.Store(&yuccacapacity.Utilization{})
	l.ready.Store(true)
	return l
}

func (l *local) Utilization(time.Time) yuccacapacity.Utilization { return *l.load.Load() }
func (l *local) Ready() bool                                     { return l.ready.Load() }
func (l *local) LinksWorkSince(time.Time) bool                   { return !l.linksFail.Load() }

// monitors is a fleet of monitors on a network in memory.
type monitors struct {
	all  []*yuccaliveness.Monitor
	list []yuccaliveness.Entry
	// locals holds the state of each entry.
	locals []*local
	log    bytes.Buffer
	net    *yuccafake.Net
}

// newMonitors starts the monitors of entries with the given capacities in cores, which are
// alternately in the failure domains d0 and d1 of region r. Their list has no capacities.
func newMonitors(t *testing.T, cores ...float64) *monitors {
	m := &monitors{net: yuccafake.NewNet()}
	ctx, cancel := context.WithCancel(t.Context())
	group := &errgroup.Group{}
	for i, n := range cores {
		e := yuccaliveness.Entry{Name: fmt.Sprint("e", i), Region: "r", Domain: fmt.Sprint("d", i%2), ClientAddr: fmt.Sprint("addr", i), Incarnation: 1}
		m.list = append(m.list, e)
		e.Capacity.Cores = n
		m.locals = append(m.locals, newLocal())
		log := zerolog.Nop()
		if i == 0 {
			log = zerolog.New(&m.log)
		}
		monitor := yuccaliveness.New(e, m.net.Bus(e.Name), noBalancer{}, noReplica{}, m.locals[i], allRunning{}, log)
		qt.Assert(t, monitor.Start(ctx, group), qt.IsNil)
		m.all = append(m.all, monitor)
	}
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		m.net.Wait()
	})
	return m
}

// updateLists hands the list of entries to all monitors.
func (m *monitors) updateLists() {
	for _, monitor := range m.all {
		monitor.UpdateList(m.list)
	}
}

// lookup returns the sorted addresses in the responses of the first entry to many callers
// of a region.
func (m *monitors) lookup(region string) string {
	var all []string
	for key := range uint64(50) {
		for _, e := range m.all[0].Lookup(yuccaliveness.Caller{Region: region, Domain: "d1", Key: key}) {
			all = append(all, e.ClientAddr)
		}
	}
	slices.Sort(all)
	return strings.Join(slices.Compact(all), " ")
}

// TestLookupInTheFirstSeconds guards against lookups that fail or name an entry which cannot
// serve, while an entry has just started.
func TestLookupInTheFirstSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newMonitors(t, 0.8, 0.8, 0.1)
		m.locals[0].ready.Store(false)
		c.Assert(m.lookup("r"), qt.Equals, "")
		m.locals[0].ready.Store(true)
		c.Assert(m.lookup("r"), qt.Equals, "addr0")
		c.Assert(m.lookup("other"), qt.Equals, "addr0")
		m.all[0].UpdateList(m.list)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1 addr2")
		m.locals[0].ready.Store(false)
		c.Assert(m.lookup("r"), qt.Equals, "addr1 addr2")
	})
}

// TestStartingEntryIsNotNamed guards against callers that are sent to an entry which has just
// started and answers 503. While no entry is ready, lookups name the others as usual.
func TestStartingEntryIsNotNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newMonitors(t, 0.8, 0.8, 0.8)
		m.updateLists()
		m.locals[2].ready.Store(false)
		time.Sleep(settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1")
		m.locals[0].ready.Store(false)
		c.Assert(m.lookup("r"), qt.Equals, "addr1")
		m.locals[1].ready.Store(false)
		time.Sleep(settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr1 addr2")
		m.locals[2].ready.Store(true)
		time.Sleep(settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr2")
	})
}

// TestLookupNamesLargeEntries passes capacities and utilization through the heartbeats. It
// guards against small entries that are named while they are not needed, and against an
// entry that is named after it has left or its heartbeats have stopped.
func TestLookupNamesLargeEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newMonitors(t, 0.8, 0.8, 0.1, 0.1, 0.8)
		m.updateLists()
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1 addr2 addr3 addr4")
		time.Sleep(settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1 addr4")
		c.Assert(m.lookup("other"), qt.Equals, "addr0 addr1 addr4")
		c.Assert(m.log.String(), qt.Contains, `"removed":["e2","e3"]`)
		c.Assert(m.log.String(), qt.Not(qt.Contains), `"region":"other"`, qt.Commentf("callers' regions add up"))
		c.Assert(m.all[0].NamedStatus().Named, qt.Equals, 3)

		m.all[4].Leave()
		m.net.Wait()
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1")
		m.net.SetDisconnected("e1", true)
		time.Sleep(yuccaliveness.Timeout + settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr3")

		// The loss of one large entry could not be absorbed at the demand of all four.
		m.net.SetDisconnected("e1", false)
		time.Sleep(settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1 addr3")
		time.Sleep(30 * time.Second)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1")
		load := yuccacapacity.Utilization{Rate: 190, Cores: 0.19}
		for _, l := range m.locals {
			l.load.Store(&load)
		}
		time.Sleep(settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1 addr2 addr3")
		c.Assert(m.all[0].NamedStatus().Utilization, qt.Equals, load)
	})
}

// TestChoiceIsLoggedWithoutLookups has callers that use other directories.
func TestChoiceIsLoggedWithoutLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMonitors(t, 0.8, 0.8, 0.1)
		m.updateLists()
		time.Sleep(settleTime)
		synctest.Wait()
		qt.Assert(t, m.log.String(), qt.Contains, `"named":2`)
	})
}

// TestStaleCapacityIsUnknown guards against a directory that leaves entries out by what it
// heard before it lost contact with all others.
func TestStaleCapacityIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newMonitors(t, 0.8, 0.8, 0.1)
		m.updateLists()
		time.Sleep(settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1")
		m.net.SetDisconnected("e0", true)
		time.Sleep(yuccaliveness.Timeout + settleTime)
		c.Assert(m.lookup("r"), qt.Equals, "addr0 addr1 addr2")
	})
}

// TestOldBuildIsNotLeftOut has an entry without a capacity in its heartbeats: lookups name
// all entries in their usual order.
func TestOldBuildIsNotLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newMonitors(t, 0.8, 0.8, 0.1, 0)
		m.updateLists()
		time.Sleep(settleTime)
		var names []string
		for _, e := range m.all[0].Lookup(yuccaliveness.Caller{Region: "r", Domain: "d0"}) {
			names = append(names, e.Name)
		}
		c.Assert(names, qt.DeepEquals, []string{"e0", "e1", "e2", "e3"})
		c.Assert(m.log.String(), qt.Not(qt.Contains), "named_entries_changed")
	})
}

// TestLargeNames guards against rates that are shared with entries which callers do not use:
// the large ones of each region share them, or all of a region in which a capacity is unknown.
// The strong entries are those of each failure domain.
func TestLargeNames(t *testing.T) {
	c := qt.New(t)
	s := yuccaliveness.NewState(entry("a", "r", 1), start)
	c.Assert(s.LargeNames(), qt.HasLen, 0)
	var list []yuccaliveness.Entry
	for name, cores := range map[string]float64{"a": 1, "b": 1, "c": 0.25, "d": 0.26} {
		e := entry(name, "r", 1)
		e.Domain, e.Capacity.Cores = "rz", cores
		list = append(list, e)
		e.Name, e.Region, e.Domain, e.Capacity.Cores = "q"+name, "q", "qz", 0.1
		list = append(list, e)
	}
	s.UpdateList(at(1), list)
	c.Assert(s.LargeNames(), qt.DeepEquals, []string{"a", "b", "d", "qa", "qb", "qc", "qd"})
	c.Assert(s.StrongNames(), qt.DeepEquals, []string{"a", "b", "qa", "qb", "qc", "qd"})
	s.UpdateList(at(2), append(list, entry("old", "r", 1)))
	c.Assert(s.LargeNames(), qt.DeepEquals, []string{"a", "b", "c", "d", "old", "qa", "qb", "qc", "qd"})
}

// BenchmarkLookup looks up entries in a fleet of 110.
func BenchmarkLookup(b *testing.B) {
	e := yuccaliveness.Entry{Name: "self", Region: "r", Domain: "d0", Capacity: yuccacapacity.Capacity{Cores: 0.8}}
	net, l := yuccafake.NewNet(), newLocal()
	monitor := yuccaliveness.New(e, net.Bus("self"), noBalancer{}, noReplica{}, l, allRunning{}, zerolog.Nop())
	var list []yuccaliveness.Entry
	for i := range 109 {
		e := yuccaliveness.Entry{Name: fmt.Sprint("e", i), Region: "r", Domain: fmt.Sprint("d", i%4), Incarnation: 1, Capacity: yuccacapacity.Capacity{Cores: 0.112}}
		if i < 11 {
			e.Capacity.Cores = 0.8
		}
		list = append(list, e)
	}
	monitor.UpdateList(list)
	// One heartbeat, so that the list is not all that is known.
	heartbeat, err := proto.Marshal(&yuccaliveness.Heartbeat{Region: "r", Domain: "d0", Incarnation: 1, Capacity: &yuccaliveness.Capacity{Cores: 0.8}})
	qt.Assert(b, err, qt.IsNil)
	_, err = net.Bus("e0").Call(b.Context(), "self", yuccaliveness.Topic, heartbeat)
	qt.Assert(b, err, qt.IsNil)
	b.Run("lookup", func(b *testing.B) {
		for i := range b.N {
			monitor.Lookup(yuccaliveness.Caller{Region: "r", Domain: "d1", Key: uint64(i)})
		}
	})
	b.Run("decision", func(b *testing.B) {
		for i := range b.N {
			l.ready.Store(i%2 == 0)
			monitor.Lookup(yuccaliveness.Caller{Region: "r", Domain: "d1", Key: uint64(i)})
		}
	})
}
