package yuccaplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

const twoRegionRules = `region a domains=a1 # t
region b domains=b1 # t
service s host=s regions=a,b # t
cap s step=10% every=1m # t
`

// twoRegionFleet returns the input of a fleet with two regions, with 24 slots and
// three entries in each. The rules in extra are added to those under which its
// last plan was made an hour before.
func twoRegionFleet(t testing.TB, extra string) Input {
	in := Input{Now: scenarioStart.Add(-time.Hour), RulesVersion: 1}
	in.Rules = mustParseRules(t, twoRegionRules)
	var list []yuccastore.Instance
	for i := range 6 {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("e", i), Kind: yuccastore.KindEntry, Region: scenarioRegions[i%2]})
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: scenarioRegions[i%2], Slots: 8, Services: []string{"s"}})
	}
	in.View = yuccamembership.NewView(list)
	in.Last = Make(in)
	in.Last.Baselines = []Baseline{{"s", "a", 40 * time.Millisecond}, {"s", "b", 40 * time.Millisecond}}
	in.Now, in.RulesVersion, in.Rules = scenarioStart, 2, mustParseRules(t, twoRegionRules+extra)
	in.Demands = twoRegionLoad(40*time.Millisecond, 0)
	return in.acked()
}

func mustParseRules(t testing.TB, text string) yuccarule.Rules {
	rules, faults := yuccarule.Parse("r", []byte(text))
	qt.Assert(t, faults, qt.HasLen, 0)
	return rules
}

func twoRegionLoad(latency, age time.Duration) []Demand {
	var all []Demand
	for i := range 6 {
		all = append(all, Demand{Entry: fmt.Sprint("e", i), Service: "s", Region: scenarioRegions[i%2], InFlight: 2, Rate: 10, Latency: latency, Age: age})
	}
	return all
}

func (in Input) acked() Input {
	in.Acks = nil
	for _, e := range in.View.Entries() {
		in.Acks = append(in.Acks, Ack{Entry: e.Name, Version: in.Last.Version})
	}
	return in
}

func (in Input) withoutServers(region string) Input {
	list := append([]yuccastore.Instance{}, in.View.Entries()...)
	for _, s := range in.View.Servers() {
		if s.Region != region {
			list = append(list, s)
		}
	}
	in.View = yuccamembership.NewView(list)
	return in
}

// routeMoved returns the fraction that a plan moves of the route from a region.
func routeMoved(in Input, p Plan, from string) fraction {
	a, _ := in.Last.Route("s", from)
	b, _ := p.Route("s", from)
	return movedBetween(a, b)
}

const shiftRule = "shift s from=a to=b share=50% # t\n"

// TestRampWaits checks the conditions under which a ramp does not move, and that
// the ramp moves when the planner ignores the condition.
func TestRampWaits(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra string
		load  []Demand
		off   faultOptions
	}{
		{"for a target slower than its baseline", "", twoRegionLoad(60*time.Millisecond, 0), faultOptions{ignoreLatency: true}},
		{"for a target slower than its goal", "goal s latency=45ms share=99% window=30d # t\n", twoRegionLoad(50*time.Millisecond, 0), faultOptions{ignoreLatency: true}},
		{"for the end of an event", "event e service=s start=2027-03-27T12:10:00Z lead=30m length=1h factor=1 # t\n", twoRegionLoad(40*time.Millisecond, 0), faultOptions{ignoreFreeze: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := twoRegionFleet(t, shiftRule+c.extra)
			qt.Assert(t, routeMoved(in, Make(twoRegionFleet(t, shiftRule)), "a") > 0, qt.IsTrue)
			in.Demands = c.load
			qt.Assert(t, routeMoved(in, Make(in), "a"), qt.Equals, fraction(0))
			qt.Assert(t, routeMoved(in, makePlan(in, c.off), "a") > 0, qt.IsTrue)
		})
	}
}

// TestOlderMeasurementsNeverMoveMore checks, for any two ages, that a plan made
// from the older measurements moves no more than one made from the younger. A
// planner that ignores the age moves the same.
func TestOlderMeasurementsNeverMoveMore(t *testing.T) {
	ages := rapid.Custom(func(t *rapid.T) [2]time.Duration {
		a := time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second
		return [2]time.Duration{a, a + time.Duration(rapid.IntRange(0, 100).Draw(t, "more"))*time.Second}
	})
	moved := func(t testing.TB, age time.Duration, opt faultOptions) fraction {
		in := twoRegionFleet(t, shiftRule)
		in.Demands = twoRegionLoad(40*time.Millisecond, age)
		return routeMoved(in, makePlan(in, opt), "a")
	}
	rapid.Check(t, func(rt *rapid.T) {
		a := ages.Draw(rt, "ages")
		if younger, older := moved(t, a[0], faultOptions{}), moved(t, a[1], faultOptions{}); older > younger {
			rt.Fatalf("moved %d at age %s, but %d at age %s", younger, a[0], older, a[1])
		}
		if StalenessDiscount(a[0]) > StalenessDiscount(a[1]) || freeFraction(a[0]) > freeFraction(a[1]) {
			rt.Fatalf("discount or free fraction decreases from age %s to age %s", a[0], a[1])
		}
	})
	c := qt.New(t)
	c.Assert(moved(t, time.Minute, faultOptions{}) < moved(t, 0, faultOptions{}), qt.IsTrue)
	c.Assert(moved(t, time.Minute, faultOptions{ignoreAge: true}), qt.Equals, moved(t, 0, faultOptions{ignoreAge: true}))
	in := twoRegionFleet(t, shiftRule)
	in.Demands = nil
	c.Assert(routeMoved(in, Make(in), "a"), qt.Equals, moved(t, time.Hour, faultOptions{}))
}

