package yuccaadmission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

// spillPlan returns a plan whose requests go to region b and may spill over to
// a and c.
func spillPlan(part float64) yuccaplan.Plan {
	p := threePlan(0, 1, 0, 2)
	p.Routes[0].SpilloverRegions = []string{"a", "c"}
	p.Routes[0].SpilloverFraction = part
	return p
}

// TestReserveIsForSpilledRequests marks the servers of the region as leaving.
// Spilled requests use the budget and the reserve of another region. The others
// are refused at once, because moving them would exceed the shift limit.
func TestReserveIsForSpilledRequests(t *testing.T) {
	tests := []struct {
		name string
		down bool
		part float64
		a, b int
	}{
		{"region up, nothing may spill", false, 0, 0, 4},
		{"region up, all may spill when full", false, 1, 6, 4},
		{"region down, all may spill", true, 1, 6, 0},
		{"region down, a tenth may spill", true, 0.1, 4, 0},
		{"region down, nothing may spill", true, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core, view := threeRegions(0, 1, 0, 2)
			if test.down {
				view = view.WithLeaving("b0", "b1")
			}
			plan := spillPlan(test.part)
			plan.Routes[0].SpilloverRegions = []string{"a"}
			core.Update(plan, yuccarule.Rules{}, view)
			count := map[string]int{}
			for i := range 40 {
				a := core.Admit(yuccaadmission.Request{Now: start, Service: "s", From: "a", Random: uint64(i) << 60})
				if !a.Waiting && a.Kind == yuccaerror.None {
					count[a.Ticket.Region]++
				}
				qt.Assert(t, a.Waiting && test.down, qt.IsFalse)
			}
			qt.Assert(t, count["a"], qt.Equals, test.a)
			qt.Assert(t, count["b"], qt.Equals, test.b)
		})
	}
}

// TestSpillStaysWithinItsPart draws a random load while the region is full,
// down or back, and checks that the spilled requests stay within SpilloverFraction.
func TestSpillStaysWithinItsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := float64(rapid.IntRange(0, 30).Draw(t, "percent")) / 100
		core, whole := threeRegions(0, 1, 0, 2)
		gone := whole.WithLeaving("b0", "b1")
		core.Update(spillPlan(part), yuccarule.Rules{}, whole)
		now := start
		requests, spilled := 0, 0
		var open []yuccaadmission.Ticket
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0:
				core.Update(spillPlan(part), yuccarule.Rules{}, gone)
			case 1:
				core.Update(spillPlan(part), yuccarule.Rules{}, whole)
			case 2, 3, 4:
				if len(open) > 0 {
					core.Done(open[0], yuccaadmission.Result{Now: now})
					open = open[1:]
				}
			default:
				requests++
				a := core.Admit(yuccaadmission.Request{Now: now, Service: "s", From: "a", Random: rapid.Uint64().Draw(t, "random")})
				if a.Kind == yuccaerror.None && !a.Waiting {
					open = append(open, a.Ticket)
					spilled += countOutsideRegion(open[len(open)-1:])
				}
			}
			core.Tick(now)
			for _, cmd := range core.Commands() {
				if g, ok := cmd.(yuccaadmission.Grant); ok {
					open = append(open, g.Ticket)
					spilled += countOutsideRegion(open[len(open)-1:])
				}
			}
			if float64(spilled) > part*float64(requests)+1 {
				t.Fatalf("%d of %d requests ran outside region b, allowed is a fraction of %v", spilled, requests, part)
			}
			if outside := countOutsideRegion(open); float64(outside) > part*float64(requests)+1 {
				t.Fatalf("%d of %d requests are in flight outside region b, allowed is a fraction of %v", outside, requests, part)
			}
		}
	})
}

func countOutsideRegion(open []yuccaadmission.Ticket) int {
	n := 0
	for _, ticket := range open {
		if ticket.Region != "b" {
			n++
		}
	}
	return n
}

// TestExpiredPlanLeavesExpiredSlots checks that after the end of the plan only
// its expired slots are used.
func TestExpiredPlanLeavesExpiredSlots(t *testing.T) {
	c := qt.New(t)
	core, view := threeRegions(1, 0, 0, 0)
	plan := threePlan(1, 0, 0, 0)
	plan.ExpiresAt = start.Add(time.Minute)
	for i := range plan.Budgets {
		plan.Budgets[i].ExpiredSlots = 1
	}
	core.Update(plan, yuccarule.Rules{}, view)
	admitted := func(now time.Time, requests int) int {
		var open []yuccaadmission.Ticket
		for i := range requests {
			a := core.Admit(yuccaadmission.Request{Now: now, Service: "s", From: "a", Random: uint64(i)})
			if a.Kind == yuccaerror.None && !a.Waiting {
				open = append(open, a.Ticket)
			}
		}
		for _, ticket := range open {
			core.Done(ticket, yuccaadmission.Result{Now: now})
		}
		return len(open)
	}
	c.Assert(admitted(start, 4), qt.Equals, 4)
	c.Assert(admitted(start.Add(2*time.Minute), 10), qt.Equals, 1)
}

// TestLinkRateBoundsAdmission gives the entry 1,000 bytes a second over links
// and sends responses of 1,000 bytes.
func TestLinkRateBoundsAdmission(t *testing.T) {
	c := qt.New(t)
	core, view := threeRegions(1, 0, 0, 0)
	plan := threePlan(1, 0, 0, 0)
	for i := range plan.Budgets {
		plan.Budgets[i].Rate = 1000
	}
	core.Update(plan, yuccarule.Rules{}, view)
	answers := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		a := core.Admit(yuccaadmission.Request{Now: now, Service: "s", From: "a", Random: uint64(i)})
		if a.Kind == yuccaerror.None && !a.Waiting {
			core.Done(a.Ticket, yuccaadmission.Result{Now: now, Bytes: 1000})
			answers++
		}
	}
	c.Assert(answers >= 5 && answers <= 12, qt.IsTrue, qt.Commentf("%d answers in 10 s", answers))
}
