package yuccaoverload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaoverload"
)

// busyLine returns the line of a service that has completed 100 requests a second until
// start.
func busyLine() *yuccaoverload.Line {
	var line yuccaoverload.Line
	for at := -10 * time.Second; at < 0; at += 10 * time.Millisecond {
		line.Complete(start.Add(at))
	}
	return &line
}

// TestCallersReturnOneAfterTheOther rejects 100 callers at one moment, of a service that
// completes 100 requests a second. It guards against callers who all return at one moment
// and are rejected again.
func TestCallersReturnOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	line := busyLine()
	random := rand.New(rand.NewPCG(1, 1))
	const width = 100 * time.Millisecond
	perWidth := map[time.Duration]int{}
	sum := time.Duration(0)
	for range 100 {
		wait := line.Join(start, 0, time.Minute, random.Uint64())
		perWidth[wait/width]++
		sum += wait
	}
	for at, n := range perWidth {
		c.Check(n <= 20, qt.IsTrue, qt.Commentf("%d callers return after %v", n, at*width))
	}
	c.Assert(sum > 40*time.Second && sum < 60*time.Second, qt.IsTrue, qt.Commentf("%v", sum))
}

// TestSoonestReturn guards against a caller who is sent to the end of a line that has
// passed, or back before there can be room.
func TestSoonestReturn(t *testing.T) {
	c := qt.New(t)
	line := busyLine()
	for range 50 {
		line.Join(start, 0, time.Minute, 0)
	}
	later := start.Add(time.Second)
	c.Assert(line.Join(later, 0, time.Minute, 1<<63), qt.Equals, yuccaoverload.MinReturn)
	c.Assert(line.Join(later, 300*time.Millisecond, time.Minute, 1<<63), qt.Equals, 300*time.Millisecond)
}

// TestEqualCallersReturnApart guards against two callers who are rejected at different
// entries at the same moment and return at the same moment.
func TestEqualCallersReturnApart(t *testing.T) {
	c := qt.New(t)
	first := busyLine().Join(start, time.Second, time.Minute, 1<<62)
	second := busyLine().Join(start, time.Second, time.Minute, 3<<62)
	c.Assert(second-first, qt.Equals, 250*time.Millisecond)
}

// TestReturnWithinTheTimeLeft guards against a wait for which the caller has no time: more
// than a third of what is left, or than MaxReturn.
func TestReturnWithinTheTimeLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var line yuccaoverload.Line
		at := start
		for range rapid.IntRange(1, 50).Draw(t, "callers") {
			at = at.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "completes") {
				line.Complete(at)
			}
			left := time.Duration(rapid.IntRange(0, 20000).Draw(t, "left")) * time.Millisecond
			soonest := time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "soonest")) * time.Millisecond
			wait := line.Join(at, soonest, left, rapid.Uint64().Draw(t, "random"))
			if wait <= 0 || wait > yuccaoverload.MaxReturn || left > 0 && wait > left/3+1 {
				t.Fatalf("wait %v, left %v", wait, left)
			}
		}
	})
}

// TestLongLineIsNotJoinedAtItsEnd guards against a line so long that all callers are told
// the longest wait, and against callers with little time left who shorten the line for
// those behind them.
func TestLongLineIsNotJoinedAtItsEnd(t *testing.T) {
	c := qt.New(t)
	line := busyLine()
	for range 100 {
		line.Join(start, 0, time.Minute, 1<<63)
	}
	const left = 1500 * time.Millisecond
	c.Assert(line.Join(start, 0, left, 0), qt.Equals, yuccaoverload.MinReturn)
	c.Assert(line.Join(start, 0, left, 1<<63), qt.Equals, (yuccaoverload.MinReturn+left/3)/2)
	c.Assert(line.Join(start, 0, time.Minute, 1<<63) > 800*time.Millisecond, qt.IsTrue)
}
