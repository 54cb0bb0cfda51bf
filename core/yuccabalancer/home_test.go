package yuccabalancer_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
)

// coresOf returns the core of an entry in each of the regions a, b and c.
func coresOf(w yuccabalancer.Topology) []*yuccabalancer.Core {
	var cores []*yuccabalancer.Core
	for _, region := range []string{"a", "b", "c"} {
		core := yuccabalancer.NewCore(yuccabalancer.Location{Entry: "e1", Region: region, Domain: region + "1"})
		core.Update(w)
		cores = append(cores, core)
	}
	return cores
}

// TestObjectsHaveOneHome sends requests for many objects from all regions, one of which has
// an eighth of the servers. It guards against first uses of an object in each region, and
// against a small region that is fuller than the others.
func TestObjectsHaveOneHome(t *testing.T) {
	const objects = 2000
	tests := []struct {
		name   string
		change func(*yuccaadmission.Request)
		// homes is the number of servers that an object has at most, and own the least part
		// of their requests that callers of the largest region keep there.
		homes int
		own   float64
	}{
		{"time for the way", func(*yuccaadmission.Request) {}, 1, 0.4},
		{"short target", func(r *yuccaadmission.Request) { r.LatencyTarget = 250 * time.Millisecond }, 3, 0.99},
		{"unknown target", func(r *yuccaadmission.Request) { r.LatencyTarget = 0 }, 3, 0.99},
		{"long response", func(r *yuccaadmission.Request) { r.Bulk = true }, 3, 0.99},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cores := coresOf(topologyOf(map[string]int{"a": 2, "b": 8, "c": 6}))
			runs := map[string]float64{}
			for object := range uint64(objects) {
				servers := map[string]bool{}
				for i, core := range cores {
					req := request(time.Duration(object)*time.Millisecond, object*2654435761+1)
					req.LatencyTarget = 600 * time.Millisecond
					test.change(&req)
					choice := core.Choose(req)
					c.Assert(choice.Kind, qt.Equals, yuccaerror.None)
					servers[choice.Server()] = true
					if i == 1 {
						runs[choice.Server()[:1]] += 1.0 / objects
					}
					core.Done(choice, yuccaadmission.Result{Now: req.Now, Succeeded: true, TimeToHeader: time.Millisecond})
				}
				c.Assert(len(servers) <= test.homes, qt.IsTrue, qt.Commentf("%v", servers))
			}
			c.Assert(runs["b"] >= test.own, qt.IsTrue, qt.Commentf("%v", runs))
			if test.homes == 1 {
				c.Assert(math.Abs(runs["a"]-0.125) < 0.03, qt.IsTrue, qt.Commentf("%v", runs))
			}
		})
	}
}

// TestHomesMoveSlowly takes servers of a region away and brings them back while requests run.
// From any two seconds to the next two, at most 15% of the requests may change their region.
func TestHomesMoveSlowly(t *testing.T) {
	const (
		tick    = 500 * time.Millisecond
		objects = 1000
		window  = 4
	)
	c := qt.New(t)
	full, reduced := topologyOf(map[string]int{"a": 2, "b": 8, "c": 6}), topologyOf(map[string]int{"a": 2, "b": 2, "c": 6})
	core := newCore(full)
	var history []map[string]float64
	for i := range 60 {
		switch i {
		case 10:
			core.Update(reduced)
		case 35:
			core.Update(full)
		}
		core.Rebalance(map[string]yuccabalancer.Demand{"s": {"a": 10, "b": 10, "c": 10}}, tick)
		runs := map[string]float64{}
		for object := range uint64(objects) {
			req := request(time.Duration(i)*tick, object*2654435761+1)
			req.LatencyTarget = 600 * time.Millisecond
			choice := core.Choose(req)
			c.Assert(choice.Kind, qt.Equals, yuccaerror.None)
			runs[choice.Server()[:1]] += 1.0 / objects / window
			core.Done(choice, yuccaadmission.Result{Now: req.Now, Succeeded: true, TimeToHeader: time.Millisecond})
		}
		history = append(history, runs)
	}
	for i := 0; i+2*window <= len(history); i++ {
		moved := 0.0
		for _, region := range []string{"a", "b", "c"} {
			change := 0.0
			for k := range window {
				change += history[i+window+k][region] - history[i+k][region]
			}
			moved += math.Abs(change) / 2
		}
		c.Assert(moved <= 0.15, qt.IsTrue, qt.Commentf("window %d: %v", i, moved))
	}
}