// TestRouteWithoutCapacityIsUnroutable removes all servers of a region. Its share
// becomes unroutable except for the fraction that the shift limit lets move, and
// no budget remains there. When the servers return, the share is routable at once.
func TestRouteWithoutCapacityIsUnroutable(t *testing.T) {
	c := qt.New(t)
	in := twoRegionFleet(t, "")
	whole := in.View
	in = in.withoutServers("a")
	p := Make(in)
	r, _ := p.Route("s", "a")
	c.Assert(routeMoved(in, p, "a") <= rampStep(in.Rules.ShiftLimit("s")), qt.IsTrue)
	c.Assert(r.Unroutable, qt.HasLen, 1)
	c.Assert(r.Unroutable[0].Fraction+r.Shares[0].Fraction, qt.Equals, 1.0)
	c.Assert(r.Shares[0].Fraction > 0 && r.Shares[0].Fraction <= 0.1, qt.IsTrue)
	for _, b := range p.Budgets {
		c.Assert(b.Region == "b" || b.Slots+b.Reserve == 0, qt.IsTrue)
	}
	in.Last, in.View, in.Now = p, whole, in.Now.Add(time.Second)
	back, _ := Make(in.acked()).Route("s", "a")
	c.Assert(back.Unroutable, qt.HasLen, 0)
}

// TestUnknownMoveHistoryBlocksMoves checks that nothing moves for a window after
// the history of moves was lost, nor after a change of the rules to a window
// longer than the known history.
func TestUnknownMoveHistoryBlocksMoves(t *testing.T) {
	c := qt.New(t)
	in := twoRegionFleet(t, shiftRule)
	in.Last.MovesSince = in.Now.Add(-30 * time.Second)
	c.Assert(routeMoved(in, Make(in), "a"), qt.Equals, fraction(0))
	in.Last.MovesSince = in.Now.Add(-2 * time.Minute)
	c.Assert(routeMoved(in, Make(in), "a") > 0, qt.IsTrue)
	in.Rules.ShiftLimits[0].Window = time.Hour
	c.Assert(routeMoved(in, Make(in), "a"), qt.Equals, fraction(0))
}

// TestBudgetsFollowDemand checks that the busier of two entries of a region gets
// more slots, that both get the same with old measurements, and that the budgets
// add up to the capacity.
func TestBudgetsFollowDemand(t *testing.T) {
	c := qt.New(t)
	budget := func(age time.Duration) (busy, idle int) {
		in := twoRegionFleet(t, "")
		in.Demands = twoRegionLoad(40*time.Millisecond, age)
		in.Demands[0].InFlight, in.Demands[2].InFlight = 14, 1
		in.Last.Budgets = nil
		p := Make(in)
		a, _ := p.Budget("e0", "s", "a")
		b, _ := p.Budget("e2", "s", "a")
		sum := 0
		for _, b := range p.Budgets {
			if b.Region == "a" {
				sum += b.Slots + b.Reserve
			}
		}
		c.Assert(sum, qt.Equals, 24)
		return a.Slots, b.Slots
	}
	busy, idle := budget(0)
	c.Assert(busy >= 3*idle, qt.IsTrue, qt.Commentf("%d and %d", busy, idle))
	busy, idle = budget(time.Hour)
	c.Assert(busy, qt.Equals, idle)
}

// TestPlanStaysWithoutChange checks that renewals keep the decisions of a plan
// after the ramp has ended and while the input stays the same.
func TestPlanStaysWithoutChange(t *testing.T) {
	c := qt.New(t)
	in := twoRegionFleet(t, shiftRule)
	changes := 0
	for range 3600 {
		p := Make(in)
		if !sameDecisions(p, in.Last) && in.Now.After(scenarioStart.Add(30*time.Minute)) {
			changes++
		}
		in.Last, in.Now = p, in.Now.Add(time.Second)
		in = in.acked()
	}
	r, _ := in.Last.Route("s", "a")
	c.Assert(r.Shares, qt.DeepEquals, []Share{{"a", 0.5}, {"b", 0.5}})
	c.Assert(changes, qt.Equals, 0)
	c.Assert(in.Last.Ramps, qt.HasLen, 0)
}

// TestPlanWithoutTimeNeverExpires checks the plan that every entry computes for
// itself while there is no planner.
func TestPlanWithoutTimeNeverExpires(t *testing.T) {
	c := qt.New(t)
	in := twoRegionFleet(t, "")
	in.Now, in.Last = time.Time{}, Plan{}
	p := Make(in)
	c.Assert(p.Expired(scenarioStart), qt.IsFalse)
	in.Last = p
	c.Assert(Make(in).Version, qt.Equals, p.Version)
	timed := Make(twoRegionFleet(t, ""))
	b, ok := timed.BudgetAt(timed.ExpiresAt, "e0", "s", "a")
	c.Assert(ok, qt.IsTrue)
	c.Assert(b.Slots, qt.Equals, b.ExpiredSlots)
}

// TestNewEpochMakesNewPlan checks that a planner with a new epoch makes a new plan
// although nothing else has changed.
func TestNewEpochMakesNewPlan(t *testing.T) {
	c := qt.New(t)
	in := twoRegionFleet(t, "")
	in.Last = Make(in)
	in.Epoch = in.Last.Epoch + 1
	p := Make(in)
	c.Assert([]uint64{p.Version, p.Epoch}, qt.DeepEquals, []uint64{in.Last.Version + 1, in.Epoch})
	c.Assert(sameDecisions(p, in.Last), qt.IsTrue)
	in.Last = p
	c.Assert(Make(in).Version, qt.Equals, p.Version)
}
