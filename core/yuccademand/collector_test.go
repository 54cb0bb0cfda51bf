package yuccademand_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccademand"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarelay"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// TestCounter checks the rates of served and refused requests, and that a call of
// Flush resets the counts.
func TestCounter(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	inFlight := func(string, string) int { return 3 }
	var counter yuccademand.Counter
	c.Assert(counter.Flush(start, "e1", inFlight), qt.HasLen, 0)
	for range 4 {
		counter.Add(yuccarelay.Record{Service: "s", OriginRegion: "a", ServerRegion: "b", TimeToHeader: time.Second, Bytes: 100})
	}
	counter.Add(yuccarelay.Record{Service: "s", OriginRegion: "a", Kind: yuccaerror.Shed})
	c.Assert(counter.Flush(start.Add(2*time.Second), "e1", inFlight), qt.DeepEquals, []yuccaplan.Demand{
		{Entry: "e1", Service: "s", Region: "a", InFlight: 3, Rejected: 0.5},
		{Entry: "e1", Service: "s", Region: "b", InFlight: 3, Rate: 2, Bytes: 200, Latency: time.Second},
	})
	c.Assert(counter.Flush(start.Add(4*time.Second), "e1", inFlight), qt.HasLen, 0)
}

// fakeLease is a Lease that is always or never held.
type fakeLease bool

func (h fakeLease) Held() (uint64, bool) { return 1, bool(h) }

// TestLeaseHolderGathersReports disconnects an entry and checks that the lease
// holder keeps its last report with a growing age, and drops it in the end.
func TestLeaseHolderGathersReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		net := yuccafake.NewNet()
		names := []string{"e1", "e2"}
		group := &errgroup.Group{}
		services := map[string]*yuccademand.Collector{}
		for _, name := range names {
			s := yuccademand.New(name, net.Bus(name), func() []string { return names }, fakeLease(name == "e1"), func(string, string) int { return 1 }, zerolog.Nop())
			c.Assert(s.Start(ctx, group), qt.IsNil)
			services[name] = s
		}
		time.Sleep(yuccademand.Interval + time.Millisecond)
		for range 4 {
			services["e2"].Observe(yuccarelay.Record{Service: "s", OriginRegion: "a", ServerRegion: "a"})
			time.Sleep(yuccademand.Interval)
		}
		net.SetDisconnected("e2", true)
		time.Sleep(time.Minute)
		load := services["e1"].Demands(time.Now())
		c.Assert(load, qt.HasLen, 1)
		c.Assert(load[0].Entry, qt.Equals, "e2")
		c.Assert(load[0].Age >= time.Minute, qt.IsTrue, qt.Commentf("%s", load[0].Age))
		time.Sleep(10 * time.Minute)
		c.Assert(services["e1"].Demands(time.Now()), qt.HasLen, 0)
		for _, s := range services {
			c.Assert(s.Stop(ctx), qt.IsNil)
		}
		c.Assert(group.Wait(), qt.IsNil)
	})
}
