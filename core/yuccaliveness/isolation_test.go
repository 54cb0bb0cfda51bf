package yuccaliveness_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaliveness"
)

// TestIsolatedEntryJudgesTheOthers has an entry receive no heartbeats, and probe the others.
// It guards against lookups that name dead entries for ever, and against an entry that takes
// all others for dead because its own network is at fault.
func TestIsolatedEntryJudgesTheOthers(t *testing.T) {
	list := []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "r", 1), entry("c", "q", 1)}
	tests := []struct {
		name string
		// linksWork is whether the entry's other links work.
		linksWork bool
		// probe records probes at 10 s.
		probe func(s *yuccaliveness.State)
		want  string
	}{
		{"not probed yet", true, func(*yuccaliveness.State) {}, "a b c"},
		{"one accepts connections", true, func(s *yuccaliveness.State) {
			s.RecordProbe(at(10), "b", false)
			s.RecordProbe(at(10), "c", true)
		}, "a c"},
		{"the last one", true, func(s *yuccaliveness.State) {
			s.RecordProbe(at(10), "b", false)
			s.RecordProbe(at(10), "c", false)
		}, "a"},
		{"no link works", false, func(s *yuccaliveness.State) {
			s.RecordProbe(at(10), "b", false)
			s.RecordProbe(at(10), "c", false)
		}, "a b c"},
		{"one starts again", true, func(s *yuccaliveness.State) {
			s.RecordProbe(at(9), "b", false)
			s.RecordProbe(at(9), "c", false)
			s.RecordProbe(at(10), "b", true)
		}, "a b"},
		{"the links fail later", true, func(s *yuccaliveness.State) {
			s.RecordProbe(at(9), "b", false)
			s.SetLinksWork(false)
			s.RecordProbe(at(10), "b", false)
		}, "a b c"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := yuccaliveness.NewState(list[0], start)
			s.UpdateList(at(0), list)
			s.RecordHeartbeat(at(5), list[1], nil)
			c.Assert(s.ToProbe(at(7)), qt.HasLen, 0, qt.Commentf("a heartbeat is recent"))
			c.Assert(s.ToProbe(at(8)), qt.HasLen, 2)
			s.SetLinksWork(test.linksWork)
			test.probe(s)
			c.Assert(aliveNames(s, at(10)), qt.Equals, test.want)
			s.RecordHeartbeat(at(11), list[1], nil)
			c.Assert(s.ToProbe(at(11)), qt.HasLen, 0)
			c.Assert(aliveNames(s, at(11)), qt.Equals, "a b", qt.Commentf("heartbeats decide again"))
		})
	}
}

// TestLastEntryDeregistersTheDead has all other entries be dead: the last one removes them
// from the list, but not before they have been dead for as long as silent entries are.
func TestLastEntryDeregistersTheDead(t *testing.T) {
	c := qt.New(t)
	list := []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "r", 1), entry("c", "q", 1)}
	s := yuccaliveness.NewState(list[0], start)
	s.UpdateList(at(0), list)
	s.SetLinksWork(true)
	s.RecordProbe(at(10), "b", false)
	s.RecordProbe(at(20), "c", false)
	c.Assert(s.ToDeregister(at(69)), qt.HasLen, 0)
	c.Assert(s.ToDeregister(at(71)), qt.DeepEquals, []string{"b"})
	s.RecordProbe(at(72), "b", true)
	c.Assert(s.ToDeregister(at(79)), qt.HasLen, 0)
	s.RecordProbe(at(80), "b", false)
	c.Assert(s.ToDeregister(at(81)), qt.DeepEquals, []string{"c"})
}

// prober finds the processes that run.
type prober struct{ running atomic.Bool }

func (p *prober) Accepts(context.Context, string) bool { return p.running.Load() }

// TestLastEntryNamesItselfAlone has one entry be left of three. It guards against callers of
// other regions that get the addresses of dead entries only.
func TestLastEntryNamesItselfAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		list := []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "q", 1), entry("c", "q", 1)}
		ctx, cancel := context.WithCancel(t.Context())
		group := &errgroup.Group{}
		p, l := &prober{}, newLocal()
		monitor := yuccaliveness.New(list[0], yuccafake.NewNet().Bus("a"), noBalancer{}, noReplica{}, l, p, zerolog.Nop())
		c.Assert(monitor.Start(ctx, group), qt.IsNil)
		monitor.UpdateList(list)
		named := func() (names []string) {
			for _, e := range monitor.Lookup(yuccaliveness.Caller{Region: "q", Domain: "q1"}) {
				names = append(names, e.Name)
			}
			return names
		}
		time.Sleep(yuccaliveness.Interval)
		c.Assert(len(named()) > 0 && named()[0] != "a", qt.IsTrue)
		time.Sleep(yuccaliveness.Timeout + 2*yuccaliveness.Interval)
		c.Assert(named(), qt.DeepEquals, []string{"a"})
		p.running.Store(true)
		time.Sleep(3 * time.Second)
		c.Assert(len(named()) > 0 && named()[0] != "a", qt.IsTrue, qt.Commentf("they accept connections again"))
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
	})
}
