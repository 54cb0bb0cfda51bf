package yuccacapacity_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccacapacity"
)

// meterRun feeds a meter with counters at an interval of half a second.
type meterRun struct {
	meter *yuccacapacity.Meter
	now   time.Time
	total yuccacapacity.Totals
}

func newMeterRun(c yuccacapacity.Capacity) *meterRun {
	r := &meterRun{now: time.Unix(1_800_000_000, 0)}
	r.meter = yuccacapacity.NewMeter(c, r.now, r.total)
	return r
}

// run counts the given rate, processor time and response length per second, and returns the
// utilization at the end.
func (r *meterRun) run(d time.Duration, rate uint64, cores float64, bytes uint64) yuccacapacity.Utilization {
	var u yuccacapacity.Utilization
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(500 * time.Millisecond)
		r.total.Requests += rate / 2
		r.total.Processor += time.Duration(cores * float64(500*time.Millisecond))
		r.total.Bytes += bytes / 2
		u = r.meter.Update(r.now, r.total)
	}
	return u
}

// TestMeterSeparatesIdleWork guards against requests that seem to cost what heartbeats and
// the store take: an entry without callers would count as loaded.
func TestMeterSeparatesIdleWork(t *testing.T) {
	c := qt.New(t)
	r := newMeterRun(smallCapacity)
	u := r.run(20*time.Second, 0, 0.03, 0)
	c.Assert(u.Rate, qt.Equals, 0.0)
	c.Assert(u.Cores < 0.005, qt.IsTrue, qt.Commentf("%v", u))
	u = r.run(5*time.Second, 20, 0.05, 20_000)
	c.Assert(math.Abs(u.Rate-20) < 1 && math.Abs(u.Cores-0.02) < 0.005 && math.Abs(u.Megabits-0.16) < 0.01, qt.IsTrue, qt.Commentf("%v", u))
}

// TestMeterForgetsTheStart guards against the work of a start that hides what the requests
// cost, on an entry that has callers from then on.
func TestMeterForgetsTheStart(t *testing.T) {
	c := qt.New(t)
	r := newMeterRun(largeCapacity)
	r.run(time.Second, 0, 0.8, 0)
	u := r.run(20*time.Second, 100, 0.12, 0)
	c.Assert(u.Cores > 0.11, qt.IsTrue, qt.Commentf("%v", u))
}

// TestMeterShowsSurge has the demand grow to the two and a half fold: the other entries see
// most of that within a second.
func TestMeterShowsSurge(t *testing.T) {
	c := qt.New(t)
	r := newMeterRun(largeCapacity)
	r.run(10*time.Second, 100, 0.1, 0)
	u := r.run(time.Second, 250, 0.25, 0)
	c.Assert(u.Rate > 190, qt.IsTrue, qt.Commentf("%v", u))
}

// TestSaturation lists loads of an entry and whether it reports to be saturated after them.
func TestSaturation(t *testing.T) {
	tests := []struct {
		name     string
		capacity yuccacapacity.Capacity
		replay   func(r *meterRun) yuccacapacity.Utilization
		want     bool
	}{
		{"half of the processor", smallCapacity, func(r *meterRun) yuccacapacity.Utilization {
			return r.run(10*time.Second, 50, 0.056, 0)
		}, false},
		{"all of the processor", smallCapacity, func(r *meterRun) yuccacapacity.Utilization {
			return r.run(10*time.Second, 100, 0.112, 0)
		}, true},
		{"all of the link", smallCapacity, func(r *meterRun) yuccacapacity.Utilization {
			return r.run(10*time.Second, 20, 0.02, 10e6/8)
		}, true},
		{"link without a known bound", yuccacapacity.Capacity{Cores: 1}, func(r *meterRun) yuccacapacity.Utilization {
			return r.run(10*time.Second, 20, 0.02, 10e6)
		}, false},
		{"unknown capacity", yuccacapacity.Capacity{}, func(r *meterRun) yuccacapacity.Utilization {
			return r.run(10*time.Second, 100, 4, 0)
		}, false},
		{"relieved a moment ago", smallCapacity, func(r *meterRun) yuccacapacity.Utilization {
			r.run(10*time.Second, 100, 0.112, 0)
			return r.run(3*time.Second, 10, 0.02, 0)
		}, true},
		{"relieved", smallCapacity, func(r *meterRun) yuccacapacity.Utilization {
			r.run(10*time.Second, 100, 0.112, 0)
			return r.run(8*time.Second, 10, 0.02, 0)
		}, false},
		{"still busy", smallCapacity, func(r *meterRun) yuccacapacity.Utilization {
			r.run(10*time.Second, 100, 0.112, 0)
			return r.run(20*time.Second, 70, 0.08, 0)
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.replay(newMeterRun(test.capacity)).Saturated, qt.Equals, test.want)
		})
	}
}
