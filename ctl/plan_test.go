package main

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

const (
	planRules = "region a domains=a1 # net\nregion b domains=b1 # net\nlink a b cap=1Gbit # net\nservice search host=s regions=a,b # web\n"
	planDrain = planRules + "drain region a # cooling\n"
	planEvent = planDrain + "event fair service=search start=2030-01-01T00:00:00Z lead=30m length=1h factor=2 # web\n"
)

// planned returns a desk whose platform holds a fleet and its plan.
func planned(t *testing.T) *desk {
	c := qt.New(t)
	d := newDesk(t)
	list := []yuccastore.Instance{
		{Name: "e1", Kind: yuccastore.KindEntry, Region: "a"}, {Name: "e2", Kind: yuccastore.KindEntry, Region: "b"},
		{Name: "s1", Kind: yuccastore.KindServer, Region: "a", Slots: 8, Services: []string{"search"}},
		{Name: "s2", Kind: yuccastore.KindServer, Region: "b", Slots: 8, Services: []string{"search"}},
	}
	d.platform.SetInstances(list...)
	rules, faults := yuccarule.Parse("r", []byte(planRules))
	c.Assert(faults, qt.HasLen, 0)
	in := yuccaplan.Input{Now: time.Now().Add(-time.Hour), Rules: rules, Version: 1, View: yuccamembership.NewView(list)}
	in.Load = []yuccaplan.Demand{{Entry: "e1", Service: "search", Region: "a", Busy: 2, Bytes: 1e6, Latency: time.Millisecond}}
	value, err := yuccaplan.Make(in).Encode()
	c.Assert(err, qt.IsNil)
	_, err = d.platform.Put(context.Background(), yuccasync.PlanKey, value, yuccastore.Cond{})
	c.Assert(err, qt.IsNil)
	d.write(t, "same.txt", planRules)
	d.write(t, "drain.txt", planDrain)
	d.write(t, "event.txt", planEvent)
	return d
}

// TestPlanShowsADrain runs the command for a drain of a region.
func TestPlanShowsADrain(t *testing.T) {
	c := qt.New(t)
	d := planned(t)
	out, exit := d.run("plan", "@drain.txt")
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Matches, `(?s).*search +a +a=9[0-9.]+%,b=[0-9.]+%.*`)
	c.Assert(out, qt.Matches, `(?s).*drain region a: done at .*`)
	c.Assert(out, qt.Matches, `(?s).*search +b +2\.0 +8 +6\.0.*`)
	c.Assert(out, qt.Matches, `(?s).*b +a +1\.0 +125\.0 +124\.0.*`)
}

// TestPlanAsJSON reads what the command prints for scripts, and checks that it
// wrote nothing.
func TestPlanAsJSON(t *testing.T) {
	c := qt.New(t)
	d := planned(t)
	before, err := d.platform.Get(context.Background(), yuccasync.PlanKey)
	c.Assert(err, qt.IsNil)
	out, exit := d.run("plan", "@event.txt", "--json", "--horizon", "24h")
	c.Assert(exit, qt.Equals, 0)
	var f yuccaplan.Forecast
	c.Assert(json.Unmarshal([]byte(out), &f), qt.IsNil)
	c.Assert(f.Ended, qt.IsTrue)
	c.Assert(f.Drains, qt.HasLen, 1)
	after, err := d.platform.Get(context.Background(), yuccasync.PlanKey)
	c.Assert(err, qt.IsNil)
	c.Assert(after.Tag, qt.Equals, before.Tag)
	page, err := d.platform.List(context.Background(), "", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Objects, qt.HasLen, 1)
}

func TestPlanRefuses(t *testing.T) {
	c := qt.New(t)
	d := planned(t)
	_, exit := d.run("plan", "@bad.txt")
	c.Assert(exit, qt.Equals, 1)
	_, exit = d.run("plan")
	c.Assert(exit, qt.Equals, 2)
	_, exit = d.run("plan", "@good.txt", "--settings", "@lost.toml")
	c.Assert(exit, qt.Equals, 3)
}
