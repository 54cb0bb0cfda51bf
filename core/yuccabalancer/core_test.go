package yuccabalancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var start = time.Unix(1_800_000_000, 0)

// world returns n servers of service s with a number of slots in each region.
func world(n, slots int, regions ...string) yuccabalancer.Topology {
	w := yuccabalancer.Topology{Entries: []string{"e1"}}
	for _, region := range regions {
		for i := range n {
			w.Servers = append(w.Servers, yuccabalancer.Server{
				Name: fmt.Sprintf("%s%d", region, i), Service: "s", Region: region, Domain: region + "1", Slots: slots,
			})
		}
	}
	return w
}

func newCore(w yuccabalancer.Topology) *yuccabalancer.Core {
	c := yuccabalancer.NewCore(yuccabalancer.Location{Entry: "e1", Region: "a", Domain: "a1"})
	c.Update(w)
	return c
}

func ask(at time.Duration, object uint64) yuccaadmission.Request {
	now := start.Add(at)
	return yuccaadmission.Request{Now: now, Service: "s", Object: object, Random: object, LatencyBudget: 200 * time.Millisecond, Deadline: now.Add(time.Second)}
}

func TestNeverChosen(t *testing.T) {
	tests := []struct {
		name   string
		change func(*yuccabalancer.Topology, *yuccaadmission.Request)
	}{
		{"leaving", func(w *yuccabalancer.Topology, _ *yuccaadmission.Request) { w.Servers[0].Draining = true }},
		{"evacuated", func(w *yuccabalancer.Topology, _ *yuccaadmission.Request) {
			w.Servers[0].Domain = "a2"
			w.Evacuated = map[string]bool{"a2": true}
		}},
		{"tried", func(_ *yuccabalancer.Topology, a *yuccaadmission.Request) { a.Avoid = []string{"a0"} }},
		{"cold without a share", func(w *yuccabalancer.Topology, _ *yuccaadmission.Request) {
			w.Servers[0].SlowStartUntil = start.Add(time.Hour)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := world(2, 4, "a")
			a := ask(0, 0)
			test.change(&w, &a)
			core := newCore(w)
			for object := range uint64(200) {
				a.Object = object + 1
				choice := core.Ask(a)
				if choice.Kind != yuccaerror.None {
					continue
				}
				c.Assert(choice.Server(), qt.Equals, "a1")
				core.Done(choice, yuccaadmission.Result{Now: a.Now, Succeeded: true, Took: time.Millisecond})
			}
		})
	}
}

// TestHomeRegionsBind asks for each object where it may run in one region only.
func TestHomeRegionsBind(t *testing.T) {
	c := qt.New(t)
	core := newCore(world(2, 4, "a", "b", "c"))
	for object := range uint64(100) {
		a := ask(0, object+1)
		a.Regions = []string{"c"}
		choice := core.Ask(a)
		c.Assert(choice.Server()[:1], qt.Equals, "c")
		core.Done(choice, yuccaadmission.Result{Now: a.Now, Succeeded: true, Took: time.Millisecond})
	}
}

// TestObjectStaysWithItsServer lets an object come again and again while there
// is room, and once more when its server is full.
func TestObjectStaysWithItsServer(t *testing.T) {
	c := qt.New(t)
	core := newCore(world(4, 2, "a"))
	var home string
	for i := range 50 {
		choice := core.Ask(ask(time.Duration(i)*100*time.Millisecond, 7))
		if home == "" {
			home = choice.Server()
		}
		c.Assert(choice.Server(), qt.Equals, home)
		core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true, Took: 70 * time.Millisecond})
	}
	others := 0
	for range 12 {
		if core.Ask(ask(5*time.Second, 7)).Server() != home {
			others++
		}
	}
	c.Assert(others > 0, qt.IsTrue)
}

// TestOthersLoadCounts tells of a server that other entries keep full: a new
// object goes elsewhere.
func TestOthersLoadCounts(t *testing.T) {
	c := qt.New(t)
	core := newCore(world(2, 4, "a"))
	first := core.Ask(ask(0, 7))
	core.Done(first, yuccaadmission.Result{
		Now: start, Succeeded: true, Took: 100 * time.Millisecond,
		Load: &yuccaadmission.Load{Running: 4, Waiting: 40, Slots: 4},
	})
	c.Assert(core.Ask(ask(0, 7)).Server(), qt.Not(qt.Equals), first.Server())
}

