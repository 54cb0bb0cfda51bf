package yuccaplan_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

const archiveRules = `region palermo domains=p # t
region catania domains=c # t
region agrigento domains=a # t
link palermo catania cap=4Gbit # t
link palermo agrigento cap=4Gbit # t
link catania agrigento cap=4Gbit # t
service recordings host=r regions=palermo,catania,agrigento # t
cap recordings step=10% every=1m # t
`

var noon = time.Date(2027, 3, 27, 12, 0, 0, 0, time.UTC)

// archiveFleet returns the input of a fleet of 7 entries and 12 servers with 3
// slots each, with a plan that is an hour old and a load of 3 requests in flight
// per region. The rules in extra are added to those of the last plan.
func archiveFleet(c testing.TB, extra string) yuccaplan.Input {
	in := yuccaplan.Input{Now: noon.Add(-time.Hour), Rules: parse(c, archiveRules), RulesVersion: 1, View: yuccamembership.NewView(archiveInstances())}
	in.Last = yuccaplan.Make(in)
	in.Now, in.Rules, in.RulesVersion = noon, parse(c, archiveRules+extra), 2
	in.Demands = archiveLoad(3)
	for _, e := range in.View.Entries() {
		in.Acks = append(in.Acks, yuccaplan.Ack{Entry: e.Name, Version: in.Last.Version})
	}
	return in
}

func parse(c testing.TB, text string) yuccarule.Rules {
	rules, faults := yuccarule.Parse("r", []byte(text))
	qt.Assert(c, faults, qt.HasLen, 0)
	return rules
}

func archiveInstances() []yuccastore.Instance {
	regions := []string{"palermo", "catania", "agrigento"}
	var list []yuccastore.Instance
	for i := range 7 {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("e", i), Kind: yuccastore.KindEntry, Region: regions[i%3]})
	}
	for i := range 12 {
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: regions[i%3], Slots: 3, Services: []string{"recordings"}})
	}
	return list
}

func archiveLoad(busy float64) []yuccaplan.Demand {
	var all []yuccaplan.Demand
	for i, r := range []string{"palermo", "catania", "agrigento"} {
		all = append(all, yuccaplan.Demand{Entry: fmt.Sprint("e", i), Service: "recordings", Region: r, InFlight: busy, Bytes: busy * 1e6, Latency: 50 * time.Millisecond})
	}
	return all
}

func causes(f yuccaplan.Forecast) []yuccaplan.Cause {
	var all []yuccaplan.Cause
	for _, w := range f.Warnings {
		all = append(all, w.Cause)
	}
	return all
}

// TestDrainDuration drains a region at 7.5% per minute: a quarter of the shift
// limit of 10% is left for spillover.
func TestDrainDuration(t *testing.T) {
	c := qt.New(t)
	f := yuccaplan.Simulate(archiveFleet(t, "drain region catania # t\n"), time.Hour)
	c.Assert(f.Settled, qt.IsTrue)
	c.Assert(causes(f), qt.HasLen, 0)
	c.Assert(f.Drains, qt.HasLen, 1)
	took := f.Drains[0].End.Sub(noon)
	c.Assert(took > 10*time.Minute && took < 30*time.Minute, qt.IsTrue, qt.Commentf("%s", took))
	c.Logf("drain of a region at 10%% a minute takes %s in %d steps", took, len(f.Steps))
}

// TestRampFrozenByEventIsReported checks the warning for a drain that an event
// freezes, and that nothing moves during the freeze.
func TestRampFrozenByEventIsReported(t *testing.T) {
	c := qt.New(t)
	f := yuccaplan.Simulate(archiveFleet(t, "drain region catania # t\nevent vigil service=recordings start=2027-03-27T13:00:00Z lead=52m length=1h factor=1 # t\n"), 6*time.Hour)
	c.Assert(causes(f), qt.Contains, yuccaplan.CauseRampFrozen)
	w := f.Warnings[slices.Index(causes(f), yuccaplan.CauseRampFrozen)]
	c.Assert(w.Event, qt.Equals, "vigil")
	c.Assert(w.At, qt.Equals, noon.Add(8*time.Minute))
	c.Assert(w.Need > w.Have, qt.IsTrue)
	c.Log(w.Text)
	for _, s := range f.Steps[1:] {
		frozen := !s.At.Before(noon.Add(8*time.Minute)) && s.At.Before(noon.Add(2*time.Hour))
		c.Assert(frozen, qt.IsFalse, qt.Commentf("a move at %s", s.At))
	}
	c.Assert(f.Drains[0].End.After(noon.Add(2*time.Hour)), qt.IsTrue)
}

// TestTrafficMovesBeforePeak checks that the traffic of a peak that exceeds a
// region's capacity moves to other regions before the event freezes all moves,
// and moves back after the event.
func TestTrafficMovesBeforePeak(t *testing.T) {
	c := qt.New(t)
	in := archiveFleet(t, "event vigil service=recordings start=2027-03-27T14:00:00Z lead=30m length=1h factor=6 # t\n")
	in.Demands[1].InFlight, in.Demands[2].InFlight = 0.2, 0.2
	f := yuccaplan.Simulate(in, 12*time.Hour)
	at := noon.Add(90 * time.Minute)
	share := 1.0
	for _, s := range f.Steps {
		for _, r := range s.Routes {
			if r.From == "palermo" && s.At.Before(at) {
				share = r.Shares[slices.IndexFunc(r.Shares, func(s yuccaplan.Share) bool { return s.Region == "palermo" })].Fraction
			}
		}
	}
	c.Assert(3*6*share <= 12, qt.IsTrue, qt.Commentf("palermo keeps %f", share))
	c.Assert(causes(f), qt.Not(qt.Contains), yuccaplan.CauseRampFrozen)
	last := f.Steps[len(f.Steps)-1].Routes
	c.Assert(last[len(last)-1].Shares, qt.DeepEquals, []yuccaplan.Share{{Region: "palermo", Fraction: 1}})
}

// TestRegionOverloadIsReported checks the warning for a peak that exceeds the
// capacity of all regions.
func TestRegionOverloadIsReported(t *testing.T) {
	c := qt.New(t)
	f := yuccaplan.Simulate(archiveFleet(t, "event vigil service=recordings start=2027-03-27T14:00:00Z lead=30m length=1h factor=6 # t\n"), 12*time.Hour)
	c.Assert(causes(f), qt.Contains, yuccaplan.CauseRegionOverload)
	w := f.Warnings[slices.Index(causes(f), yuccaplan.CauseRegionOverload)]
	c.Assert([]float64{w.Need, w.Have}, qt.DeepEquals, []float64{18, 12})
}

// TestSimulateKeepsInput checks that Simulate does not change its input and
// returns the same forecast for the same input.
func TestSimulateKeepsInput(t *testing.T) {
	c := qt.New(t)
	in := archiveFleet(t, "drain region catania # t\n")
	before, _ := json.Marshal(in)
	first := yuccaplan.Simulate(in, time.Hour)
	c.Assert(yuccaplan.Simulate(in, time.Hour), qt.DeepEquals, first)
	after, _ := json.Marshal(in)
	c.Assert(string(after), qt.Equals, string(before))
}
