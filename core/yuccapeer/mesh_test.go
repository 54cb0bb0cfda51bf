package yuccapeer

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccastore"
)

// TestPublishReachesEveryEntry forwards a message along the meshes of a random
// cluster, in which entries of an older build may run that do not know which are strong.
func TestPublishReachesEveryEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []yuccastore.Instance
		for i := range rapid.IntRange(2, 40).Draw(t, "entries") {
			list = append(list, yuccastore.Instance{Name: fmt.Sprint("e", i), Peer: "x", Domain: fmt.Sprint("d", rapid.IntRange(0, 5).Draw(t, "domain"))})
		}
		rule := gatewayRule{alive: func(string) bool { return true }, strong: map[string]bool{}}
		old := rapid.Float64Range(0, 1).Draw(t, "part of old builds")
		for _, e := range list {
			rule.strong[e.Name] = rapid.Bool().Draw(t, "strong")
		}
		meshes := map[string]mesh{}
		for _, e := range list {
			r := rule
			r.mixed = old > 0
			if rapid.Float64Range(0, 1).Draw(t, "old") < old {
				r = gatewayRule{alive: rule.alive}
			}
			meshes[e.Name] = newMesh(e.Name, e.Domain, list, r)
		}
		origin := rapid.SampledFrom(list).Draw(t, "origin").Name
		reached := map[string]bool{origin: true}
		var forward func(to map[string]string, scope Forward)
		forward = func(to map[string]string, scope Forward) {
			for name := range to {
				if !reached[name] {
					reached[name] = true
					forward(meshes[name].forwardTo(scope))
				}
			}
		}
		domainPeers, gatewayPeers := meshes[origin].domainPeers, meshes[origin].gatewayPeers
		forward(domainPeers, Forward_FORWARD_TO_GATEWAYS)
		forward(gatewayPeers, Forward_FORWARD_TO_DOMAIN)
		if len(reached) != len(list) {
			t.Fatalf("%d of %d entries reached", len(reached), len(list))
		}
		for name, m := range meshes {
			if len(m.gatewayPeers) > 5*2*GatewaysPerDomain || old == 0 && len(m.gatewayPeers) > 5*GatewaysPerDomain {
				t.Fatalf("%s keeps %d sessions to other domains", name, len(m.gatewayPeers))
			}
		}
	})
}

func TestDuplicateFilterAcceptsEachMessageOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, accepted, highestSeq := newDuplicateFilter(), map[uint64]bool{}, uint64(0)
		for _, seq := range rapid.SliceOf(rapid.Uint64Range(1, 200)).Draw(t, "seqs") {
			first := s.first(time.Time{}, "e1", 1, seq)
			if first && accepted[seq] {
				t.Fatalf("message %d accepted twice", seq)
			}
			if !first && !accepted[seq] && seq+reorderWindow > highestSeq {
				t.Fatalf("message %d rejected as a duplicate; the highest sequence number was %d", seq, highestSeq)
			}
			accepted[seq] = true
			highestSeq = max(highestSeq, seq)
		}
		if !s.first(time.Time{}, "e1", 2, 1) || s.first(time.Time{}, "e1", 1, 500) {
			t.Fatalf("a higher incarnation does not replace a lower one")
		}
	})
}

// TestEntryIsHeardAfterItsClockWentBack guards against an entry whose messages nobody takes
// until its clock has caught up with that of its process before.
func TestEntryIsHeardAfterItsClockWentBack(t *testing.T) {
	c := qt.New(t)
	s, start := newDuplicateFilter(), time.Unix(1_800_000_000, 0)
	c.Assert(s.first(start.Add(-time.Second), "e1", 9, 1), qt.IsTrue)
	c.Assert(s.first(start, "e1", 9, 1), qt.IsFalse)
	c.Assert(s.first(start.Add(originSilence), "e1", 5, 1), qt.IsFalse)
	c.Assert(s.first(start.Add(originSilence+1), "e1", 5, 2), qt.IsTrue)
	c.Assert(s.first(start.Add(originSilence+1), "e1", 5, 2), qt.IsFalse)
	c.Assert(s.first(start.Add(originSilence+2), "e1", 4, 3), qt.IsFalse)
}

// TestBothEndsKeepTheSameSession has two entries that dial each other at the
// same time.
func TestBothEndsKeepTheSameSession(t *testing.T) {
	a, b := &Hello{Name: "a", Incarnation: 1}, &Hello{Name: "b", Incarnation: 1}
	byA := map[string]*session{"a": {peer: b, dialed: true}, "b": {peer: a}}
	byB := map[string]*session{"a": {peer: b}, "b": {peer: a, dialed: true}}
	for _, self := range []string{"a", "b"} {
		qt.Assert(t, replaces(self, byA[self], byB[self]), qt.IsTrue)
		qt.Assert(t, replaces(self, byB[self], byA[self]), qt.IsFalse)
	}
}

func TestNegotiate(t *testing.T) {
	tests := []struct {
		name string
		a, b *Hello
		want uint32
		ok   bool
	}{
		{"same", &Hello{Lowest: 1, Highest: 1}, &Hello{Lowest: 1, Highest: 1}, 1, true},
		{"other side is newer", &Hello{Lowest: 1, Highest: 2}, &Hello{Lowest: 2, Highest: 3}, 2, true},
		{"no common version", &Hello{Lowest: 1, Highest: 2}, &Hello{Lowest: 3, Highest: 4}, 0, false},
		{"other side has no version", &Hello{Lowest: 1, Highest: 1}, &Hello{}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			version, err := negotiate(test.a, test.b)
			qt.Assert(t, err == nil, qt.Equals, test.ok)
			qt.Assert(t, version, qt.Equals, test.want)
		})
	}
}

func TestBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.IntRange(1, 1000).Draw(t, "failures")
		got := backoff(failures, rapid.Float64Range(0, 1).Draw(t, "jitter"))
		if got < baseBackoff || got > maxBackoff {
			t.Fatalf("delay of %v after %d failures, want between baseBackoff and maxBackoff", got, failures)
		}
	})
}

// FuzzReadFrame reads frames from arbitrary bytes and checks that each can be
// encoded and read again.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{})
	f.Add(encodeFrame(&Frame{MaxIntervalMs: 1000}))
	f.Add(encodeFrame(&Frame{Topic: "beat", Body: []byte("x"), Origin: "e1", Incarnation: 1, Seq: 2, Forward: Forward_FORWARD_TO_GATEWAYS}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0x05, 0x0a, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			got, err := readFrame(r)
			if err != nil {
				return
			}
			again, err := readFrame(bufio.NewReader(bytes.NewReader(encodeFrame(got))))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again.Topic, qt.Equals, got.Topic)
		}
	})
}
