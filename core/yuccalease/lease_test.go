package yuccalease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccalease"
)

var zero = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }

var other = yuccalease.Record{Holder: "e2", Start: 1, Epoch: 4, Renewal: 7}

func TestTakeOver(t *testing.T) {
	tests := []struct {
		name string
		msgs []yuccalease.Message
		want uint64
	}{
		{"no object", []yuccalease.Message{yuccalease.Tick{Now: at(9), KnownEpoch: 6}, yuccalease.Read{Now: at(9)}}, 7},
		{"held by another", []yuccalease.Message{
			yuccalease.Tick{Now: at(9)}, yuccalease.Read{Now: at(9), Record: other, Tag: "1"},
			yuccalease.Tick{Now: at(14)}, yuccalease.Read{Now: at(14), Record: other, Tag: "1"},
		}, 0},
		{"lapsed", []yuccalease.Message{
			yuccalease.Tick{Now: at(9)}, yuccalease.Read{Now: at(9), Record: other, Tag: "1"},
			yuccalease.Tick{Now: at(15)}, yuccalease.Read{Now: at(15), Record: other, Tag: "1"},
		}, 5},
		{"renewed meanwhile", []yuccalease.Message{
			yuccalease.Tick{Now: at(9)}, yuccalease.Read{Now: at(9), Record: other, Tag: "1"},
			yuccalease.Tick{Now: at(12)}, yuccalease.Read{Now: at(12), Record: other, Tag: "2"},
			yuccalease.Tick{Now: at(15)}, yuccalease.Read{Now: at(15), Record: other, Tag: "2"},
		}, 0},
		{"given back", []yuccalease.Message{yuccalease.Tick{Now: at(9)}, yuccalease.Read{Now: at(9), Record: yuccalease.Record{Epoch: 4}, Tag: "1"}}, 5},
		{"later candidate waits longer", []yuccalease.Message{
			yuccalease.Tick{Now: at(9), Rank: 2}, yuccalease.Read{Now: at(9), Record: other, Tag: "1"},
			yuccalease.Tick{Now: at(15), Rank: 2}, yuccalease.Read{Now: at(15), Record: other, Tag: "1"},
		}, 0},
		{"no candidate", []yuccalease.Message{yuccalease.Tick{Now: at(9), Rank: -1}, yuccalease.Read{Now: at(9)}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := yuccalease.NewState("e1", 9)
			var c yuccalease.Command
			for _, m := range test.msgs {
				s, c = s.Step(m)
			}
			got := uint64(0)
			if c.Write != nil {
				got = c.Write.Epoch
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestHeldFromBeforeTheCall asks twice for a renewal whose first call has no
// answer, and finds that one of the two took effect.
func TestHeldFromBeforeTheCall(t *testing.T) {
	c := qt.New(t)
	s, _ := yuccalease.NewState("e1", 9).Step(yuccalease.Tick{Now: at(1)})
	s, first := s.Step(yuccalease.Read{Now: at(1)})
	s, _ = s.Step(yuccalease.Wrote{Record: *first.Write, Tag: "1", Applied: true})
	s, renewal := s.Step(yuccalease.Tick{Now: at(3)})
	s, _ = s.Step(yuccalease.Wrote{Record: *renewal.Write})
	s, again := s.Step(yuccalease.Tick{Now: at(5)})
	c.Assert(*again.Write, qt.Equals, *renewal.Write)
	tests := []struct {
		name string
		last yuccalease.Wrote
		now  time.Time
		want bool
	}{
		{"unknown, in time", yuccalease.Wrote{Record: *again.Write}, at(5.9), true},
		{"unknown, too late", yuccalease.Wrote{Record: *again.Write}, at(6), false},
		{"lost", yuccalease.Wrote{Record: *again.Write, Rejected: true}, at(5.1), false},
		{"won, counts from the first call", yuccalease.Wrote{Record: *again.Write, Tag: "2", Applied: true}, at(7.9), true},
		{"won, too late", yuccalease.Wrote{Record: *again.Write, Tag: "2", Applied: true}, at(8), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			after, _ := s.Step(test.last)
			_, held := after.Held(test.now)
			qt.Assert(t, held, qt.Equals, test.want)
		})
	}
}
