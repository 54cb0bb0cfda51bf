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

func options(cases []yuccasim.Scenario, policies ...string) yuccasim.Options {
	return yuccasim.Options{
		Seed:        1,
		Deployments: yuccasim.Deployments()[:1],
		Scenarios:   cases,
		Loads:       yuccasim.Loads()[1:2],
		Policies:    policies,
		Requests:    1000,
		Length:      2 * time.Second,
	}
}

// TestRunIsRepeatable runs everything twice with one seed.
func TestRunIsRepeatable(t *testing.T) {
	o := options(yuccasim.Scenarios(), yuccasim.Policies()...)
	qt.Assert(t, slices.Equal(yuccasim.Run(o), yuccasim.Run(o)), qt.IsTrue)
}

// TestSlotsHold checks at 80% of slots that the choice stays within slots and
// regions but for what is on the way, and that round robin, which has no such
// bound, does not.
func TestSlotsHold(t *testing.T) {
	c := qt.New(t)
	cases := []yuccasim.Scenario{yuccasim.AllWell, yuccasim.Slow, yuccasim.FalseReports}
	for _, r := range yuccasim.Run(options(cases, yuccasim.SlotLeasing)) {
		c.Assert(r.MaxServerExcess <= 1, qt.IsTrue, qt.Commentf("%+v", r))
		c.Assert(r.MaxRegionExcess, qt.Equals, 0, qt.Commentf("%+v", r))
	}
	most := 0
	for _, r := range yuccasim.Run(options(cases, yuccasim.RoundRobin)) {
		most = max(most, r.MaxServerExcess)
	}
	c.Assert(most > 1, qt.IsTrue)
}

// TestPlacedServesMoreInGoal replays waves, slow servers and cold ones on regions
// of unequal size: placement by object and region serves more requests within the
// goal than every other policy does, over the settings together and, with all
// servers well, in each.
func TestPlacedServesMoreInGoal(t *testing.T) {
	c := qt.New(t)
	o := yuccasim.ObjectOptions(1, 4000, 8*time.Second)
	o.Workloads = o.Workloads[:2]
	policies := yuccasim.ObjectPolicies()
	results := yuccasim.Run(o)
	total := map[string]float64{}
	for i := 0; i+len(policies) <= len(results); i += len(policies) {
		row := results[i : i+len(policies)]
		placed := row[len(row)-1]
		c.Assert(placed.Setup.Policy, qt.Equals, yuccasim.ObjectPlacement)
		for _, r := range row {
			total[r.Setup.Policy] += r.OnTimeRatio
			if r.Setup.Scenario == yuccasim.AllWell {
				c.Assert(placed.OnTimeRatio >= r.OnTimeRatio, qt.IsTrue, qt.Commentf("%v %v: %s %v, placed %v", r.Setup.Workload.Name, r.Setup.Load.Name, r.Setup.Policy, r.OnTimeRatio, placed.OnTimeRatio))
			}
		}
	}
	for policy, sum := range total {
		c.Assert(total[yuccasim.ObjectPlacement] >= sum, qt.IsTrue, qt.Commentf("%s: %v", policy, total))
	}
}

// TestCrowdedServersKeepTheirObjects replays loads of 130% of the slots, counted
// with cold objects, and waves to 200%, on servers that keep few of them:
// placement answers more requests within the goal than every other policy.
func TestCrowdedServersKeepTheirObjects(t *testing.T) {
	o := yuccasim.ObjectOptions(1, 5000, 10*time.Second)
	o.Workloads = slices.DeleteFunc(o.Workloads, func(s yuccasim.Workload) bool { return s.Name != "few kept" })
	o.Loads = slices.DeleteFunc(o.Loads, func(l yuccasim.Load) bool { return l.Name == "80%" })
	placedIsBest(t, yuccasim.Run(o))
}

// TestPlacedOutlivesLosses loses an entry and a region, and has a server lie about
// its load, under steady loads and waves: placement answers more requests within
// the goal than every other policy.
func TestPlacedOutlivesLosses(t *testing.T) {
	o := yuccasim.ObjectOptions(1, 4000, 8*time.Second)
	o.Workloads = slices.DeleteFunc(o.Workloads, func(s yuccasim.Workload) bool { return s.Name != "half kept" })
	o.Scenarios = []yuccasim.Scenario{yuccasim.EntryGone, yuccasim.RegionLost, yuccasim.FalseReports}
	placedIsBest(t, yuccasim.Run(o))
}

// placedIsBest checks that in each setting placement, the last policy of a row,
// answers at least as many requests within the goal as every other one.
func placedIsBest(t *testing.T, results []yuccasim.Result) {
	t.Helper()
	c := qt.New(t)
	policies := len(yuccasim.ObjectPolicies())
	c.Assert(len(results) >= policies, qt.IsTrue)
	for row := range slices.Chunk(results, policies) {
		placed := row[len(row)-1]
		c.Assert(placed.Setup.Policy, qt.Equals, yuccasim.ObjectPlacement)
		for _, r := range row {
			c.Assert(placed.OnTimeRatio >= r.OnTimeRatio, qt.IsTrue, qt.Commentf("%v %v: %s %v, placed %v", r.Setup.Scenario, r.Setup.Load.Name, r.Setup.Policy, r.OnTimeRatio, placed.OnTimeRatio))
		}
	}
}
