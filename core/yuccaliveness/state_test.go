package yuccaliveness_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaliveness"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var start = time.Unix(1_800_000_000, 0)

func entry(name, region string, incarnation uint64) yuccaliveness.Entry {
	return yuccaliveness.Entry{Name: name, Region: region, Domain: region + "1", ClientAddr: name, Incarnation: incarnation}
}

// at returns the time a number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// aliveNames returns the names of the entries alive at a time, joined by spaces.
func aliveNames(s *yuccaliveness.State, now time.Time) string {
	var names []string
	for _, e := range s.Alive(now) {
		names = append(names, e.Name)
	}
	return strings.Join(names, " ")
}

func TestAlive(t *testing.T) {
	list := []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "r", 1), entry("c", "r", 1)}
	tests := []struct {
		name  string
		setup func(s *yuccaliveness.State)
		now   float64
		want  string
	}{
		{"no other entry is listed", func(*yuccaliveness.State) {}, 10, "a"},
		{"newly listed without heartbeats", func(s *yuccaliveness.State) { s.UpdateList(at(9), list) }, 10, "a b c"},
		{"all send heartbeats", func(s *yuccaliveness.State) {
			s.UpdateList(at(0), list)
			s.RecordHeartbeat(at(9), list[1], nil)
			s.RecordHeartbeat(at(9), list[2], nil)
		}, 10, "a b c"},
		{"one stops sending heartbeats", func(s *yuccaliveness.State) {
			s.UpdateList(at(0), list)
			s.RecordHeartbeat(at(9), list[1], nil)
			s.RecordHeartbeat(at(5), list[2], nil)
		}, 10, "a b"},
		{"receives no heartbeats and uses the list", func(s *yuccaliveness.State) { s.UpdateList(at(0), list) }, 10, "a b c"},
		{"another entry leaves", func(s *yuccaliveness.State) {
			s.UpdateList(at(0), list)
			leaving := list[1]
			leaving.Leaving = true
			s.RecordHeartbeat(at(9.9), leaving, nil)
			s.RecordHeartbeat(at(9.9), list[2], nil)
		}, 10, "a c"},
		// The entry whose clock went back must not be ignored until that has caught up.
		{"restarted after its clock went back", func(s *yuccaliveness.State) {
			s.UpdateList(at(0), []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "r", 7), entry("c", "r", 1)})
			s.RecordHeartbeat(at(5), entry("b", "r", 7), nil)
			s.RecordHeartbeat(at(9), entry("b", "r", 3), nil)
			s.RecordHeartbeat(at(9.5), entry("b", "r", 3), nil)
		}, 10, "a b"},
		{"an earlier incarnation while the later one is heard", func(s *yuccaliveness.State) {
			s.UpdateList(at(0), []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "r", 7), entry("c", "r", 1)})
			s.RecordHeartbeat(at(7), entry("b", "r", 7), nil)
			s.RecordHeartbeat(at(9), entry("b", "r", 3), nil)
			s.RecordHeartbeat(at(9), entry("c", "r", 1), nil)
		}, 10, "a c"},
		{"a heartbeat of an earlier incarnation does not count", func(s *yuccaliveness.State) {
			s.UpdateList(at(0), []yuccaliveness.Entry{list[0], entry("b", "r", 2), list[2]})
			s.RecordHeartbeat(at(9), list[1], nil)
			s.RecordHeartbeat(at(9), list[2], nil)
		}, 10, "a c"},
		{"this entry leaves", func(s *yuccaliveness.State) {
			s.UpdateList(at(0), list)
			s.RecordHeartbeat(at(9.9), list[1], nil)
			s.Leave()
		}, 10, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := yuccaliveness.NewState(list[0], start)
			test.setup(s)
			qt.Assert(t, aliveNames(s, at(test.now)), qt.Equals, test.want)
		})
	}
}

