package yuccaburn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccarule"
)

var (
	noon       = time.Date(2027, 3, 27, 12, 0, 0, 0, time.UTC)
	goals      = []yuccarule.Goal{{Service: "search", Latency: 300 * time.Millisecond, Share: 99 * yuccarule.Percent, Window: 30 * 24 * time.Hour}}
	palermoKey = yuccaburn.Key{Service: "search", OriginRegion: "palermo"}
	cataniaKey = yuccaburn.Key{Service: "search", OriginRegion: "catania"}
)

// requestGroup is a number of requests with one outcome.
type requestGroup struct {
	key yuccaburn.Key
	// before is how long before noon the requests ended.
	before  time.Duration
	outcome yuccaburn.Outcome
	count   int
}

func record(w *yuccaburn.Windows, groups []requestGroup) {
	for _, g := range groups {
		for range g.count {
			w.Record(noon.Add(-g.before), g.key, g.outcome, false)
		}
	}
}

func TestReport(t *testing.T) {
	tests := []struct {
		name   string
		groups []requestGroup
		total  uint64
		spent  float64
		// hourBurn is the burn rate over one hour.
		hourBurn float64
		alert    string
		// lines is the number of budgets: one for all regions and one per region
		// with counted requests.
		lines int
	}{
		{"no traffic", nil, 0, 0, 0, "", 1},
		{"all good", []requestGroup{{palermoKey, time.Minute, yuccaburn.Good, 100}}, 100, 0, 0, "", 2},
		{"all failed", []requestGroup{{palermoKey, time.Minute, yuccaburn.Broken, 100}}, 100, 100, 100, "page", 2},
		{"budget just spent", []requestGroup{{palermoKey, 2 * time.Hour, yuccaburn.Good, 99}, {palermoKey, 2 * time.Hour, yuccaburn.Late, 1}}, 100, 1, 0, "", 2},
		{"ignored requests are not counted", []requestGroup{{palermoKey, time.Minute, yuccaburn.Ignored, 50}, {palermoKey, time.Minute, yuccaburn.Good, 50}}, 50, 0, 0, "", 2},
		{"two regions", []requestGroup{{palermoKey, 40 * time.Minute, yuccaburn.Good, 198}, {cataniaKey, 40 * time.Minute, yuccaburn.Shed, 2}}, 200, 1, 1, "", 3},
		{"older than the window", []requestGroup{{palermoKey, 31 * 24 * time.Hour, yuccaburn.Broken, 100}, {palermoKey, time.Hour * 2, yuccaburn.Good, 10}}, 10, 0, 0, "", 2},
		{"slow burn", []requestGroup{{palermoKey, time.Minute, yuccaburn.Good, 93}, {palermoKey, time.Minute, yuccaburn.Shed, 7}}, 100, 7, 7, "page", 2},
		{"ticket", []requestGroup{{palermoKey, time.Minute, yuccaburn.Good, 98}, {palermoKey, time.Minute, yuccaburn.Shed, 2}}, 100, 2, 2, "ticket", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := yuccaburn.NewWindows()
			record(w, test.groups)
			report := yuccaburn.NewReport(noon, goals, []*yuccaburn.Windows{w})
			c.Assert(report.Goals, qt.HasLen, test.lines)
			l := report.Goals[0]
			c.Assert(l.Count.Total, qt.Equals, test.total)
			c.Assert(almostEqual(l.Spent, test.spent), qt.IsTrue, qt.Commentf("spent %f", l.Spent))
			c.Assert(almostEqual(l.Left, 1-test.spent), qt.IsTrue)
			c.Assert(almostEqual(l.Rates[2].Burn, test.hourBurn), qt.IsTrue, qt.Commentf("%+v", l.Rates))
			c.Assert(l.Alert, qt.Equals, test.alert)
		})
	}
}

func almostEqual(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

func TestCountByOutcome(t *testing.T) {
	c := qt.New(t)
	w := yuccaburn.NewWindows()
	record(w, []requestGroup{{palermoKey, 0, yuccaburn.Good, 5}, {palermoKey, 0, yuccaburn.Shed, 4}, {palermoKey, 0, yuccaburn.Late, 3}, {palermoKey, 0, yuccaburn.Broken, 2}})
	w.Record(noon, palermoKey, yuccaburn.Shed, true)
	c.Assert(w.CountOver(palermoKey, noon, time.Hour), qt.Equals, yuccaburn.Count{Total: 15, Shed: 5, Late: 3, Broken: 2, Moving: 1})
}

// TestClockSetBack records a request after the clock was set back by two hours,
// and expects it among the newest ones.
func TestClockSetBack(t *testing.T) {
	c := qt.New(t)
	w := yuccaburn.NewWindows()
	w.Record(noon, palermoKey, yuccaburn.Good, false)
	w.Record(noon.Add(-2*time.Hour), palermoKey, yuccaburn.Broken, false)
	got := w.CountOver(palermoKey, noon, 5*time.Minute)
	c.Assert(got, qt.Equals, yuccaburn.Count{Total: 2, Broken: 1})
}

// TestSnapshotsAcrossRestart collects snapshots of two runs of one entry. The
// first run left no final snapshot. It expects the sum of both runs, a gap for
// the first run and one for an entry without snapshots.
func TestSnapshotsAcrossRestart(t *testing.T) {
	c := qt.New(t)
	first, second := yuccaburn.NewWindows(), yuccaburn.NewWindows()
	record(first, []requestGroup{{palermoKey, time.Hour, yuccaburn.Good, 10}})
	record(second, []requestGroup{{palermoKey, 0, yuccaburn.Good, 5}})
	set := yuccaburn.SnapshotSet{}.
		With(yuccaburn.Snapshot{Origin: "e1", Run: "1", Seq: 3, At: noon.Add(-time.Hour), Windows: first}).
		With(yuccaburn.Snapshot{Origin: "e1", Run: "2", Seq: 1, At: noon, Windows: second}).
		With(yuccaburn.Snapshot{Origin: "e1", Run: "1", Seq: 2, At: noon.Add(-2 * time.Hour), Windows: yuccaburn.NewWindows()})
	c.Assert(yuccaburn.NewReport(noon, goals, set.Windows()).Goals[0].Count.Total, qt.Equals, uint64(15))
	gaps := set.Gaps(noon, []string{"e1", "e2"}, time.Minute)
	c.Assert(gaps, qt.HasLen, 2)
	c.Assert(gaps[0].Since, qt.Equals, noon.Add(-time.Hour))
	c.Assert(gaps[1].Entry, qt.Equals, "e2")
}
