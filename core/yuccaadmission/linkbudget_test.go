package yuccaadmission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestLinkStaysInsideItsRate sends whatever is admitted and counts the bytes.
// The total may exceed the rate by the burst and by one response, whose length
// is not known when it is admitted.
func TestLinkStaysInsideItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1_000, 1_000_000).Draw(t, "rate"))
		longest := int64(rapid.IntRange(1, 100_000).Draw(t, "longest"))
		start := time.Unix(1000, 0)
		now := start
		var l linkBudget
		l.set(rate, now)
		total := 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if !l.admits(now) {
				continue
			}
			booked := l.reserve()
			bytes := rapid.Int64Range(0, longest).Draw(t, "bytes")
			l.settle(booked, bytes)
			total += float64(bytes)
			limit := rate*(now.Sub(start)+linkBurstTime).Seconds() + float64(longest)
			if total > limit+1 {
				t.Fatalf("%.0f bytes after %s at %.0f bytes a second", total, now.Sub(start), rate)
			}
		}
	})
}

func TestLinkWithoutRateAdmits(t *testing.T) {
	c := qt.New(t)
	var l linkBudget
	l.settle(l.reserve(), 1<<40)
	c.Assert(l.admits(time.Unix(1, 0)), qt.IsTrue)
}
