package yuccaversion_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaversion"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var start = time.Unix(1_800_000_000, 0)

// accounts is the source of a config with accounts, from a store that was never restored.
var accounts = yuccaversion.Source{Accounts: true}

// restored is the source of a config from a store that was restored.
var restored = yuccaversion.Source{Restored: true}

// TestAccepts offers version 3 to the entry e1. It guards against an older config that is
// taken at a restart, and against an entry that waits without end or without a cause.
func TestAccepts(t *testing.T) {
	list := func(names ...string) func(*yuccaversion.State) {
		return func(s *yuccaversion.State) { s.UpdateList(start, names) }
	}
	announce := func(after time.Duration, from string, version uint64) func(*yuccaversion.State) {
		return func(s *yuccaversion.State) { s.Observe(start.Add(after), from, version) }
	}
	tests := []struct {
		name   string
		source yuccaversion.Source
		after  time.Duration
		setup  []func(*yuccaversion.State)
		want   bool
	}{
		{"no accounts", yuccaversion.Source{}, 0, nil, true},
		{"no accounts, newer announced", yuccaversion.Source{}, time.Minute, []func(*yuccaversion.State){announce(time.Minute, "e2", 4)}, false},
		{"accounts, no list yet", accounts, 0, nil, false},
		{"accounts, no list in time", accounts, 1500 * time.Millisecond, nil, true},
		{"accounts, alone", accounts, 0, []func(*yuccaversion.State){list("e1")}, true},
		{"accounts, others not heard", accounts, time.Second, []func(*yuccaversion.State){list("e1", "e2", "e3"), announce(0, "e2", 3)}, false},
		{"accounts, others dead", accounts, 1500 * time.Millisecond, []func(*yuccaversion.State){list("e2", "e3"), announce(0, "e2", 3)}, true},
		{"accounts, all heard", accounts, 0, []func(*yuccaversion.State){list("e1", "e2"), announce(0, "e2", 3)}, true},
		{"accounts, all start", accounts, 0, []func(*yuccaversion.State){list("e1", "e2"), announce(0, "e2", 0)}, true},
		{"accounts, newer announced", accounts, 2 * time.Second, []func(*yuccaversion.State){list("e2"), announce(0, "e2", 4)}, false},
		{"newer announced long ago", accounts, 3 * time.Second, []func(*yuccaversion.State){list("e2"), announce(0, "e2", 4)}, true},
		{"newer announced by an entry that is not listed", accounts, 2 * time.Second, []func(*yuccaversion.State){list("e1"), announce(time.Second, "e2", 4)}, false},
		{"announcer restarted", accounts, time.Second, []func(*yuccaversion.State){list("e2"), announce(0, "e2", 4), announce(0, "e2", 0)}, true},
		{"announcer fails for a short time", accounts, 9 * time.Second, []func(*yuccaversion.State){announce(9*time.Second, "e2", 4), func(s *yuccaversion.State) { s.RecordFailure(start, "e2") }}, false},
		{"announcer fails for long", accounts, 11 * time.Second, []func(*yuccaversion.State){announce(11*time.Second, "e2", 4), func(s *yuccaversion.State) { s.RecordFailure(start, "e2") }}, true},
		{"announcer fails, then announces another", accounts, 11 * time.Second, []func(*yuccaversion.State){announce(0, "e2", 4), func(s *yuccaversion.State) { s.RecordFailure(start, "e2") }, announce(11*time.Second, "e2", 5)}, false},
		{"restored, alone", restored, 2 * time.Second, []func(*yuccaversion.State){list("e1")}, false},
		{"restored, alone for long", restored, 3 * time.Second, []func(*yuccaversion.State){list("e1")}, true},
		{"restored, all start", restored, 2 * time.Second, []func(*yuccaversion.State){list("e2"), announce(2*time.Second, "e2", 0)}, false},
		{"restored, the same announced", restored, 0, []func(*yuccaversion.State){list("e2"), announce(0, "e2", 3)}, true},
		{"running, newer announced", accounts, 0, []func(*yuccaversion.State){announce(0, "e2", 4), func(s *yuccaversion.State) { s.SetInForce(2) }}, true},
		{"running, older", accounts, 0, []func(*yuccaversion.State){func(s *yuccaversion.State) { s.SetInForce(7); s.SetInForce(4) }}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := yuccaversion.NewState("e1", start)
			for _, f := range test.setup {
				f(s)
			}
			qt.Assert(t, s.Accepts(start.Add(test.after), 3, test.source), qt.Equals, test.want)
		})
	}
}

