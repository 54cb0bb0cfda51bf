package yuccaplan

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccastore"
)

const (
	largeFleetRegions  = 22
	largeFleetDomains  = 56
	largeFleetSites    = 1400
	largeFleetServices = 100
	// largeFleetRegionsPerService is the number of regions in which a service
	// runs.
	largeFleetRegionsPerService = 6
)

// largeFleet returns the input of a fleet of the design size: 56 failure domains,
// each with one budget for all its entries, 1,400 sites of 8 servers, 100
// services, and a demand report from every domain for every service.
func largeFleet(t testing.TB) Input {
	var text strings.Builder
	region := func(i int) string { return fmt.Sprintf("region%02d", i%largeFleetRegions) }
	for i := range largeFleetRegions {
		fmt.Fprintf(&text, "region %s domains=%s-a # t\n", region(i), region(i))
		for j := range i {
			fmt.Fprintf(&text, "link %s %s cap=40Gbit # t\n", region(j), region(i))
		}
	}
	for i := range largeFleetServices {
		var names []string
		for k := range largeFleetRegionsPerService {
			names = append(names, region(i+k*3))
		}
		fmt.Fprintf(&text, "service service%02d host=h%d regions=%s # t\n", i, i, strings.Join(names, ","))
	}
	in := Input{Now: scenarioStart, RulesVersion: 1, Rules: mustParseRules(t, text.String())}
	in.View = yuccamembership.NewView(largeFleetInstances(in, region))
	for _, e := range in.View.Entries() {
		for _, s := range in.Rules.Services {
			in.Demands = append(in.Demands, Demand{Entry: e.Name, Service: s.Name, Region: s.Regions[0], InFlight: 4, Bytes: 1e5, Latency: 20 * time.Millisecond})
		}
	}
	return in
}

func largeFleetInstances(in Input, region func(int) string) []yuccastore.Instance {
	var list []yuccastore.Instance
	for i := range largeFleetDomains {
		list = append(list, yuccastore.Instance{Name: fmt.Sprintf("domain%02d", i), Kind: yuccastore.KindEntry, Region: region(i)})
	}
	for i := range largeFleetSites * 8 {
		s := in.Rules.Services[i%largeFleetServices]
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("server", i), Kind: yuccastore.KindServer,
			Region: s.Regions[i/largeFleetServices%largeFleetRegionsPerService], Slots: 8, Services: []string{s.Name}})
	}
	return list
}

// TestLargePlanEncoding checks that the encoded plan of a fleet of the design
// size fits into a value of the platform's store, and that Decode accepts both
// the compressed and the plain form.
func TestLargePlanEncoding(t *testing.T) {
	c := qt.New(t)
	p := Make(largeFleet(t))
	value, err := p.Encode()
	c.Assert(err, qt.IsNil)
	c.Assert(len(value) < yuccastore.MaxValue, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
	again, err := Decode(value)
	c.Assert(err, qt.IsNil)
	c.Assert(sameDecisions(again, p), qt.IsTrue)
	c.Logf("%d budgets and %d routes in %d bytes", len(p.Budgets), len(p.Routes), len(value))
	plain, err := json.Marshal(p)
	c.Assert(err, qt.IsNil)
	again, err = Decode(plain)
	c.Assert(err, qt.IsNil)
	c.Assert(sameDecisions(again, p), qt.IsTrue)
	_, err = Decode([]byte("no plan"))
	c.Assert(err, qt.ErrorMatches, "protocol: .*")
}

func BenchmarkLargePlan(b *testing.B) {
	in := largeFleet(b)
	in.Last = Make(in)
	in.Now = in.Now.Add(renewalLead)
	in = in.acked()
	b.ReportAllocs()
	for b.Loop() {
		Make(in)
	}
}

func BenchmarkArchivePlan(b *testing.B) {
	in := twoRegionFleet(b, shiftRule)
	b.ReportAllocs()
	for b.Loop() {
		Make(in)
	}
}
