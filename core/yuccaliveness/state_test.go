package yuccaliveness_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaliveness"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var start = time.Unix(1_800_000_000, 0)

func entry(name, region string, run uint64) yuccaliveness.Entry {
	return yuccaliveness.Entry{Name: name, Region: region, Domain: region + "1", ClientAddr: name, Incarnation: run}
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func alive(s *yuccaliveness.State, now time.Time) string {
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
		story func(s *yuccaliveness.State)
		now   float64
		want  string
	}{
		{"only itself", func(*yuccaliveness.State) {}, 10, "a"},
		{"listed just now", func(s *yuccaliveness.State) { s.List(at(9), list) }, 10, "a b c"},
		{"heard", func(s *yuccaliveness.State) {
			s.List(at(0), list)
			s.Hear(at(9), list[1], nil)
			s.Hear(at(9), list[2], nil)
		}, 10, "a b c"},
		{"one fell silent", func(s *yuccaliveness.State) {
			s.List(at(0), list)
			s.Hear(at(9), list[1], nil)
			s.Hear(at(5), list[2], nil)
		}, 10, "a b"},
		{"hears nobody and trusts the list", func(s *yuccaliveness.State) { s.List(at(0), list) }, 10, "a b c"},
		{"one leaves", func(s *yuccaliveness.State) {
			s.List(at(0), list)
			gone := list[1]
			gone.Leaving = true
			s.Hear(at(9.9), gone, nil)
			s.Hear(at(9.9), list[2], nil)
		}, 10, "a c"},
		{"a beat of an earlier run does not count", func(s *yuccaliveness.State) {
			s.List(at(0), []yuccaliveness.Entry{list[0], entry("b", "r", 2), list[2]})
			s.Hear(at(9), list[1], nil)
			s.Hear(at(9), list[2], nil)
		}, 10, "a c"},
		{"leaves itself", func(s *yuccaliveness.State) {
			s.List(at(0), list)
			s.Hear(at(9.9), list[1], nil)
			s.Leave()
		}, 10, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := yuccaliveness.NewState(list[0], start)
			test.story(s)
			qt.Assert(t, alive(s, at(test.now)), qt.Equals, test.want)
		})
	}
}

func TestDemandByRegion(t *testing.T) {
	c := qt.New(t)
	s := yuccaliveness.NewState(entry("a", "r", 1), start)
	s.Hear(at(1), entry("b", "r", 1), map[string]float64{"x": 2})
	s.Hear(at(1), entry("c", "q", 1), map[string]float64{"x": 5, "y": 1})
	demand := s.Demand(at(2), map[string]float64{"x": 1})
	c.Assert(demand["x"]["r"], qt.Equals, 3.0)
	c.Assert(demand["x"]["q"], qt.Equals, 5.0)
	c.Assert(demand["y"]["q"], qt.Equals, 1.0)
	old := s.Demand(at(60), map[string]float64{"x": 1})
	c.Assert(old["x"]["q"], qt.Equals, 0.0)
}

func TestNearest(t *testing.T) {
	all := []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "q", 1), entry("c", "q", 1)}
	tests := []struct{ region, want string }{{"q", "b c"}, {"r", "a"}, {"z", "a b c"}, {"", "a b c"}}
	for _, test := range tests {
		t.Run(test.region, func(t *testing.T) {
			var names []string
			for _, e := range yuccaliveness.InRegion(all, test.region, "") {
				names = append(names, e.Name)
			}
			qt.Assert(t, strings.Join(names, " "), qt.Equals, test.want)
		})
	}
}

// TestGone has one of three entries fall silent: exactly one of the others takes
// it off the list, and none does that hears nobody.
func TestGone(t *testing.T) {
	list := []yuccaliveness.Entry{entry("a", "r", 1), entry("b", "r", 1), entry("c", "r", 1)}
	view := func(self int, heard ...int) *yuccaliveness.State {
		s := yuccaliveness.NewState(list[self], start)
		s.List(at(0), list)
		for _, i := range heard {
			s.Hear(at(99), list[i], nil)
		}
		return s
	}
	c := qt.New(t)
	a, b := view(0, 1), view(1, 0)
	c.Assert(append(a.ToDeregister(at(100)), b.ToDeregister(at(100))...), qt.DeepEquals, []string{"c"})
	c.Assert(view(0).ToDeregister(at(100)), qt.HasLen, 0)
	c.Assert(view(0, 1, 2).ToDeregister(at(100)), qt.HasLen, 0)
	young := view(0, 1)
	young.List(at(99), []yuccaliveness.Entry{list[0], list[1], entry("c", "r", 2)})
	c.Assert(young.ToDeregister(at(100)), qt.HasLen, 0)
}
