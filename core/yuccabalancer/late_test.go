package yuccabalancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
)

// TestLateAnswersAreCountedByCause has a request answered after its goal in each
// of the ways in which that comes about.
func TestLateAnswersAreCountedByCause(t *testing.T) {
	const late = 300 * time.Millisecond
	serve := func(core *yuccabalancer.Core, at time.Duration, took time.Duration) {
		a := ask(at, 1)
		choice := core.Ask(a)
		core.Done(choice, yuccaadmission.Result{Now: a.Now.Add(took), Succeeded: true, Took: took})
	}
	tests := []struct {
		name  string
		world yuccabalancer.Topology
		play  func(core *yuccabalancer.Core)
		want  yuccabalancer.Cause
	}{
		{"in time", world(1, 4, "a"), func(c *yuccabalancer.Core) { serve(c, 0, time.Millisecond) }, ""},
		{"first of its object", world(1, 4, "a"), func(c *yuccabalancer.Core) { serve(c, 0, late) }, yuccabalancer.LateObject},
		{"known object", world(1, 4, "a"), func(c *yuccabalancer.Core) {
			serve(c, 0, time.Millisecond)
			serve(c, time.Second, late)
		}, yuccabalancer.LateWork},
		{"full server", world(1, 1, "a"), func(c *yuccabalancer.Core) {
			serve(c, 0, time.Millisecond)
			c.Ask(ask(time.Second, 2))
			serve(c, time.Second, late)
		}, yuccabalancer.LateQueue},
		{"other region", world(1, 4, "b"), func(c *yuccabalancer.Core) {
			serve(c, 0, time.Millisecond)
			serve(c, time.Second, late)
		}, yuccabalancer.LateRegion},
		{"started server", coldWorld(), func(c *yuccabalancer.Core) { serve(c, time.Second, late) }, yuccabalancer.LateStart},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core := newCore(test.world)
			test.play(core)
			want := map[yuccabalancer.Cause]int{}
			if test.want != "" {
				want[test.want] = 1
			}
			qt.Assert(t, core.Status()[0].Late, qt.DeepEquals, want)
		})
	}
}

// coldWorld has a single server, which has just started.
func coldWorld() yuccabalancer.Topology {
	w := world(1, 4, "a")
	w.Servers[0].SlowStartUntil = start.Add(time.Minute)
	w.SlowStartRates = map[string]float64{"s": 50}
	return w
}
