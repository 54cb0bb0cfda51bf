package yuccaburn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaburn"
)

// TestHistory expects the spent part of the budget to rise with each bad request
// of any region. The budget of 200 requests at 99% is two bad requests.
func TestHistory(t *testing.T) {
	c := qt.New(t)
	w := yuccaburn.NewWindows()
	record(w, []requestGroup{{palermoKey, 3 * time.Minute, yuccaburn.Good, 198}, {palermoKey, 2 * time.Minute, yuccaburn.Late, 1}, {cataniaKey, time.Minute, yuccaburn.Shed, 1}})
	points := yuccaburn.History(noon, goals[0], []*yuccaburn.Windows{w}, 5*time.Minute)
	c.Assert(points, qt.HasLen, 30)
	c.Assert(almostEqual(points[10].Spent, 0), qt.IsTrue)
	c.Assert(almostEqual(points[20].Spent, 0.5), qt.IsTrue, qt.Commentf("%v", points))
	c.Assert(almostEqual(points[29].Spent, 1), qt.IsTrue)
	c.Assert(points[29].At, qt.Equals, noon.Add(10*time.Second))
}

// TestHistoryPointsCoverTheirSteps records a bad request on each of several days: the
// point at which the spent part rises covers the time of the request.
func TestHistoryPointsCoverTheirSteps(t *testing.T) {
	for days := range 6 {
		c := qt.New(t)
		at := noon.Add(-time.Duration(30+days) * 24 * time.Hour)
		w := yuccaburn.NewWindows()
		w.Record(at, palermoKey, yuccaburn.Late, false)
		points := yuccaburn.History(noon, goals[0], []*yuccaburn.Windows{w}, 60*24*time.Hour)
		step := points[1].At.Sub(points[0].At)
		for _, p := range points {
			if p.Spent > 0 {
				c.Check(at.Before(p.At) && !at.Before(p.At.Add(-step)), qt.IsTrue, qt.Commentf("recorded at %v, shown in the %v before %v", at, step, p.At))
				break
			}
		}
	}
}
