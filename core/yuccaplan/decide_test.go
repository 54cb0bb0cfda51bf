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

const pairRules = `region a domains=a1 # t
region b domains=b1 # t
service s host=s regions=a,b # t
cap s step=10% every=1m # t
`

// pair is two regions with 24 slots each, three entries a region, and a plan in
// force for an hour.
func pair(t testing.TB, extra string) Input {
	in := Input{Now: driveStart.Add(-time.Hour), Version: 1}
	in.Rules = parsed(t, pairRules)
	var list []yuccastore.Instance
	for i := range 6 {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("e", i), Kind: yuccastore.KindEntry, Region: driveRegions[i%2]})
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: driveRegions[i%2], Slots: 8, Services: []string{"s"}})
	}
	in.View = yuccamembership.NewView(list)
	in.Last = Make(in)
	in.Last.Baselines = []Baseline{{"s", "a", 40 * time.Millisecond}, {"s", "b", 40 * time.Millisecond}}
	in.Now, in.Version, in.Rules = driveStart, 2, parsed(t, pairRules+extra)
	in.Load = pairLoad(40*time.Millisecond, 0)
	return in.acked()
}

func parsed(t testing.TB, text string) yuccarule.Rules {
	rules, faults := yuccarule.Parse("r", []byte(text))
	qt.Assert(t, faults, qt.HasLen, 0)
	return rules
}

