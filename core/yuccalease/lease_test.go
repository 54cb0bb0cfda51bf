package yuccalease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccalease"
)

var startTime = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

var otherRecord = yuccalease.Record{Holder: "e2", Incarnation: 1, Epoch: 4, Renewal: 7}

func TestTakeover(t *testing.T) {
	tests := []struct {
		name string
		msgs []yuccalease.Message
		want uint64
	}{
		{"no object", []yuccalease.Message{yuccalease.Tick{Now: at(9), KnownEpoch: 6}, yuccalease.ReadResult{Now: at(9)}}, 7},
		{"held by another", []yuccalease.Message{
			yuccalease.Tick{Now: at(9)}, yuccalease.ReadResult{Now: at(9), Record: otherRecord, Tag: "1"},
			yuccalease.Tick{Now: at(14)}, yuccalease.ReadResult{Now: at(14), Record: otherRecord, Tag: "1"},
		}, 0},
		{"expired", []yuccalease.Message{
			yuccalease.Tick{Now: at(9)}, yuccalease.ReadResult{Now: at(9), Record: otherRecord, Tag: "1"},
			yuccalease.Tick{Now: at(15)}, yuccalease.ReadResult{Now: at(15), Record: otherRecord, Tag: "1"},
		}, 5},
		{"renewed meanwhile", []yuccalease.Message{
			yuccalease.Tick{Now: at(9)}, yuccalease.ReadResult{Now: at(9), Record: otherRecord, Tag: "1"},
			yuccalease.Tick{Now: at(12)}, yuccalease.ReadResult{Now: at(12), Record: otherRecord, Tag: "2"},
			yuccalease.Tick{Now: at(15)}, yuccalease.ReadResult{Now: at(15), Record: otherRecord, Tag: "2"},
		}, 0},
		{"released", []yuccalease.Message{yuccalease.Tick{Now: at(9)}, yuccalease.ReadResult{Now: at(9), Record: yuccalease.Record{Epoch: 4}, Tag: "1"}}, 5},
		{"later candidate waits longer", []yuccalease.Message{
			yuccalease.Tick{Now: at(9), Rank: 2}, yuccalease.ReadResult{Now: at(9), Record: otherRecord, Tag: "1"},
			yuccalease.Tick{Now: at(15), Rank: 2}, yuccalease.ReadResult{Now: at(15), Record: otherRecord, Tag: "1"},
		}, 0},
		{"not a candidate", []yuccalease.Message{yuccalease.Tick{Now: at(9), Rank: -1}, yuccalease.ReadResult{Now: at(9)}}, 0},
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

// TestRetriedRenewalIsMeasuredFromFirstWrite requests a renewal again after the
// first request had no response. Either of the two may have taken effect, so
// the lease is measured from the first.
func TestRetriedRenewalIsMeasuredFromFirstWrite(t *testing.T) {
	c := qt.New(t)
	s, _ := yuccalease.NewState("e1", 9).Step(yuccalease.Tick{Now: at(1)})
	s, first := s.Step(yuccalease.ReadResult{Now: at(1)})
	s, _ = s.Step(yuccalease.WriteResult{Record: *first.Write, Tag: "1", Applied: true})
	s, renewal := s.Step(yuccalease.Tick{Now: at(3)})
	s, _ = s.Step(yuccalease.WriteResult{Record: *renewal.Write})
	s, retry := s.Step(yuccalease.Tick{Now: at(5)})
	c.Assert(*retry.Write, qt.Equals, *renewal.Write)
	tests := []struct {
		name string
		last yuccalease.WriteResult
		now  time.Time
		want bool
	}{
		{"unknown outcome, before expiry", yuccalease.WriteResult{Record: *retry.Write}, at(5.9), true},
		{"unknown outcome, after expiry", yuccalease.WriteResult{Record: *retry.Write}, at(6), false},
		{"rejected", yuccalease.WriteResult{Record: *retry.Write, Rejected: true}, at(5.1), false},
		{"applied, measured from the first write", yuccalease.WriteResult{Record: *retry.Write, Tag: "2", Applied: true}, at(7.9), true},
		{"applied, after expiry", yuccalease.WriteResult{Record: *retry.Write, Tag: "2", Applied: true}, at(8), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			after, _ := s.Step(test.last)
			_, held := after.Held(test.now)
			qt.Assert(t, held, qt.Equals, test.want)
		})
	}
}
