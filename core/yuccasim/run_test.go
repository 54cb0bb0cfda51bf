package yuccasim_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccasim"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// options returns short runs of the first deployment at 80% load.
func options(scenarios []yuccasim.Scenario, policies ...string) yuccasim.Options {
	return yuccasim.Options{
		Seed:        1,
		Deployments: yuccasim.Deployments()[:1],
		Scenarios:   scenarios,
		Loads:       yuccasim.Loads()[1:2],
		Policies:    policies,
		Requests:    1000,
		Length:      2 * time.Second,
	}
}

// TestRunIsRepeatable runs all scenarios and policies twice with the same seed and
// expects equal results.
func TestRunIsRepeatable(t *testing.T) {
	o := options(yuccasim.Scenarios(), yuccasim.Policies()...)
	qt.Assert(t, slices.Equal(yuccasim.Run(o), yuccasim.Run(o)), qt.IsTrue)
}

// TestSlotLimitsHold checks at 80% load that SlotLeasing respects the slots of each
// server, up to one request that is still on its way, and of each region. RoundRobin
// has no such bound and must exceed it, or else the load would be too low to show
// anything.
func TestSlotLimitsHold(t *testing.T) {
	c := qt.New(t)
	scenarios := []yuccasim.Scenario{yuccasim.NoFault, yuccasim.SlowServer, yuccasim.FalseReports}
	for _, r := range yuccasim.Run(options(scenarios, yuccasim.SlotLeasing)) {
		c.Assert(r.MaxServerExcess <= 1, qt.IsTrue, qt.Commentf("%+v", r))
		c.Assert(r.MaxRegionExcess, qt.Equals, 0, qt.Commentf("%+v", r))
	}
	maxExcess := 0
	for _, r := range yuccasim.Run(options(scenarios, yuccasim.RoundRobin)) {
		maxExcess = max(maxExcess, r.MaxServerExcess)
	}
	c.Assert(maxExcess > 1, qt.IsTrue)
}

// TestPlacementAnswersMoreOnTime simulates peaks, slow and cold servers in regions
// of unequal size. In total, ObjectPlacement must answer at least as many requests
// on time as every other policy; without faults also in each combination.
func TestPlacementAnswersMoreOnTime(t *testing.T) {
	c := qt.New(t)
	o := yuccasim.ObjectOptions(1, 4000, 8*time.Second)
	o.Workloads = o.Workloads[:2]
	policies := yuccasim.ObjectPolicies()
	results := yuccasim.Run(o)
	total := map[string]float64{}
	for i := 0; i+len(policies) <= len(results); i += len(policies) {
		row := results[i : i+len(policies)]
		placement := row[len(row)-1]
		c.Assert(placement.Setup.Policy, qt.Equals, yuccasim.ObjectPlacement)
		for _, r := range row {
			total[r.Setup.Policy] += r.OnTimeRatio
			if r.Setup.Scenario == yuccasim.NoFault {
				c.Assert(placement.OnTimeRatio >= r.OnTimeRatio, qt.IsTrue, qt.Commentf("%v %v: %s %v, placement %v", r.Setup.Workload.Name, r.Setup.Load.Name, r.Setup.Policy, r.OnTimeRatio, placement.OnTimeRatio))
			}
		}
	}
	for policy, sum := range total {
		c.Assert(total[yuccasim.ObjectPlacement] >= sum, qt.IsTrue, qt.Commentf("%s: %v", policy, total))
	}
}

// TestPlacementOverloaded simulates 130% load and peaks of 200%, measured without
// cache hits, on servers that cache few of the objects. In each combination
// ObjectPlacement must answer at least as many requests on time as every other
// policy.
func TestPlacementOverloaded(t *testing.T) {
	o := yuccasim.ObjectOptions(1, 5000, 10*time.Second)
	o.Workloads = slices.DeleteFunc(o.Workloads, func(s yuccasim.Workload) bool { return s.Name != "few kept" })
	o.Loads = slices.DeleteFunc(o.Loads, func(l yuccasim.Load) bool { return l.Name == "80%" })
	assertPlacementBest(t, yuccasim.Run(o))
}

// TestPlacementOnSmallServers simulates servers of three slots that cache a fifth of
// the objects, under steady load, overload and peaks, with a region that needs the
// others. In each combination ObjectPlacement must answer at least as many requests
// on time as every other policy.
func TestPlacementOnSmallServers(t *testing.T) {
	o := yuccasim.SmallServerOptions(1, 3000, 10*time.Second)
	o.Scenarios = []yuccasim.Scenario{yuccasim.NoFault, yuccasim.ColdServers}
	assertPlacementBest(t, yuccasim.Run(o))
}

// TestPlacementWithFailures simulates the loss of an entry, the loss of a region and
// a server that reports false loads, under steady load and peaks. In each
// combination ObjectPlacement must answer at least as many requests on time as every
// other policy.
func TestPlacementWithFailures(t *testing.T) {
	o := yuccasim.ObjectOptions(1, 4000, 8*time.Second)
	o.Workloads = slices.DeleteFunc(o.Workloads, func(s yuccasim.Workload) bool { return s.Name != "half kept" })
	o.Scenarios = []yuccasim.Scenario{yuccasim.EntryLost, yuccasim.RegionLost, yuccasim.FalseReports}
	assertPlacementBest(t, yuccasim.Run(o))
}

// assertPlacementBest checks that in each combination ObjectPlacement, the last of
// the policies, answers at least as many requests on time as every other policy.
func assertPlacementBest(t *testing.T, results []yuccasim.Result) {
	t.Helper()
	c := qt.New(t)
	policies := len(yuccasim.ObjectPolicies())
	c.Assert(len(results) >= policies, qt.IsTrue)
	for row := range slices.Chunk(results, policies) {
		placement := row[len(row)-1]
		c.Assert(placement.Setup.Policy, qt.Equals, yuccasim.ObjectPlacement)
		for _, r := range row {
			c.Assert(placement.OnTimeRatio >= r.OnTimeRatio, qt.IsTrue, qt.Commentf("%v %v: %s %v, placement %v", r.Setup.Scenario, r.Setup.Load.Name, r.Setup.Policy, r.OnTimeRatio, placement.OnTimeRatio))
		}
	}
}
