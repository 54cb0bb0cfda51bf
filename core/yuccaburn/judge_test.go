package yuccaburn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccaerror"
)

func TestJudge(t *testing.T) {
	const goal = 300 * time.Millisecond
	tests := []struct {
		kind   yuccaerror.Kind
		status int
		took   time.Duration
		want   yuccaburn.Outcome
	}{
		{yuccaerror.None, 200, goal, yuccaburn.Good},
		{yuccaerror.None, 404, goal, yuccaburn.Good},
		{yuccaerror.None, 200, goal + 1, yuccaburn.Late},
		{yuccaerror.None, 500, 0, yuccaburn.Broken},
		{yuccaerror.Shed, 503, 0, yuccaburn.Shed},
		{yuccaerror.ExpiredAfterSend, 504, 0, yuccaburn.Late},
		{yuccaerror.Broken, 502, 0, yuccaburn.Broken},
		{yuccaerror.Malformed, 400, 0, yuccaburn.Ignored},
		{yuccaerror.Canceled, 499, 0, yuccaburn.Ignored},
	}
	for _, test := range tests {
		qt.Assert(t, yuccaburn.Classify(test.kind, test.status, test.took, goal), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestHistory(t *testing.T) {
	c := qt.New(t)
	w := yuccaburn.NewWindows()
	record(w, []event{{here, 3 * time.Minute, yuccaburn.Good, 198}, {here, 2 * time.Minute, yuccaburn.Late, 1}, {there, time.Minute, yuccaburn.Shed, 1}})
	points := yuccaburn.History(noon, goals[0], []*yuccaburn.Windows{w}, 5*time.Minute)
	c.Assert(points, qt.HasLen, 30)
	c.Assert(near(points[10].Spent, 0), qt.IsTrue)
	c.Assert(near(points[20].Spent, 0.5), qt.IsTrue, qt.Commentf("%v", points))
	c.Assert(near(points[29].Spent, 1), qt.IsTrue)
	c.Assert(points[29].At, qt.Equals, noon.Add(10*time.Second))
}
