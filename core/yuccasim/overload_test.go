package yuccasim_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccasim"
)

const (
	// maxServedGap is how much less often an urgent class may be served than a less
	// urgent one of the same service.
	maxServedGap = 0.05
	// maxValueGap is how much less of its value it may earn.
	maxValueGap = 0.15
	// minFairShare is the least that a class is served, relative to all requests.
	minFairShare = 0.25
)

// TestUrgentClassIsServedFirst simulates services with two priorities under overload, on
// noisy servers and with callers who come back. It guards against urgent requests that
// are rejected or late because less urgent ones fill the queues, and against a class that
// starves.
func TestUrgentClassIsServedFirst(t *testing.T) {
	c := qt.New(t)
	o := yuccasim.OverloadOptions(1, 7, 24*time.Second)
	o.Loads = o.Loads[1:]
	o.Workloads = o.Workloads[:3]
	results := yuccasim.Run(o)
	c.Assert(results, qt.HasLen, 6)
	for _, r := range results {
		urgent, other := r.Classes[0], r.Classes[1]
		comment := qt.Commentf("%s %s: %+v", r.Setup.Workload.Name, r.Setup.Load.Name, r.Classes)
		c.Check(urgent.ServedRatio() >= other.ServedRatio()-maxServedGap, qt.IsTrue, comment)
		c.Check(urgent.ValueRatio() >= other.ValueRatio()-maxValueGap, qt.IsTrue, comment)
		c.Check(min(urgent.ServedRatio(), other.ServedRatio()) >= minFairShare*r.All.ServedRatio(), qt.IsTrue, comment)
	}
}
