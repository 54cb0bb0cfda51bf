package yuccabalancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
)

// TestLateCauses exceeds the latency budget once for each cause.
func TestLateCauses(t *testing.T) {
	const late = 300 * time.Millisecond
	serve := func(core *yuccabalancer.Core, at time.Duration, took time.Duration) {
		a := request(at, 1)
		choice := core.Choose(a)
		core.Done(choice, yuccaadmission.Result{Now: a.Now.Add(took), Succeeded: true, TimeToHeader: took})
	}
	tests := []struct {
		name     string
		topology yuccabalancer.Topology
		send     func(core *yuccabalancer.Core)
		want     yuccabalancer.Cause
	}{
		{"in time", topology(1, 4, "a"), func(c *yuccabalancer.Core) { serve(c, 0, time.Millisecond) }, ""},
		{"first request for the object", topology(1, 4, "a"), func(c *yuccabalancer.Core) { serve(c, 0, late) }, yuccabalancer.LateObject},
		{"warm object", topology(1, 4, "a"), func(c *yuccabalancer.Core) {
			serve(c, 0, time.Millisecond)
			serve(c, time.Second, late)
		}, yuccabalancer.LateWork},
		{"full server", topology(1, 1, "a"), func(c *yuccabalancer.Core) {
			serve(c, 0, time.Millisecond)
			c.Choose(request(time.Second, 2))
			serve(c, time.Second, late)
		}, yuccabalancer.LateQueue},
		{"other region", topology(1, 4, "b"), func(c *yuccabalancer.Core) {
			serve(c, 0, time.Millisecond)
			serve(c, time.Second, late)
		}, yuccabalancer.LateRegion},
		{"server in slow start", slowStartTopology(), func(c *yuccabalancer.Core) { serve(c, time.Second, late) }, yuccabalancer.LateStart},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core := newCore(test.topology)
			test.send(core)
			want := map[yuccabalancer.Cause]int{}
			if test.want != "" {
				want[test.want] = 1
			}
			qt.Assert(t, core.Status()[0].Late, qt.DeepEquals, want)
		})
	}
}

// slowStartTopology returns a topology with a single server, which is in
// slow start.
func slowStartTopology() yuccabalancer.Topology {
	w := topology(1, 4, "a")
	w.Servers[0].SlowStartUntil = start.Add(time.Minute)
	w.SlowStartRates = map[string]float64{"s": 50}
	return w
}