// TestRefusedWithATime fills every server: what would be far too late is refused
// at once, with a time at which there may be room.
func TestRefusedWithATime(t *testing.T) {
	c := qt.New(t)
	core := newCore(world(2, 2, "a"))
	warm := core.Ask(ask(0, 1))
	core.Done(warm, yuccaadmission.Result{Now: start, Succeeded: true, Took: 200 * time.Millisecond})
	taken := 0
	for range 200 {
		choice := core.Ask(ask(0, 1))
		if choice.Kind == yuccaerror.None {
			taken++
			continue
		}
		c.Assert(choice.Kind, qt.Equals, yuccaerror.Shed)
		c.Assert(choice.After > 0 && choice.After <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", choice.After))
	}
	// Four slots serve 20 a second, and a request has a second.
	c.Assert(taken >= 4 && taken < 40, qt.IsTrue, qt.Commentf("%d", taken))
}

// TestBlockedAfterSilence breaks connections to a server: it is left alone, and
// asked again later.
func TestBlockedAfterSilence(t *testing.T) {
	c := qt.New(t)
	core := newCore(world(2, 4, "a"))
	first := core.Ask(ask(0, 7))
	core.Done(first, yuccaadmission.Result{Now: start, NoResponse: true})
	second := core.Ask(ask(0, 7))
	c.Assert(second.Server(), qt.Not(qt.Equals), first.Server())
	core.Done(second, yuccaadmission.Result{Now: start, Succeeded: true, Took: time.Millisecond})
	c.Assert(core.Ask(ask(6*time.Second, 7)).Server(), qt.Equals, first.Server())
}

// TestColdRateHolds lets many entries send as much as they can to cold servers.
// No second sees more than one and a half times the rate and a few.
func TestColdRateHolds(t *testing.T) {
	const (
		overrun = 1.5
		slack   = 5
	)
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		rate := rapid.Float64Range(1, 30).Draw(t, "rate")
		step := time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
		w := world(1, 1000, "a")
		w.Servers[0].SlowStartUntil = start.Add(time.Hour)
		w.SlowStartRates = map[string]float64{"s": rate}
		w.Entries = nil
		for i := range entries {
			w.Entries = append(w.Entries, fmt.Sprint("e", i))
		}
		var cores []*yuccabalancer.Core
		for _, name := range w.Entries {
			c := yuccabalancer.NewCore(yuccabalancer.Location{Entry: name, Region: "a", Domain: "a1"})
			c.Update(w)
			cores = append(cores, c)
		}
		var sent []time.Duration
		for at := time.Duration(0); at < 3*time.Second; at += step {
			for i, c := range cores {
				choice := c.Ask(ask(at, uint64(i+1)))
				if choice.Kind == yuccaerror.None {
					sent = append(sent, at)
					c.Done(choice, yuccaadmission.Result{Now: start.Add(at), Succeeded: true, Took: time.Millisecond})
				}
			}
		}
		for i := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other < sent[i]+time.Second {
					n++
				}
			}
			if float64(n) > rate*overrun+slack {
				t.Fatalf("%d in one second at a rate of %v", n, rate)
			}
		}
		if len(sent) == 0 {
			t.Fatalf("a cold server gets nothing")
		}
	})
}

// TestFreeServerIsUsed asks for little time of servers that have room: work may
// take less than the mean, so that only a wait for a slot is a reason to refuse.
func TestFreeServerIsUsed(t *testing.T) {
	c := qt.New(t)
	core := newCore(world(2, 4, "a"))
	for i := range 30 {
		choice := core.Ask(ask(time.Duration(i)*time.Second, 7))
		core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true, Took: 700 * time.Millisecond})
	}
	short := ask(time.Minute, 7)
	short.Deadline = short.Now.Add(800 * time.Millisecond)
	c.Assert(core.Ask(short).Kind, qt.Equals, yuccaerror.None)
	short.Object = 8
	c.Assert(core.Ask(short).Kind, qt.Equals, yuccaerror.None)
}

// TestFirstRequestsGoHome sends one request for each of many objects before any
// time was measured, and then all again: each object meets its server, also in
// another failure domain.
func TestFirstRequestsGoHome(t *testing.T) {
	c := qt.New(t)
	w := world(4, 8, "a")
	for i := range w.Servers {
		w.Servers[i].Domain = fmt.Sprint("a", 1+i%2)
	}
	core := newCore(w)
	home := map[uint64]string{}
	for object := range uint64(20) {
		choice := core.Ask(ask(0, object+1))
		home[object] = choice.Server()
		core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true, Took: 240 * time.Millisecond})
	}
	used := map[string]bool{}
	for object := range uint64(20) {
		choice := core.Ask(ask(time.Minute, object+1))
		used[choice.Server()] = true
		c.Assert(choice.Server(), qt.Equals, home[object])
		core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true, Took: 240 * time.Millisecond})
	}
	c.Assert(used, qt.HasLen, 4)
}