// TestFetchFrom has others announce versions to an entry with version 3. It guards against
// a newer version that stays away, and against calls for one that is known or not
// delivered.
func TestFetchFrom(t *testing.T) {
	c := qt.New(t)
	s := yuccaversion.NewState("e1", start)
	s.SetInForce(3)
	at := start
	fetch := func(after time.Duration, known uint64) string {
		at = at.Add(after)
		name, _, _ := s.FetchFrom(at, known)
		return name
	}
	s.Observe(at, "e1", 9)
	s.Observe(at, "e2", 3)
	c.Assert(fetch(0, 0), qt.Equals, "")
	c.Assert(fetch(time.Second, 0), qt.Equals, "")
	s.Observe(at, "e3", 4)
	c.Assert(fetch(0, 0), qt.Equals, "")
	c.Assert(fetch(250*time.Millisecond, 0), qt.Equals, "e3")
	s.Observe(at, "e2", 5)
	c.Assert(fetch(0, 0), qt.Equals, "e2")
	c.Assert(fetch(0, 5), qt.Equals, "")
	c.Assert(fetch(0, 0), qt.Equals, "")
	c.Assert(fetch(250*time.Millisecond, 0), qt.Equals, "e2")
	s.RecordFailure(at, "e2")
	c.Assert(fetch(0, 0), qt.Equals, "e3")
	c.Assert(fetch(time.Second, 0), qt.Equals, "e2")
	c.Assert(fetch(5*time.Second, 0), qt.Equals, "")
}

// TestUnusableVersionIsNotFetchedFromAll guards against a version that this entry cannot
// put in force and then fetches from one entry after the other without a pause.
func TestUnusableVersionIsNotFetchedFromAll(t *testing.T) {
	c := qt.New(t)
	s := yuccaversion.NewState("e1", start)
	s.SetInForce(2)
	for _, from := range []string{"e2", "e3"} {
		s.Observe(start, from, 4)
	}
	s.FetchFrom(start, 0)
	later := start.Add(time.Second)
	_, _, ok := s.FetchFrom(later, 0)
	c.Assert(ok, qt.IsTrue)
	s.RecordUnusable(later, 4)
	_, _, ok = s.FetchFrom(later, 0)
	c.Assert(ok, qt.IsFalse)
	s.Observe(later, "e3", 5)
	s.FetchFrom(later, 0)
	_, version, ok := s.FetchFrom(later.Add(time.Second), 0)
	c.Assert(ok && version == 5, qt.IsTrue)
}

// TestBehind guards against an entry that keeps deciding although no newer version is
// announced any more, and against one that misses a newer version.
func TestBehind(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := yuccaversion.NewState("e0", now)
	s.SetInForce(5)
	s.Observe(now, "e1", 5)
	c.Assert(s.Behind(now), qt.IsFalse)
	s.Observe(now, "e1", 6)
	c.Assert(s.Behind(now), qt.IsTrue)
	_, _, ok := s.FetchFrom(now, 0)
	c.Assert(ok, qt.IsFalse)
	later := now.Add(10 * time.Second)
	c.Assert(s.Behind(later), qt.IsTrue)
	_, _, ok = s.FetchFrom(later, 0)
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.Behind(later), qt.IsFalse)
}