func TestDemandByRegion(t *testing.T) {
	c := qt.New(t)
	s := yuccaliveness.NewState(entry("a", "r", 1), start)
	s.RecordHeartbeat(at(1), entry("b", "r", 1), map[string]float32{"x": 2})
	s.RecordHeartbeat(at(1), entry("c", "q", 1), map[string]float32{"x": 5, "y": 1})
	demand := s.Demand(at(2), map[string]float64{"x": 1})
	c.Assert(demand["x"]["r"], qt.Equals, 3.0)
	c.Assert(demand["x"]["q"], qt.Equals, 5.0)
	c.Assert(demand["y"]["q"], qt.Equals, 1.0)
	expired := s.Demand(at(60), map[string]float64{"x": 1})
	c.Assert(expired["x"]["q"], qt.Equals, 0.0)
}

func TestInRegion(t *testing.T) {
	all := []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "q", 1), entry("c", "q", 1)}
	tests := []struct{ region, want string }{{"q", "b c"}, {"r", "a"}, {"z", "a b c"}, {"", "a b c"}}
	for _, test := range tests {
		t.Run(test.region, func(t *testing.T) {
			var names []string
			for _, e := range yuccaliveness.InRegion(all, test.region) {
				names = append(names, e.Name)
			}
			qt.Assert(t, strings.Join(names, " "), qt.Equals, test.want)
		})
	}
}

// TestToDeregister has one of three entries stop its heartbeats. Exactly one of the
// other two has to remove it from the list. An entry that receives no heartbeats
// removes none, and an entry that was listed again is not removed.
func TestToDeregister(t *testing.T) {
	list := []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "r", 1), entry("c", "r", 1)}
	stateOf := func(self int, alive ...int) *yuccaliveness.State {
		s := yuccaliveness.NewState(list[self], start)
		s.UpdateList(at(0), list)
		for _, i := range alive {
			s.RecordHeartbeat(at(99), list[i], nil)
		}
		return s
	}
	c := qt.New(t)
	a, b := stateOf(0, 1), stateOf(1, 0)
	c.Assert(append(a.ToDeregister(at(100)), b.ToDeregister(at(100))...), qt.DeepEquals, []string{"c"})
	c.Assert(stateOf(0).ToDeregister(at(100)), qt.HasLen, 0)
	c.Assert(stateOf(0, 1, 2).ToDeregister(at(100)), qt.HasLen, 0)
	relisted := stateOf(0, 1)
	relisted.UpdateList(at(99), []yuccaliveness.Entry{list[0], list[1], entry("c", "r", 2)})
	c.Assert(relisted.ToDeregister(at(100)), qt.HasLen, 0)
}

// TestTunnelPeers checks which entries may carry connections of this one to servers.
func TestTunnelPeers(t *testing.T) {
	tests := []struct {
		name   string
		peer   yuccaliveness.Entry
		age    time.Duration
		usable bool
	}{
		{"recent heartbeat", yuccaliveness.Entry{TunnelAddr: "a"}, time.Second, true},
		{"silent", yuccaliveness.Entry{TunnelAddr: "a"}, yuccaliveness.Timeout, false},
		{"carries none", yuccaliveness.Entry{}, time.Second, false},
		{"leaves", yuccaliveness.Entry{TunnelAddr: "a", Leaving: true}, time.Second, false},
		{"cut off too", yuccaliveness.Entry{TunnelAddr: "a", CutOff: true}, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			s := yuccaliveness.NewState(yuccaliveness.Entry{Name: "self"}, now)
			test.peer.Name = "peer"
			s.RecordHeartbeat(now, test.peer, nil)
			qt.Assert(t, len(s.TunnelPeers(now.Add(test.age))) == 1, qt.Equals, test.usable)
		})
	}
}

// TestForgetsEntriesThatAreGone records one heartbeat of each of many entries: they are
// forgotten when they have been silent for long and the platform does not list them.
func TestForgetsEntriesThatAreGone(t *testing.T) {
	const gone = 1000
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := yuccaliveness.NewState(yuccaliveness.Entry{Name: "self"}, now)
	for i := range gone {
		s.RecordHeartbeat(now, yuccaliveness.Entry{Name: fmt.Sprint("gone", i)}, nil)
	}
	s.RecordHeartbeat(now, yuccaliveness.Entry{Name: "listed"}, nil)
	c.Assert(s.Heard(), qt.Equals, gone+1)
	s.UpdateList(now.Add(10*time.Minute), []yuccaliveness.Entry{{Name: "listed"}})
	c.Assert(s.Heard(), qt.Equals, 1)
}
