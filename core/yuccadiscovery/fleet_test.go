package yuccadiscovery_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccadiscovery"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaroute"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var start = time.Unix(1_800_000_000, 0)

// decode reads "ready", "leaving" or "cold"; anything else names no server.
func decode(name string, value []byte) (yuccadiscovery.Record, bool) {
	r := yuccadiscovery.Record{Server: yuccabalancer.Server{Name: name, Service: "s", Region: "a", Slots: 1}}
	switch string(value) {
	case "ready":
	case "leaving":
		r.Server.Draining = true
	case "cold":
		r.Cold = 3 * time.Second
	default:
		return r, false
	}
	return r, true
}

// object is NAME=VALUE at a sequence number; an empty value is a deletion.
func object(seq uint64, text string) yuccastore.Object {
	name, value, _ := strings.Cut(text, "=")
	return yuccastore.Object{Key: "servers/" + name, Value: []byte(value), Seq: seq, Gone: value == ""}
}

func page(seq uint64, texts ...string) yuccastore.Page {
	p := yuccastore.Page{Seq: seq}
	for _, text := range texts {
		p.Objects = append(p.Objects, object(seq, text))
	}
	return p
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

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

func TestFleet(t *testing.T) {
	type step struct {
		message yuccawatch.Event
		tick    time.Time
		want    string
	}
	const quiet = 4 * time.Second
	listed := func(s float64, seq uint64, texts ...string) yuccawatch.Event {
		return yuccawatch.Listed{At: at(s), Page: page(seq, texts...)}
	}
	changed := func(s float64, seq uint64, texts ...string) yuccawatch.Event {
		return yuccawatch.Changed{At: at(s), SilentFor: quiet, Page: page(seq, texts...)}
	}
	soon := func(s float64, seq uint64, texts ...string) yuccawatch.Event {
		return yuccawatch.Changed{At: at(s), SilentFor: 500 * time.Millisecond, Page: page(seq, texts...)}
	}
	all := listed(0, 1, "a=ready", "b=ready", "c=ready", "d=ready")
	tests := []struct {
		name  string
		steps []step
	}{
		{"comes, leaves, ends", []step{
			{listed(0, 1, "a=ready"), at(0), "a"},
			{changed(1, 2, "b=ready"), at(1), "a b"},
			{changed(2, 3, "a=leaving"), at(2), "a! b"},
			{changed(3, 4, "a="), at(3), "b"},
		}},
		{"unreadable entries name no server", []step{
			{listed(0, 1, "a=ready", "x=??"), at(0), "a"},
			{changed(1, 2, "a={"), at(1), ""},
		}},
		{"an old deletion does not remove a newer entry", []step{
			{listed(0, 5, "a=ready"), at(0), "a"},
			{changed(1, 4, "a="), at(1), "a"},
		}},
		{"a planned end holds at once", []step{
			{all, at(0), "a b c d"},
			{changed(1, 2, "a="), at(1), "b c d"},
			{changed(2, 3, "b="), at(2), "c d"},
		}},
		{"lapsed while the platform was away, and back", []step{
			{all, at(0), "a b c d"},
			{yuccawatch.Unreachable{At: at(1)}, at(1), "a b c d"},
			{yuccawatch.Recovered{At: at(9)}, at(9), "a b c d"},
			{listed(9, 20), at(10), "a b c d"},
			{changed(10.5, 21, "a=ready", "b=ready"), at(10.5), "a b c d"},
			{nil, at(11.1), "a b c d"},
			{nil, at(11.3), "a b"},
		}},
		{"many vanish at once without a known outage", []step{
			{all, at(0), "a b c d"},
			{changed(1, 2, "a=", "b=", "c="), at(1), "a b c d"},
			{changed(2, 3, "a=ready"), at(2.9), "a b c d"},
			{nil, at(3.1), "a d"},
		}},
		{"many vanish when the platform has just answered", []step{
			{all, at(0), "a b c d"},
			{changed(1, 2, "d=leaving"), at(1), "a b c d!"},
			{soon(1.5, 3, "a=", "b=", "c="), at(1.5), "d!"},
		}},
		{"many lapse one after the other", []step{
			{listed(0, 1, "a=ready", "b=ready", "c=ready", "d=ready", "e=ready"), at(0), "a b c d e"},
			{changed(1, 2, "a="), at(1), "b c d e"},
			{soon(1.5, 3, "b=", "c=", "d="), at(1.5), "b c d e"},
			{soon(2, 4, "c=ready"), at(2.9), "b c d e"},
			{nil, at(3.1), "c e"},
		}},
		{"one that was leaving does not stay through an outage", []step{
			{listed(0, 1, "a=ready", "b=leaving"), at(0), "a b!"},
			{yuccawatch.Recovered{At: at(9)}, at(9), "a b!"},
			{listed(9, 20, "a=ready"), at(9), "a"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := yuccadiscovery.New("servers/", decode)
			for i, s := range test.steps {
				if s.message != nil {
					f.Update(s.message)
				}
				f.Tick(s.tick)
				c.Assert(names(f), qt.Equals, s.want, qt.Commentf("step %d", i))
			}
		})
	}
}

// TestColdTimeDoesNotMove lists a cold server again and again.
func TestColdTimeDoesNotMove(t *testing.T) {
	c := qt.New(t)
	f := yuccadiscovery.New("servers/", decode)
	for s := range 5 {
		p := page(uint64(10+s), "a=cold")
		p.Objects[0].Seq = 7
		f.Update(yuccawatch.Listed{At: at(float64(s)), Page: p})
		c.Assert(f.Servers()[0].SlowStartUntil, qt.Equals, at(3))
	}
	f.Update(yuccawatch.Changed{At: at(10), Page: page(50, "a=cold")})
	c.Assert(f.Servers()[0].SlowStartUntil, qt.Equals, at(13))
}

// TestRoutesNeverGoBack configures versions in any order.
func TestRoutesNeverGoBack(t *testing.T) {
	c := qt.New(t)
	k := yuccadiscovery.NewAggregator(yuccadiscovery.New("servers/", decode), func() []string { return nil }, func(yuccabalancer.Topology) {}, zerolog.Nop())
	c.Assert(k.Routes(), qt.IsNil)
	c.Assert(k.Ready(), qt.IsFalse)
	highest := uint64(0)
	for _, version := range []uint64{3, 7, 5, 7, 12, 1} {
		conf := yuccaroute.Config{
			Version:  version,
			Services: []yuccaroute.Service{{Name: "s"}},
			Routes: []yuccaroute.Route{{
				Name: fmt.Sprint(version), Host: "h", Prefix: "/", Timeout: time.Second, MaxTries: 1,
				Services: []yuccaroute.WeightedService{{Service: "s", Weight: 1}},
			}},
		}
		c.Assert(k.Configure(conf), qt.IsNil)
		highest = max(highest, version)
		c.Assert(k.Routes().Version(), qt.Equals, highest)
		route, _, ok := k.Routes().Find("h", "/x")
		c.Assert(ok, qt.IsTrue)
		c.Assert(route.Name, qt.Equals, fmt.Sprint(highest))
	}
	c.Assert(k.Configure(yuccaroute.Config{Version: 99, Routes: []yuccaroute.Route{{}}}), qt.IsNotNil)
	c.Assert(k.Routes().Version(), qt.Equals, highest)
	k.UpdateServers(yuccawatch.Listed{At: start, Page: page(1, "a=ready")})
	c.Assert(k.Ready(), qt.IsTrue)
}
