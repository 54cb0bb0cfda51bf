package yuccadiscovery_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccadiscovery"
	"yuccawell.example/core/yuccaroute"
	"yuccawell.example/core/yuccawatch"
)

// TestRouteVersionNeverDecreases configures versions out of order. The highest
// version seen so far stays in force, also after an invalid config.
func TestRouteVersionNeverDecreases(t *testing.T) {
	c := qt.New(t)
	k := yuccadiscovery.NewAggregator(yuccadiscovery.NewServerSet("servers/", decode), yuccadiscovery.NewEvacuationSet("evacuations/"), fixedEntries{}, func(yuccabalancer.Topology) {}, zerolog.Nop())
	c.Assert(k.Routes(), qt.IsNil)
	c.Assert(k.Ready(), qt.IsFalse)
	highest := uint64(0)
	for _, version := range []uint64{3, 7, 5, 7, 12, 1} {
		conf := yuccaroute.Config{
			Version:  version,
			Services: []yuccaroute.Service{{Name: "s"}},
			Routes: []yuccaroute.Route{{
				Name: fmt.Sprint(version), Host: "h", Prefix: "/", Timeout: time.Second, MaxAttempts: 1,
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

// TestTopologyNamesEntries checks that the load balancer learns which entries there are, and
// which of them are large, also if only that has changed.
func TestTopologyNamesEntries(t *testing.T) {
	c := qt.New(t)
	var last yuccabalancer.Topology
	names := &fixedEntries{names: []string{"a", "b"}}
	k := yuccadiscovery.NewAggregator(yuccadiscovery.NewServerSet("servers/", decode), yuccadiscovery.NewEvacuationSet("evacuations/"), names, func(w yuccabalancer.Topology) { last = w }, zerolog.Nop())
	c.Assert(k.Configure(yuccaroute.Config{Version: 1}), qt.IsNil)
	c.Assert(last.Entries, qt.DeepEquals, []string{"a", "b"})
	c.Assert(last.Large, qt.HasLen, 0)
	names.large = []string{"b"}
	k.UpdateServers(yuccawatch.Unreachable{})
	c.Assert(last.Large, qt.DeepEquals, []string{"b"})
}

// fixedEntries is a list of entries.
type fixedEntries struct{ names, large []string }

func (e fixedEntries) Names() []string      { return e.names }
func (e fixedEntries) LargeNames() []string { return e.large }