func pairLoad(latency, age time.Duration) []Demand {
	var all []Demand
	for i := range 6 {
		all = append(all, Demand{Entry: fmt.Sprint("e", i), Service: "s", Region: driveRegions[i%2], Busy: 2, Rate: 10, Latency: latency, Age: age})
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

// movedOf is how much of the route from a region a plan moves.
func movedOf(in Input, p Plan, from string) part {
	a, _ := in.Last.Route("s", from)
	b, _ := p.Route("s", from)
	return movedBetween(a, b)
}

const shiftRule = "shift s from=a to=b share=50% # t\n"

// TestGrowthWaits checks what holds a ramp back, and that the ramp moves when
// the check for it is off.
func TestGrowthWaits(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra string
		load  []Demand
		off   options
	}{
		{"for a target slower than its baseline", "", pairLoad(60*time.Millisecond, 0), options{noLatency: true}},
		{"for a target slower than its goal", "goal s latency=45ms share=99% window=30d # t\n", pairLoad(50*time.Millisecond, 0), options{noLatency: true}},
		{"for the end of an event", "event e service=s start=2027-03-27T12:10:00Z lead=30m length=1h factor=1 # t\n", pairLoad(40*time.Millisecond, 0), options{noFreeze: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := pair(t, shiftRule+c.extra)
			qt.Assert(t, movedOf(in, Make(pair(t, shiftRule)), "a") > 0, qt.IsTrue)
			in.Load = c.load
			qt.Assert(t, movedOf(in, Make(in), "a"), qt.Equals, part(0))
			qt.Assert(t, movedOf(in, makePlan(in, c.off), "a") > 0, qt.IsTrue)
		})
	}
}

// TestOlderIsNeverBolder checks, for any two ages, that a plan from the older
// measurements moves no more, and that a planner without caution does.
func TestOlderIsNeverBolder(t *testing.T) {
	ages := rapid.Custom(func(t *rapid.T) [2]time.Duration {
		a := time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second
		return [2]time.Duration{a, a + time.Duration(rapid.IntRange(0, 100).Draw(t, "more"))*time.Second}
	})
	moved := func(t testing.TB, age time.Duration, opt options) part {
		in := pair(t, shiftRule)
		in.Load = pairLoad(40*time.Millisecond, age)
		return movedOf(in, makePlan(in, opt), "a")
	}
	rapid.Check(t, func(rt *rapid.T) {
		a := ages.Draw(rt, "ages")
		if younger, older := moved(t, a[0], options{}), moved(t, a[1], options{}); older > younger {
			rt.Fatalf("%d at age %s, %d at %s", younger, a[0], older, a[1])
		}
		if StalenessDiscount(a[0]) > StalenessDiscount(a[1]) || margin(a[0]) > margin(a[1]) {
			rt.Fatalf("caution falls from %s to %s", a[0], a[1])
		}
	})
	c := qt.New(t)
	c.Assert(moved(t, time.Minute, options{}) < moved(t, 0, options{}), qt.IsTrue)
	c.Assert(moved(t, time.Minute, options{noCaution: true}), qt.Equals, moved(t, 0, options{noCaution: true}))
	in := pair(t, shiftRule)
	in.Load = nil
	c.Assert(movedOf(in, Make(in), "a"), qt.Equals, moved(t, time.Hour, options{}))
}

// TestLostRegionIsRefused loses a region: its part is refused but for what the
// cap lets move, no budget is left there, and it comes back at once.
func TestLostRegionIsRefused(t *testing.T) {
	c := qt.New(t)
	in := pair(t, "")
	whole := in.View
	in = in.withoutServers("a")
	p := Make(in)
	r, _ := p.Route("s", "a")
	c.Assert(movedOf(in, p, "a") <= stepOf(in.Rules.ShiftLimit("s")), qt.IsTrue)
	c.Assert(r.Unroutable, qt.HasLen, 1)
	c.Assert(r.Unroutable[0].Part+r.Shares[0].Part, qt.Equals, 1.0)
	c.Assert(r.Shares[0].Part > 0 && r.Shares[0].Part <= 0.1, qt.IsTrue)
	for _, b := range p.Budgets {
		c.Assert(b.Region == "b" || b.Slots+b.Reserve == 0, qt.IsTrue)
	}
	in.Last, in.View, in.Now = p, whole, in.Now.Add(time.Second)
	back, _ := Make(in.acked()).Route("s", "a")
	c.Assert(back.Unroutable, qt.HasLen, 0)
}

// TestUnknownHistoryIsUsedUp checks that nothing moves for a window after the
// history was lost, nor after an edit to a window longer than is known.
func TestUnknownHistoryIsUsedUp(t *testing.T) {
	c := qt.New(t)
	in := pair(t, shiftRule)
	in.Last.MovesSince = in.Now.Add(-30 * time.Second)
	c.Assert(movedOf(in, Make(in), "a"), qt.Equals, part(0))
	in.Last.MovesSince = in.Now.Add(-2 * time.Minute)
	c.Assert(movedOf(in, Make(in), "a") > 0, qt.IsTrue)
	in.Rules.ShiftLimits[0].Window = time.Hour
	c.Assert(movedOf(in, Make(in), "a"), qt.Equals, part(0))
}

// TestBudgetsFollowDemand checks that the busier of two entries of a region gets
// more, that old measurements even it out, and that the sum stays.
func TestBudgetsFollowDemand(t *testing.T) {
	c := qt.New(t)
	budget := func(age time.Duration) (busy, idle int) {
		in := pair(t, "")
		in.Load = pairLoad(40*time.Millisecond, age)
		in.Load[0].Busy, in.Load[2].Busy = 14, 1
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

// TestQuietFleetKeepsItsPlan lets time pass over a fleet that has settled.
func TestQuietFleetKeepsItsPlan(t *testing.T) {
	c := qt.New(t)
	in := pair(t, shiftRule)
	changes := 0
	for range 3600 {
		p := Make(in)
		if !same(p, in.Last) && in.Now.After(driveStart.Add(30*time.Minute)) {
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

// TestPlanWithoutTimeDoesNotLapse covers a plan that every entry derives alike
// while nobody can plan.
func TestPlanWithoutTimeDoesNotLapse(t *testing.T) {
	c := qt.New(t)
	in := pair(t, "")
	in.Now, in.Last = time.Time{}, Plan{}
	p := Make(in)
	c.Assert(p.Lapsed(driveStart), qt.IsFalse)
	in.Last = p
	c.Assert(Make(in).Version, qt.Equals, p.Version)
	timed := Make(pair(t, ""))
	b, ok := timed.BudgetAt(timed.Until, "e0", "s", "a")
	c.Assert(ok, qt.IsTrue)
	c.Assert(b.Slots, qt.Equals, b.ExpiredSlots)
}

// TestPlannerThatTakesOverMakesAPlan changes the epoch and nothing else.
func TestPlannerThatTakesOverMakesAPlan(t *testing.T) {
	c := qt.New(t)
	in := pair(t, "")
	in.Last = Make(in)
	in.Epoch = in.Last.Epoch + 1
	p := Make(in)
	c.Assert([]uint64{p.Version, p.Epoch}, qt.DeepEquals, []uint64{in.Last.Version + 1, in.Epoch})
	c.Assert(same(p, in.Last), qt.IsTrue)
	in.Last = p
	c.Assert(Make(in).Version, qt.Equals, p.Version)
}
