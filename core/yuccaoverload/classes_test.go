package yuccaoverload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaoverload"
)

var start = time.Unix(1_800_000_000, 0)

// traffic is the load of one class on a queue that is first come, first served.
type traffic struct {
	priority int
	// rate is the load as a part of what the queue completes.
	rate float64
	// own is how long a request may wait on its own account, and slack how long it may
	// wait to be in time.
	own, slack time.Duration
}

// replay sends the traffic for a minute to a queue that completes 100 requests a second,
// and returns the part of each class that was placed after the first ten seconds.
func replay(loads []traffic) []float64 {
	const step, capacity = 10 * time.Millisecond, 100.0
	var classes yuccaoverload.Classes
	queue := 0.0
	due, placed, arrived := make([]float64, len(loads)), make([]float64, len(loads)), make([]float64, len(loads))
	for at := time.Duration(0); at < time.Minute; at += step {
		queue = max(0, queue-capacity*step.Seconds())
		for i, l := range loads {
			for due[i] += l.rate * capacity * step.Seconds(); due[i] >= 1; due[i]-- {
				wait := time.Duration(queue / capacity * float64(time.Second))
				ok := wait <= classes.MaxWait(l.priority, l.own)
				classes.Add(start.Add(at), l.priority, ok, l.slack)
				if ok {
					queue++
				}
				if at > 10*time.Second {
					arrived[i]++
					if ok {
						placed[i]++
					}
				}
			}
		}
	}
	for i := range placed {
		placed[i] /= arrived[i]
	}
	return placed
}

// TestUrgentRequestsArePlacedFirst replays overload in which the less urgent requests may
// wait for longer on their own account. It guards against a queue that they fill, so that
// the urgent ones are rejected, and against the starvation of the less urgent ones when
// the urgent ones alone are too many.
func TestUrgentRequestsArePlacedFirst(t *testing.T) {
	const short, long = 200 * time.Millisecond, 1500 * time.Millisecond
	tests := []struct {
		name       string
		less, more float64
		minUrgent  float64
	}{
		{"urgent ones fit", 0.8, 0.7, 0.99},
		{"urgent ones nearly fit", 0.6, 0.95, 0.75},
		{"urgent ones alone are too many", 0.4, 1.5, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			placed := replay([]traffic{{2, test.less, long, long}, {1, test.more, short, short}})
			all := (placed[0]*test.less + placed[1]*test.more) / (test.less + test.more)
			c.Assert(placed[1] >= test.minUrgent, qt.IsTrue, qt.Commentf("%v", placed))
			c.Assert(placed[1] >= placed[0]-0.05, qt.IsTrue, qt.Commentf("%v", placed))
			c.Assert(placed[0] >= all/4, qt.IsTrue, qt.Commentf("%v", placed))
		})
	}
}

// TestOnePriorityIsNotRestricted guards against a change for services whose requests are
// of one priority, at any sequence of results.
func TestOnePriorityIsNotRestricted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var classes yuccaoverload.Classes
		at := start
		for range rapid.IntRange(0, 30).Draw(t, "requests") {
			at = at.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			own := time.Duration(rapid.IntRange(0, 1000).Draw(t, "own"))
			if got := classes.MaxWait(3, own); got != own {
				t.Fatalf("%v, want %v", got, own)
			}
			classes.Add(at, 3, rapid.Bool().Draw(t, "placed"), -own)
		}
	})
}

// TestGoneClassIsForgotten guards against a limit for less urgent requests that stays
// after the last urgent one.
func TestGoneClassIsForgotten(t *testing.T) {
	c := qt.New(t)
	var classes yuccaoverload.Classes
	classes.Add(start, 0, true, 100*time.Millisecond)
	classes.Add(start, 5, true, time.Second)
	c.Assert(classes.MaxWait(5, time.Second), qt.Equals, 50*time.Millisecond)
	c.Assert(classes.MaxWait(0, time.Second), qt.Equals, time.Second)
	classes.Add(start.Add(time.Minute), 5, true, time.Second)
	c.Assert(classes.MaxWait(5, time.Second), qt.Equals, time.Second)
}

// TestLessUrgentClassDoesNotRestrict guards against a limit that comes from a class that
// is less urgent than the request.
func TestLessUrgentClassDoesNotRestrict(t *testing.T) {
	c := qt.New(t)
	var classes yuccaoverload.Classes
	classes.Add(start, 0, true, time.Second)
	classes.Add(start, 5, true, time.Second)
	classes.Add(start, 9, true, 0)
	c.Assert(classes.MaxWait(5, time.Second), qt.Equals, 500*time.Millisecond)
}
