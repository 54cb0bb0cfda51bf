package yuccaburn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccarule"
)

var (
	noon  = time.Date(2027, 3, 27, 12, 0, 0, 0, time.UTC)
	goals = []yuccarule.Goal{{Service: "search", Latency: 300 * time.Millisecond, Share: 99 * yuccarule.Percent, Window: 30 * 24 * time.Hour}}
	here  = yuccaburn.Key{Service: "search", From: "palermo"}
	there = yuccaburn.Key{Service: "search", From: "catania"}
)

// event is a number of requests with one outcome, some time before noon.
type event struct {
	key     yuccaburn.Key
	before  time.Duration
	outcome yuccaburn.Outcome
	times   int
}

func record(w *yuccaburn.Windows, events []event) {
	for _, e := range events {
		for range e.times {
			w.Record(noon.Add(-e.before), e.key, e.outcome, false)
		}
	}
}

func TestReport(t *testing.T) {
	tests := []struct {
		name   string
		events []event
		total  uint64
		spent  float64
		// hour is the burn rate over one hour.
		hour  float64
		alert string
		lines int
	}{
		{"no traffic", nil, 0, 0, 0, "", 1},
		{"all good", []event{{here, time.Minute, yuccaburn.Good, 100}}, 100, 0, 0, "", 2},
		{"all failed", []event{{here, time.Minute, yuccaburn.Broken, 100}}, 100, 100, 100, "page", 2},
		{"budget just spent", []event{{here, 2 * time.Hour, yuccaburn.Good, 99}, {here, 2 * time.Hour, yuccaburn.Late, 1}}, 100, 1, 0, "", 2},
		{"ignored counts for nothing", []event{{here, time.Minute, yuccaburn.Ignored, 50}, {here, time.Minute, yuccaburn.Good, 50}}, 50, 0, 0, "", 2},
		{"two regions", []event{{here, 40 * time.Minute, yuccaburn.Good, 198}, {there, 40 * time.Minute, yuccaburn.Shed, 2}}, 200, 1, 1, "", 3},
		{"older than the window", []event{{here, 31 * 24 * time.Hour, yuccaburn.Broken, 100}, {here, time.Hour * 2, yuccaburn.Good, 10}}, 10, 0, 0, "", 2},
		{"slow burn", []event{{here, time.Minute, yuccaburn.Good, 93}, {here, time.Minute, yuccaburn.Shed, 7}}, 100, 7, 7, "page", 2},
		{"ticket", []event{{here, time.Minute, yuccaburn.Good, 98}, {here, time.Minute, yuccaburn.Shed, 2}}, 100, 2, 2, "ticket", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := yuccaburn.NewWindows()
			record(w, test.events)
			r := yuccaburn.NewReport(noon, goals, []*yuccaburn.Windows{w})
			c.Assert(r.Goals, qt.HasLen, test.lines)
			l := r.Goals[0]
			c.Assert(l.Count.Total, qt.Equals, test.total)
			c.Assert(near(l.Spent, test.spent), qt.IsTrue, qt.Commentf("spent %f", l.Spent))
			c.Assert(near(l.Left, 1-test.spent), qt.IsTrue)
			c.Assert(near(l.Rates[2].Burn, test.hour), qt.IsTrue, qt.Commentf("%+v", l.Rates))
			c.Assert(l.Alert, qt.Equals, test.alert)
		})
	}
}

func near(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

func TestCauses(t *testing.T) {
	c := qt.New(t)
	w := yuccaburn.NewWindows()
	record(w, []event{{here, 0, yuccaburn.Good, 5}, {here, 0, yuccaburn.Shed, 4}, {here, 0, yuccaburn.Late, 3}, {here, 0, yuccaburn.Broken, 2}})
	w.Record(noon, here, yuccaburn.Shed, true)
	c.Assert(w.CountOver(here, noon, time.Hour), qt.Equals, yuccaburn.Count{Total: 15, Shed: 5, Late: 3, Broken: 2, Moving: 1})
}

func TestClockSetBack(t *testing.T) {
	c := qt.New(t)
	w := yuccaburn.NewWindows()
	w.Record(noon, here, yuccaburn.Good, false)
	w.Record(noon.Add(-2*time.Hour), here, yuccaburn.Broken, false)
	got := w.CountOver(here, noon, 5*time.Minute)
	c.Assert(got, qt.Equals, yuccaburn.Count{Total: 2, Broken: 1})
}

// TestRestart counts in two runs of one entry, with the copy of the first run
// older than its end, and expects the sum and a gap.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	first, second := yuccaburn.NewWindows(), yuccaburn.NewWindows()
	record(first, []event{{here, time.Hour, yuccaburn.Good, 10}})
	record(second, []event{{here, 0, yuccaburn.Good, 5}})
	k := yuccaburn.SnapshotSet{}.
		With(yuccaburn.Snapshot{Origin: "e1", Run: "1", Seq: 3, At: noon.Add(-time.Hour), Windows: first}).
		With(yuccaburn.Snapshot{Origin: "e1", Run: "2", Seq: 1, At: noon, Windows: second}).
		With(yuccaburn.Snapshot{Origin: "e1", Run: "1", Seq: 2, At: noon.Add(-2 * time.Hour), Windows: yuccaburn.NewWindows()})
	c.Assert(yuccaburn.NewReport(noon, goals, k.Windows()).Goals[0].Count.Total, qt.Equals, uint64(15))
	gaps := k.Gaps(noon, []string{"e1", "e2"}, time.Minute)
	c.Assert(gaps, qt.HasLen, 2)
	c.Assert(gaps[0].Since, qt.Equals, noon.Add(-time.Hour))
	c.Assert(gaps[1].Entry, qt.Equals, "e2")
}
