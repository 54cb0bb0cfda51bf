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
	largeRegions  = 22
	largeDomains  = 56
	largeSites    = 1400
	largeServices = 100
	// largeSpread is in how many regions a service runs.
	largeSpread = 6
)

// large is a fleet of the target's size: 56 failure domains that each stand for
// their entries, 1,400 sites of 8 servers, 100 services, and a report of load
// from every domain and service.
func large(t testing.TB) Input {
	var text strings.Builder
	region := func(i int) string { return fmt.Sprintf("region%02d", i%largeRegions) }
	for i := range largeRegions {
		fmt.Fprintf(&text, "region %s domains=%s-a # t\n", region(i), region(i))
		for j := range i {
			fmt.Fprintf(&text, "link %s %s cap=40Gbit # t\n", region(j), region(i))
		}
	}
	for i := range largeServices {
		var names []string
		for k := range largeSpread {
			names = append(names, region(i+k*3))
		}
		fmt.Fprintf(&text, "service service%02d host=h%d regions=%s # t\n", i, i, strings.Join(names, ","))
	}
	in := Input{Now: driveStart, Version: 1, Rules: parsed(t, text.String())}
	in.View = yuccamembership.NewView(largeList(in, region))
	for _, e := range in.View.Entries() {
		for _, s := range in.Rules.Services {
			in.Load = append(in.Load, Demand{Entry: e.Name, Service: s.Name, Region: s.Regions[0], Busy: 4, Bytes: 1e5, Latency: 20 * time.Millisecond})
		}
	}
	return in
}

func largeList(in Input, region func(int) string) []yuccastore.Instance {
	var list []yuccastore.Instance
	for i := range largeDomains {
		list = append(list, yuccastore.Instance{Name: fmt.Sprintf("domain%02d", i), Kind: yuccastore.KindEntry, Region: region(i)})
	}
	for i := range largeSites * 8 {
		s := in.Rules.Services[i%largeServices]
		list = append(list, yuccastore.Instance{Name: fmt.Sprint("server", i), Kind: yuccastore.KindServer,
			Region: s.Regions[i/largeServices%largeSpread], Slots: 8, Services: []string{s.Name}})
	}
	return list
}

// TestLargePlanFitsTheStore checks that a plan of the target's size can be kept
// and read again.
func TestLargePlanFitsTheStore(t *testing.T) {
	c := qt.New(t)
	p := Make(large(t))
	value, err := p.Encode()
	c.Assert(err, qt.IsNil)
	c.Assert(len(value) < yuccastore.MaxValue, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
	again, err := Decode(value)
	c.Assert(err, qt.IsNil)
	c.Assert(same(again, p), qt.IsTrue)
	c.Logf("%d budgets and %d routes in %d bytes", len(p.Budgets), len(p.Routes), len(value))
	plain, err := json.Marshal(p)
	c.Assert(err, qt.IsNil)
	again, err = Decode(plain)
	c.Assert(err, qt.IsNil)
	c.Assert(same(again, p), qt.IsTrue)
	_, err = Decode([]byte("no plan"))
	c.Assert(err, qt.ErrorMatches, "protocol: .*")
}

func BenchmarkLargePlan(b *testing.B) {
	in := large(b)
	in.Last = Make(in)
	in.Now = in.Now.Add(renewal)
	in = in.acked()
	b.ReportAllocs()
	for b.Loop() {
		Make(in)
	}
}

func BenchmarkArchivePlan(b *testing.B) {
	in := pair(b, shiftRule)
	b.ReportAllocs()
	for b.Loop() {
		Make(in)
	}
}
