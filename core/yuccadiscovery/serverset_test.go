package yuccadiscovery_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccadiscovery"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var start = time.Unix(1_800_000_000, 0)

// decode accepts the registrations "ready", "leaving" (a draining server) and
// "cold" (a server in slow start for 3 s), each with an optional number of the renewal
// as in "ready@2". It rejects any other value.
func decode(name string, value []byte) (yuccadiscovery.Record, bool) {
	r := yuccadiscovery.Record{Server: yuccabalancer.Server{Name: name, Service: "s", Region: "a", Slots: 1}}
	state, renewal, _ := strings.Cut(string(value), "@")
	r.Renewal, _ = strconv.ParseInt(renewal, 10, 64)
	switch state {
	case "ready":
	case "leaving":
		r.Server.Draining = true
	case "cold":
		r.SlowStart = 3 * time.Second
	default:
		return r, false
	}
	return r, true
}

// object parses NAME=VALUE into an object with the sequence number seq. An empty
// value is a deletion.
func object(seq uint64, text string) yuccastore.Object {
	name, value, _ := strings.Cut(text, "=")
	return yuccastore.Object{Key: "servers/" + name, Value: []byte(value), Seq: seq, Deleted: value == ""}
}

// page returns a page with the objects that texts describe.
func page(seq uint64, texts ...string) yuccastore.Page {
	p := yuccastore.Page{Seq: seq}
	for _, text := range texts {
		p.Objects = append(p.Objects, object(seq, text))
	}
	return p
}

// at returns the time a number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// names returns the names of the servers, joined by spaces. A "!" marks a draining
// server.
func names(f *yuccadiscovery.ServerSet) string {
	var all []string
	for _, s := range f.Servers() {
		name := s.Name
		if s.Draining {
			name += "!"
		}
		all = append(all, name)
	}
	return strings.Join(all, " ")
}

