package yuccaroute_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaroute"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

func route(name, prefix string, services ...yuccaroute.WeightedService) yuccaroute.Route {
	return yuccaroute.Route{Name: name, Host: "a.example", Prefix: prefix, Timeout: time.Second, MaxAttempts: 2, Services: services}
}

func config(routes ...yuccaroute.Route) yuccaroute.Config {
	return yuccaroute.Config{Version: 1, Routes: routes, Services: []yuccaroute.Service{{Name: "s"}, {Name: "t"}}}
}

func TestFindReturnsLongestPrefix(t *testing.T) {
	s := yuccaroute.WeightedService{Service: "s", Weight: 1}
	table := yuccaroute.New(config(route("short", "/a/", s), route("long", "/a/b/", s)))
	tests := []struct {
		host, path, want string
	}{
		{"a.example", "/a/b/c", "long"},
		{"A.Example", "/a/b/", "long"},
		{"a.example", "/a/b", "short"},
		{"a.example", "/ab/", ""},
		{"b.example", "/a/b/c", ""},
	}
	for _, test := range tests {
		t.Run(test.host+test.path, func(t *testing.T) {
			c := qt.New(t)
			r, _, ok := table.Find(test.host, test.path)
			c.Assert(ok, qt.Equals, test.want != "")
			if ok {
				c.Assert(r.Name, qt.Equals, test.want)
			}
		})
	}
}

// TestFindSplitsByWeight checks the split of short and long runs of requests.
func TestFindSplitsByWeight(t *testing.T) {
	services := []yuccaroute.WeightedService{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}
	for _, n := range []int{20, 200, 5000} {
		c := qt.New(t)
		table := yuccaroute.New(config(route("r", "/", services...)))
		got := map[string]int{}
		for range n {
			_, service, _ := table.Find("a.example", "/x")
			got[service]++
		}
		share := float64(got["t"]) / float64(n)
		c.Assert(math.Abs(share-0.1) < 0.06, qt.IsTrue, qt.Commentf("%d requests: %v", n, share))
	}
}

func TestCheckRejectsInvalidConfigs(t *testing.T) {
	s := yuccaroute.WeightedService{Service: "s", Weight: 1}
	tests := []struct {
		name   string
		change func(*yuccaroute.Config)
		ok     bool
	}{
		{"valid", func(*yuccaroute.Config) {}, true},
		{"no version", func(c *yuccaroute.Config) { c.Version = 0 }, false},
		{"no host", func(c *yuccaroute.Config) { c.Routes[0].Host = "" }, false},
		{"prefix without final slash", func(c *yuccaroute.Config) { c.Routes[0].Prefix = "/a" }, false},
		{"no timeout", func(c *yuccaroute.Config) { c.Routes[0].Timeout = 0 }, false},
		{"zero weight", func(c *yuccaroute.Config) { c.Routes[0].Services = []yuccaroute.WeightedService{{Service: "s"}} }, false},
		{"negative weight", func(c *yuccaroute.Config) {
			c.Routes[0].Services = []yuccaroute.WeightedService{{Service: "s", Weight: 3}, {Service: "t", Weight: -1}}
		}, false},
		{"unknown service", func(c *yuccaroute.Config) { c.Routes[0].Services[0].Service = "u" }, false},
		{"no service", func(c *yuccaroute.Config) { c.Routes[0].Services = nil }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conf := config(route("r", "/a/", s))
			test.change(&conf)
			err := conf.Check()
			c.Assert(err == nil, qt.Equals, test.ok, qt.Commentf("%v", err))
			if !test.ok {
				c.Assert(yuccaerror.Is(err, yuccaerror.Invalid), qt.IsTrue)
			}
		})
	}
}

// TestPeekKeepsSplit guards against requests that are looked up twice and thereby shift
// the split between services.
func TestPeekKeepsSplit(t *testing.T) {
	c := qt.New(t)
	services := []yuccaroute.WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
	peeked, plain := yuccaroute.New(config(route("r", "/", services...))), yuccaroute.New(config(route("r", "/", services...)))
	for range 20 {
		r, ok := peeked.Peek("a.example", "/x")
		c.Assert(ok && r.Name == "r", qt.IsTrue)
		_, got, _ := peeked.Find("a.example", "/x")
		_, want, _ := plain.Find("a.example", "/x")
		c.Assert(got, qt.Equals, want)
	}
}
