package yuccabalancer_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaswitch"
)

// replayOverload lets a core without some mechanisms choose for a fixed series of requests,
// more than the servers of its region can take, and returns the choices as text. One server
// is restarted in between.
func replayOverload(off yuccaswitch.Set) string {
	rng := rand.New(rand.NewPCG(1, 2))
	core := yuccabalancer.NewCoreWithout(yuccabalancer.Location{Entry: "e1", Region: "a", Domain: "a1"}, off)
	w := topology(3, 2, "a", "b")
	core.Update(w)
	type running struct {
		end    time.Duration
		choice yuccabalancer.Choice
	}
	var all []running
	var trace strings.Builder
	for at := time.Duration(0); at < 4*time.Second; at += 5 * time.Millisecond {
		if at == 2*time.Second {
			w.Servers[0].Run = 2
			core.Update(w)
		}
		if at%(500*time.Millisecond) == 0 {
			core.Rebalance(map[string]yuccabalancer.Demand{"s": {"a": 12, "b": 1}}, 500*time.Millisecond)
		}
		var still []running
		for _, r := range all {
			if r.end > at {
				still = append(still, r)
				continue
			}
			load := &yuccaadmission.Load{Running: 2, Waiting: rng.IntN(4), Slots: 2, Slowness: 1 + rng.Float64()}
			core.Done(r.choice, yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: 60 * time.Millisecond, Load: load})
		}
		all = still
		req := request(at, 1+rng.Uint64N(20))
		req.Random, req.Priority = rng.Uint64(), 1+rng.IntN(2)
		work := time.Duration(40+rng.IntN(80)) * time.Millisecond
		choice := core.Choose(req)
		if choice.Reason == yuccabalancer.Refused {
			fmt.Fprintln(&trace, "refused", choice.RetryAfter)
			continue
		}
		fmt.Fprintln(&trace, choice.Server(), choice.Reason)
		all = append(all, running{at + work, choice})
	}
	return trace.String()
}

// TestSwitchesTakeEffect guards against a switch that leaves its mechanism on: each changes
// what a core under overload chooses.
func TestSwitchesTakeEffect(t *testing.T) {
	complete := replayOverload(yuccaswitch.Set{})
	qt.Assert(t, replayOverload(yuccaswitch.Set{}), qt.Equals, complete)
	for _, m := range []yuccaswitch.Mechanism{
		yuccaswitch.Affinity, yuccaswitch.Crowding, yuccaswitch.Classes, yuccaswitch.Line, yuccaswitch.Ramp,
		yuccaswitch.Spillover, yuccaswitch.Split, yuccaswitch.Reports, yuccaswitch.Slowness,
	} {
		t.Run(string(m), func(t *testing.T) {
			qt.Assert(t, replayOverload(yuccaswitch.Set{}.With(m)) != complete, qt.IsTrue)
		})
	}
}
