package yuccanotice_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccanotice"
)

var start = time.Unix(1_800_000_000, 0)

var limited = yuccaadmission.Report{Limited: true, RateLimit: 3}

// TestBoardKeepsNewestNotice merges notices of others in any order of arrival.
func TestBoardKeepsNewestNotice(t *testing.T) {
	tests := []struct {
		name string
		// own is the report of a response that the entry got at start; nil means none.
		own   *yuccaadmission.Report
		at    time.Duration
		other yuccabalancer.Notice
		// newer and changed are the expected results of Merge.
		newer, changed bool
	}{
		{"first notice", nil, 0, yuccabalancer.Notice{Run: 1, Limited: true, Limit: 3}, true, true},
		{"the same later", &limited, time.Second, yuccabalancer.Notice{Run: 1, Limited: true, Limit: 3}, true, false},
		{"another limit later", &limited, time.Second, yuccabalancer.Notice{Run: 1, Limited: true, Limit: 4}, true, true},
		{"lifted later", &limited, time.Second, yuccabalancer.Notice{Run: 1}, true, true},
		{"lifted before", &limited, -time.Second, yuccabalancer.Notice{Run: 1}, false, false},
		{"nothing to lift", nil, 0, yuccabalancer.Notice{Run: 1}, true, false},
		{"about to exit", &limited, time.Second, yuccabalancer.Notice{Run: 1, Limited: true, Limit: 3, Leaving: true}, true, true},
		{"of a run before, later", &limited, time.Second, yuccabalancer.Notice{Run: 0, Leaving: true}, false, false},
		{"of a later run, before", &limited, -time.Second, yuccabalancer.Notice{Run: 2}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := yuccanotice.NewBoard()
			if test.own != nil {
				b.Observe(start, "i-1", 1, *test.own)
			}
			test.other.At = start.Add(test.at)
			_, newer, changed := b.Merge("i-1", test.other)
			c.Assert(newer, qt.Equals, test.newer)
			c.Assert(changed, qt.Equals, test.changed)
		})
	}
}

// TestOnlyTheNewestObserverTells checks that an entry stops to tell the others of a
// server when another one has newer news.
func TestOnlyTheNewestObserverTells(t *testing.T) {
	c := qt.New(t)
	b := yuccanotice.NewBoard()
	_, changed := b.Observe(start, "i-1", 1, limited)
	c.Assert(changed, qt.IsTrue)
	_, changed = b.Observe(start.Add(time.Second), "i-1", 1, limited)
	c.Assert(changed, qt.IsFalse)
	c.Assert(len(b.Own()), qt.Equals, 1)
	b.Merge("i-1", yuccabalancer.Notice{At: start.Add(2 * time.Second), Run: 1, Limited: true, Limit: 3})
	c.Assert(len(b.Own()), qt.Equals, 0)
}

// TestBoardIsBounded fills a board, and prunes it.
func TestBoardIsBounded(t *testing.T) {
	const servers = 10_000
	c := qt.New(t)
	b := yuccanotice.NewBoard()
	for i := range servers {
		b.Observe(start, fmt.Sprint("i-", i), 1, limited)
	}
	c.Assert(b.Len() < servers, qt.IsTrue)
	gone := b.Prune(start.Add(time.Minute), func(server string) bool { return server == "i-1" })
	c.Assert(b.Len(), qt.Equals, 1)
	c.Assert(len(gone) > 0, qt.IsTrue)
	b.Observe(start.Add(time.Minute), "i-1", 1, yuccaadmission.Report{})
	b.Prune(start.Add(time.Minute), func(string) bool { return true })
	c.Assert(b.Len(), qt.Equals, 1, qt.Commentf("a lifted limit is remembered for a while"))
	b.Prune(start.Add(2*time.Minute), func(string) bool { return true })
	c.Assert(b.Len(), qt.Equals, 0)
}

// TestUnreadableReportKeepsLimit has a server name a limit that cannot be read, after one
// that could.
func TestUnreadableReportKeepsLimit(t *testing.T) {
	c := qt.New(t)
	b := yuccanotice.NewBoard()
	b.Observe(start, "i-1", 1, limited)
	n, changed := b.Observe(start.Add(time.Second), "i-1", 1, yuccaadmission.Report{Invalid: "limit"})
	c.Assert(changed, qt.IsFalse)
	c.Assert(n.Limited, qt.IsTrue)
	c.Assert(n.Limit, qt.Equals, limited.RateLimit)
}

// TestLeavingStays has a server say that it is about to exit, and then a response arrive
// that it sent before. Only a later run of the server takes it back.
func TestLeavingStays(t *testing.T) {
	c := qt.New(t)
	b := yuccanotice.NewBoard()
	b.Observe(start, "i-1", 1, yuccaadmission.Report{Leaving: true})
	n, changed := b.Observe(start.Add(time.Millisecond), "i-1", 1, yuccaadmission.Report{})
	c.Assert(changed, qt.IsFalse)
	c.Assert(n.Leaving, qt.IsTrue)
	_, _, changed = b.Merge("i-1", yuccabalancer.Notice{At: start.Add(time.Second), Run: 1})
	c.Assert(changed, qt.IsFalse)
	n, changed = b.Observe(start.Add(2*time.Second), "i-1", 2, yuccaadmission.Report{})
	c.Assert(changed, qt.IsTrue)
	c.Assert(n.Leaving, qt.IsFalse)
}

// TestLateReportOfEarlierRunChangesNothing guards against a leaving server that gets
// requests again because a response of its run before arrives late.
func TestLateReportOfEarlierRunChangesNothing(t *testing.T) {
	c := qt.New(t)
	b := yuccanotice.NewBoard()
	said, _ := b.Observe(start, "i-1", 8, yuccaadmission.Report{Leaving: true})
	n, changed := b.Observe(start.Add(time.Second), "i-1", 7, yuccaadmission.Report{})
	c.Assert(n, qt.Equals, said)
	c.Assert(changed, qt.IsFalse)
}
