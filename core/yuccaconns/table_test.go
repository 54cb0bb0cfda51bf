package yuccaconns_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaconns"
	"yuccawell.example/core/yuccafake"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// replay is a table of up to 3 connections, one of which may be refused beyond that.
type replay struct {
	*yuccaconns.Table[string]
	now     time.Time
	unread  []string
	verdict yuccaconns.Verdict
	evicted []string
}

func (r *replay) wait(d time.Duration) { r.now = r.now.Add(d) }

func (r *replay) open(ids ...string) {
	for _, id := range ids {
		a := r.Open(r.now, id, func(id string) bool { return slices.Contains(r.unread, id) })
		r.verdict, r.evicted = a.Verdict, a.Evicted
	}
}

// TestConnsAtLimit guards against clients that get no connection while others hold
// connections that they don't use, and against closed connections whose requests are lost.
func TestConnsAtLimit(t *testing.T) {
	tests := []struct {
		name    string
		steps   func(*replay)
		verdict yuccaconns.Verdict
		evicted []string
	}{
		{"below the limit", func(r *replay) { r.open("a", "b", "c") }, yuccaconns.Keep, nil},
		{"longest without a request", func(r *replay) {
			r.open("a", "b", "c")
			r.Begin("a")
			r.End(r.now, "a")
			r.wait(time.Second)
			r.open("d")
		}, yuccaconns.Keep, []string{"b"}},
		{"one with a request stays", func(r *replay) {
			r.open("a", "b", "c")
			r.Begin("a")
			r.wait(time.Second)
			r.open("d")
		}, yuccaconns.Keep, []string{"b"}},
		{"one with unread data stays", func(r *replay) {
			r.open("a", "b", "c")
			r.wait(time.Second)
			r.unread = []string{"a", "b"}
			r.open("d")
		}, yuccaconns.Keep, []string{"c"}},
		{"fresh ones stay", func(r *replay) { r.open("a", "b", "c", "d") }, yuccaconns.Refuse, nil},
		{"all have requests", func(r *replay) {
			r.open("a", "b", "c")
			r.Begin("a")
			r.Begin("b")
			r.Begin("c")
			r.wait(time.Second)
			r.open("d")
		}, yuccaconns.Refuse, nil},
		{"too many refused", func(r *replay) { r.open("a", "b", "c", "d", "e") }, yuccaconns.Drop, nil},
		{"closed ones leave room", func(r *replay) {
			r.open("a", "b", "c", "d", "e")
			r.Close("e")
			r.Close("d")
			r.Close("a")
			r.open("f")
		}, yuccaconns.Keep, nil},
		{"refused ones are closed again", func(r *replay) {
			r.open("a", "b", "c", "d")
			r.wait(time.Second)
			r.open("e")
		}, yuccaconns.Keep, []string{"a", "b"}},
		{"lower limit", func(r *replay) {
			r.open("a", "b", "c")
			r.wait(time.Second)
			r.SetLimit(1)
			r.open("d")
		}, yuccaconns.Keep, []string{"a", "b", "c"}},
		{"no limit", func(r *replay) {
			r.SetLimit(0)
			r.open("a", "b", "c", "d", "e")
		}, yuccaconns.Keep, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &replay{Table: yuccaconns.New[string](3), now: time.Unix(1_800_000_000, 0)}
			test.steps(r)
			c.Assert(r.verdict, qt.Equals, test.verdict)
			c.Assert(r.evicted, qt.DeepEquals, test.evicted)
			// A request that was read while its connection was closed is not served.
			for _, id := range r.evicted {
				r.Begin(id)
				r.End(r.now, id)
				c.Assert(r.Serves(id), qt.Equals, yuccaconns.Drop)
				r.Close(id)
			}
			limited := test.verdict != yuccaconns.Keep || test.evicted != nil
			c.Assert(r.Full(r.now), qt.Equals, limited || test.name == "closed ones leave room")
			c.Assert(r.Full(r.now.Add(time.Minute)), qt.IsFalse)
			c.Assert(r.Limit() == 0 || r.Len() <= r.Limit()+1, qt.IsTrue, qt.Commentf("%d", r.Len()))
		})
	}
}
