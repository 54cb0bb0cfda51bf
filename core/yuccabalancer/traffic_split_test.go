package yuccabalancer_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
)

func TestSpread(t *testing.T) {
	tests := []struct {
		name   string
		demand yuccabalancer.Demand
		slots  map[string]float64
		least  float64
		most   float64
	}{
		{"own region has room", yuccabalancer.Demand{"a": 10}, map[string]float64{"a": 40, "b": 40}, 1, 1},
		{"demand is twice the slots", yuccabalancer.Demand{"a": 40}, map[string]float64{"a": 20, "b": 100}, 0.2, 0.5},
		{"own region has no servers", yuccabalancer.Demand{"a": 10}, map[string]float64{"b": 40}, 0, 0},
		{"all regions overloaded alike", yuccabalancer.Demand{"a": 100, "b": 100}, map[string]float64{"a": 40, "b": 40}, 1, 1},
		{"other regions nearly full", yuccabalancer.Demand{"a": 40, "b": 60}, map[string]float64{"a": 20, "b": 60}, 0.5, 0.8},
		{"unknown demand, few servers", yuccabalancer.Demand{}, map[string]float64{"a": 12, "b": 36, "c": 48}, 0.3, 0.7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			shares := yuccabalancer.Spread("a", test.demand, test.slots)
			sum := 0.0
			for _, v := range shares {
				sum += v
			}
			c.Assert(math.Abs(sum-1) < 1e-9, qt.IsTrue, qt.Commentf("%v", shares))
			c.Assert(shares["a"] >= test.least && shares["a"] <= test.most, qt.IsTrue, qt.Commentf("%v", shares))
		})
	}
}

// TestTowardIsBoundedByStep moves from any split to any other one in small
// steps.
func TestTowardIsBoundedByStep(t *testing.T) {
	draw := func(t *rapid.T, name string) yuccabalancer.TrafficSplit {
		parts := rapid.SliceOfN(rapid.Float64Range(0, 1), 4, 4).Draw(t, name)
		sum := 1e-9
		for _, v := range parts {
			sum += v
		}
		s := yuccabalancer.TrafficSplit{}
		for i, v := range parts {
			s[string(rune('a'+i))] = (v + 1e-9/4) / sum
		}
		return s
	}
	rapid.Check(t, func(t *rapid.T) {
		from, goal := draw(t, "from"), draw(t, "goal")
		const step = 0.02
		for range 60 {
			next := from.Toward(goal, step)
			moved, sum := 0.0, 0.0
			for region, v := range next {
				moved += math.Abs(v-from[region]) / 2
				sum += v
			}
			if moved > step+1e-9 || math.Abs(sum-1) > 1e-6 {
				t.Fatalf("a step moved %v of the requests, want at most 0.02; sum of shares %v, want 1", moved, sum)
			}
			from = next
		}
		for region, v := range goal {
			if math.Abs(from[region]-v) > 1e-6 {
				t.Fatalf("split after 60 steps: %v, want %v", from, goal)
			}
		}
	})
}

// TestDemandRampMovesSlowly raises the demand of a small region from half to
// three times its capacity. From any two seconds to the next two, at most
// 15% of the requests may change the region in which they run.
func TestDemandRampMovesSlowly(t *testing.T) {
	const (
		tick     = 500 * time.Millisecond
		perTick  = 400
		maxShift = 0.15
		window   = 4
	)
	c := qt.New(t)
	core := newCore(topologyOf(map[string]int{"a": 2, "b": 8, "c": 6}))
	var history []map[string]float64
	for i := range 60 {
		now := time.Duration(i) * tick
		load := 6 + 30*float64(min(i, 40))/40
		if i > 0 {
			core.Rebalance(map[string]yuccabalancer.Demand{"s": {"a": load, "b": 10, "c": 10}}, tick)
		}
		runs := map[string]float64{}
		for object := range uint64(perTick) {
			a := request(now, object*2654435761+1)
			choice := core.Choose(a)
			c.Assert(choice.Kind, qt.Equals, yuccaerror.None)
			runs[choice.Server()[:1]]++
			core.Done(choice, yuccaadmission.Result{Now: a.Now, Succeeded: true, TimeToHeader: time.Millisecond})
		}
		history = append(history, runs)
	}
	total := func(from int) map[string]float64 {
		sum := map[string]float64{}
		for _, runs := range history[from : from+window] {
			for region, n := range runs {
				sum[region] += n / (window * perTick)
			}
		}
		return sum
	}
	for i := 0; i+2*window <= len(history); i++ {
		before, after, moved := total(i), total(i+window), 0.0
		for _, region := range []string{"a", "b", "c"} {
			moved += math.Abs(after[region]-before[region]) / 2
		}
		c.Assert(moved <= maxShift, qt.IsTrue, qt.Commentf("window %d: %v", i, moved))
	}
	last := history[len(history)-1]
	c.Assert(last["a"] < 0.6*perTick, qt.IsTrue, qt.Commentf("%v", last))
}

// topologyOf returns a topology with the given number of servers, of 6 slots
// each, in each of the regions a, b and c.
func topologyOf(servers map[string]int) yuccabalancer.Topology {
	w := yuccabalancer.Topology{Entries: []string{"e1"}}
	for _, region := range []string{"a", "b", "c"} {
		w.Servers = append(w.Servers, topology(servers[region], 6, region).Servers...)
	}
	return w
}
