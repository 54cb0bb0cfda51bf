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
	twoRegionRules      = "region a domains=a1 # net\nregion b domains=b1 # net\nlink a b cap=1Gbit # net\nservice search host=s regions=a,b # web\n"
	twoRegionDrainRules = twoRegionRules + "drain region a # cooling\n"
	twoRegionEventRules = twoRegionDrainRules + "event fair service=search start=2030-01-01T00:00:00Z lead=30m length=1h factor=2 # web\n"
)

// newPlanEnv returns an environment whose platform has instances in two regions and
// a plan for them.
func newPlanEnv(t *testing.T) *operatorEnv {
	c := qt.New(t)
	env := newOperatorEnv(t)
	list := []yuccastore.Instance{
		{Name: "e1", Kind: yuccastore.KindEntry, Region: "a"}, {Name: "e2", Kind: yuccastore.KindEntry, Region: "b"},
		{Name: "s1", Kind: yuccastore.KindServer, Region: "a", Slots: 8, Services: []string{"search"}},
		{Name: "s2", Kind: yuccastore.KindServer, Region: "b", Slots: 8, Services: []string{"search"}},
	}
	env.platform.SetInstances(list...)
	rules, problems := yuccarule.Parse("r", []byte(twoRegionRules))
	c.Assert(problems, qt.HasLen, 0)
	in := yuccaplan.Input{Now: time.Now().Add(-time.Hour), Rules: rules, RulesVersion: 1, View: yuccamembership.NewView(list)}
	in.Demands = []yuccaplan.Demand{{Entry: "e1", Service: "search", Region: "a", InFlight: 2, Bytes: 1e6, Latency: time.Millisecond}}
	value, err := yuccaplan.Make(in).Encode()
	c.Assert(err, qt.IsNil)
	_, err = env.platform.Put(context.Background(), yuccasync.PlanKey, value, yuccastore.Cond{})
	c.Assert(err, qt.IsNil)
	env.write(t, "same.txt", twoRegionRules)
	env.write(t, "drain.txt", twoRegionDrainRules)
	env.write(t, "event.txt", twoRegionEventRules)
	return env
}

// TestPlanForecastsDrain expects the shares, the headroom and the end of a drain
// of a region.
func TestPlanForecastsDrain(t *testing.T) {
	c := qt.New(t)
	env := newPlanEnv(t)
	out, exit := env.run("plan", "@drain.txt")
	c.Assert(exit, qt.Equals, 0, qt.Commentf("%s", out))
	c.Assert(out, qt.Matches, `(?s).*search +a +a=9[0-9.]+%,b=[0-9.]+%.*`)
	c.Assert(out, qt.Matches, `(?s).*drain region a: done at .*`)
	c.Assert(out, qt.Matches, `(?s).*search +b +2\.0 +8 +6\.0.*`)
	c.Assert(out, qt.Matches, `(?s).*b +a +1\.0 +125\.0 +124\.0.*`)
}

// TestPlanJSON decodes the JSON output and checks that the command left the stored
// objects unchanged.
func TestPlanJSON(t *testing.T) {
	c := qt.New(t)
	env := newPlanEnv(t)
	before, err := env.platform.Get(context.Background(), yuccasync.PlanKey)
	c.Assert(err, qt.IsNil)
	out, exit := env.run("plan", "@event.txt", "--json", "--horizon", "24h")
	c.Assert(exit, qt.Equals, 0)
	var f yuccaplan.Forecast
	c.Assert(json.Unmarshal([]byte(out), &f), qt.IsNil)
	c.Assert(f.Settled, qt.IsTrue)
	c.Assert(f.Drains, qt.HasLen, 1)
	after, err := env.platform.Get(context.Background(), yuccasync.PlanKey)
	c.Assert(err, qt.IsNil)
	c.Assert(after.Tag, qt.Equals, before.Tag)
	page, err := env.platform.List(context.Background(), "", 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Objects, qt.HasLen, 1)
}

// TestPlanExitCodes checks the exit codes for invalid rules, a missing argument and
// an unreachable platform.
func TestPlanExitCodes(t *testing.T) {
	c := qt.New(t)
	env := newPlanEnv(t)
	_, exit := env.run("plan", "@bad.txt")
	c.Assert(exit, qt.Equals, 1)
	_, exit = env.run("plan")
	c.Assert(exit, qt.Equals, 2)
	_, exit = env.run("plan", "@good.txt", "--settings", "@unreachable.toml")
	c.Assert(exit, qt.Equals, 3)
}