func TestServerSet(t *testing.T) {
	type step struct {
		event yuccawatch.Event
		tick  time.Time
		want  string
	}
	const silence = 4 * time.Second
	listed := func(s float64, seq uint64, texts ...string) yuccawatch.Event {
		return yuccawatch.Listed{At: at(s), Page: page(seq, texts...)}
	}
	changed := func(s float64, seq uint64, texts ...string) yuccawatch.Event {
		return yuccawatch.Changed{At: at(s), SilentFor: silence, Page: page(seq, texts...)}
	}
	// changedAgain is a change soon after the previous one.
	changedAgain := func(s float64, seq uint64, texts ...string) yuccawatch.Event {
		return yuccawatch.Changed{At: at(s), SilentFor: 500 * time.Millisecond, Page: page(seq, texts...)}
	}
	// copied is the first sequence number after the platform has come back from a copy.
	copied, _ := yuccastore.NewSeq(1, 1)
	all := listed(0, 1, "a=ready", "b=ready", "c=ready", "d=ready")
	tests := []struct {
		name  string
		steps []step
	}{
		{"server registers, drains and stops", []step{
			{listed(0, 1, "a=ready"), at(0), "a"},
			{changed(1, 2, "b=ready"), at(1), "a b"},
			{changed(2, 3, "a=leaving"), at(2), "a! b"},
			{changed(3, 4, "a="), at(3), "b"},
		}},
		{"unusable registrations are ignored", []step{
			{listed(0, 1, "a=ready", "x=??"), at(0), "a"},
			{changed(1, 2, "a={"), at(1), ""},
		}},
		{"an old deletion does not remove a newer registration", []step{
			{listed(0, 5, "a=ready"), at(0), "a"},
			{changed(1, 4, "a="), at(1), "a"},
		}},
		{"single servers that stop are removed at once", []step{
			{all, at(0), "a b c d"},
			{changed(1, 2, "a="), at(1), "b c d"},
			{changed(2, 3, "b="), at(2), "c d"},
		}},
		{"registrations expire during an outage and some are renewed", []step{
			{all, at(0), "a b c d"},
			{yuccawatch.Unreachable{At: at(1)}, at(1), "a b c d"},
			{yuccawatch.Recovered{At: at(9)}, at(9), "a b c d"},
			{listed(9, 20), at(10), "a b c d"},
			{changed(10.5, 21, "a=ready", "b=ready"), at(10.5), "a b c d"},
			{nil, at(11.1), "a b c d"},
			{nil, at(11.3), "a b"},
		}},
		{"many expire at once without a known outage", []step{
			{all, at(0), "a b c d"},
			{changed(1, 2, "a=", "b=", "c="), at(1), "a b c d"},
			{changed(2, 3, "a=ready"), at(2.9), "a b c d"},
			{nil, at(3.1), "a d"},
		}},
		{"many expire soon after the platform has answered", []step{
			{all, at(0), "a b c d"},
			{changed(1, 2, "d=leaving"), at(1), "a b c d!"},
			{changedAgain(1.5, 3, "a=", "b=", "c="), at(1.5), "d!"},
		}},
		{"many expire one after the other", []step{
			{listed(0, 1, "a=ready", "b=ready", "c=ready", "d=ready", "e=ready"), at(0), "a b c d e"},
			{changed(1, 2, "a="), at(1), "b c d e"},
			{changedAgain(1.5, 3, "b=", "c=", "d="), at(1.5), "b c d e"},
			{changedAgain(2, 4, "c=ready"), at(2.9), "b c d e"},
			{nil, at(3.1), "c e"},
		}},
		{"a draining server is ready in the copy", []step{
			{listed(0, 1, "a=ready@1", "b=ready@1"), at(0), "a b"},
			{changed(1, 2, "a=leaving@2"), at(1), "a! b"},
			{yuccawatch.Restored{At: at(2)}, at(2), "a! b"},
			{listed(2, copied, "a=ready@1", "b=ready@1"), at(2), "a! b"},
			{changed(3, copied+1, "a=leaving@3"), at(3), "a! b"},
			{changed(4, copied+2, "a="), at(4), "b"},
		}},
		{"a server that has gone is in the copy", []step{
			{listed(0, 1, "a=ready@1", "b=ready@1"), at(0), "a b"},
			{changed(1, 2, "a="), at(1), "b"},
			{yuccawatch.Restored{At: at(2)}, at(2), "b"},
			{listed(2, copied, "a=ready@1", "b=ready@1"), at(2), "b"},
			{changed(3, copied+1, "a=ready@2"), at(3), "a b"},
		}},
		{"servers that the copy lacks register again or are gone", []step{
			{listed(0, 5, "a=ready@1", "b=ready@1", "c=ready@1"), at(0), "a b c"},
			{yuccawatch.Restored{At: at(2)}, at(2), "a b c"},
			{listed(2, copied, "a=ready@1"), at(2), "a b c"},
			{changed(3, copied+1, "b=ready@2"), at(4.1), "a b c"},
			{nil, at(4.3), "a b"},
		}},
		{"an older registration does not end a grace period", []step{
			{listed(0, 5, "a=ready@1", "b=ready@1"), at(0), "a b"},
			{yuccawatch.Recovered{At: at(9)}, at(9), "a b"},
			{changed(9, 20, "a="), at(9), "a b"},
			{changed(9.5, 4, "a=ready@0"), at(9.5), "a b"},
			{nil, at(11.3), "b"},
		}},
		{"a draining server gets no grace period after an outage", []step{
			{listed(0, 1, "a=ready", "b=leaving"), at(0), "a b!"},
			{yuccawatch.Recovered{At: at(9)}, at(9), "a b!"},
			{listed(9, 20, "a=ready"), at(9), "a"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := yuccadiscovery.NewServerSet("servers/", decode)
			for i, s := range test.steps {
				if s.event != nil {
					f.Update(s.event)
				}
				f.Tick(s.tick)
				c.Assert(names(f), qt.Equals, s.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// TestSlowStartEndDoesNotMove lists a server in slow start repeatedly. Only a new
// registration moves the end of its slow start.
func TestSlowStartEndDoesNotMove(t *testing.T) {
	c := qt.New(t)
	f := yuccadiscovery.NewServerSet("servers/", decode)
	for s := range 5 {
		p := page(uint64(10+s), "a=cold")
		p.Objects[0].Seq = 7
		f.Update(yuccawatch.Listed{At: at(float64(s)), Page: p})
		c.Assert(f.Servers()[0].SlowStartUntil, qt.Equals, at(3))
	}
	f.Update(yuccawatch.Changed{At: at(10), Page: page(50, "a=cold")})
	c.Assert(f.Servers()[0].SlowStartUntil, qt.Equals, at(13))
}
