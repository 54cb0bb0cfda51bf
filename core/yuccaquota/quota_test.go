package yuccaquota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaquota"
)

// TestPartsStayWithinRate adds up the parts of all entries that hold the same list.
func TestPartsStayWithinRate(t *testing.T) {
	tests := []struct {
		entries int
		// senders is how many entries get a part of a rate by key.
		senders int
		// sum is the sum of their parts at a rate of 10.
		sum float64
	}{
		{1, 1, 6}, {2, 2, 6}, {3, 3, 6}, {7, 3, 6}, {1000, 3, 6},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.entries), func(t *testing.T) {
			c := qt.New(t)
			var names []string
			for i := range test.entries {
				names = append(names, fmt.Sprint("e", i))
			}
			senders, sum, even := 0, 0.0, 0.0
			for _, name := range names {
				d := yuccaquota.New(name, names)
				if part := d.ToSenders("i-1", 10); part > 0 {
					senders++
					sum += part
				}
				even += d.Evenly(10)
			}
			c.Assert(senders, qt.Equals, test.senders)
			c.Assert(sum > test.sum-1e-6 && sum < test.sum+1e-6, qt.IsTrue, qt.Commentf("%v", sum))
			c.Assert(even > 10-1e-6 && even < 10+1e-6, qt.IsTrue, qt.Commentf("%v", even))
		})
	}
}

// TestCandidatesShareTheRate guards against parts for entries that callers do not use, which
// would leave most of the rate of a server unused. Rates that all entries need are still
// divided among all.
func TestCandidatesShareTheRate(t *testing.T) {
	c := qt.New(t)
	var names []string
	for i := range 110 {
		names = append(names, fmt.Sprint("e", i))
	}
	for server := range 20 {
		key, sum := fmt.Sprint("i-", server), 0.0
		for _, name := range names {
			d := yuccaquota.New(name, names).WithCandidates(names[:12])
			part := d.ToSenders(key, 10)
			c.Assert(part == 0 || slices.Contains(names[:12], name), qt.IsTrue)
			sum += part
			c.Assert(d.Evenly(110), qt.Equals, 1.0)
		}
		c.Assert(sum > 6-1e-6 && sum < 6+1e-6, qt.IsTrue, qt.Commentf("%v", sum))
	}
	with := yuccaquota.New("e50", names).WithCandidates(names[:2]).With([]string{"e50"})
	c.Assert(with.ToSenders("i-1", 10) > 0, qt.IsTrue)
}

// TestUnlistedEntryHasNoPart asks for an entry that is not in its own list.
func TestUnlistedEntryHasNoPart(t *testing.T) {
	d := yuccaquota.New("e9", []string{"e1", "e2"})
	qt.Assert(t, d.ToSenders("i-1", 10), qt.Equals, 0.0)
}

// TestBucket uses a bucket of two requests a second as soon as it allows one.
func TestBucket(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	b := yuccaquota.Bucket{}.WithRate(2)
	c.Assert(b.Allows(now), qt.IsFalse)
	c.Assert(b.Wait(now), qt.Equals, 500*time.Millisecond)
	now = now.Add(500 * time.Millisecond)
	c.Assert(b.Allows(now), qt.IsTrue)
	b.Take(now)
	c.Assert(b.Allows(now.Add(499*time.Millisecond)), qt.IsFalse)
	now = now.Add(time.Hour)
	b.Take(now)
	c.Assert(b.Allows(now), qt.IsFalse, qt.Commentf("idle time adds up to one token only"))
	full := yuccaquota.Full().WithRate(2)
	c.Assert(full.Allows(now), qt.IsTrue)
	stopped := full.WithRate(0)
	c.Assert(stopped.Allows(now), qt.IsFalse)
}
