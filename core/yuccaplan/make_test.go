package yuccaplan_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

const rulesText = `region a domains=a1 # t
region b domains=b1 # t
service s host=s regions=a,b # t
`

// TestBudgetsStayInsideCapacity checks, for any number of entries and servers,
// that the budgets of a region, reserves included, add up to its slots, and that
// the shares of a route add up to 1.
func TestBudgetsStayInsideCapacity(t *testing.T) {
	rules, faults := yuccarule.Parse("r", []byte(rulesText))
	qt.Assert(t, faults, qt.HasLen, 0)
	rapid.Check(t, func(t *rapid.T) {
		var list []yuccastore.Instance
		capacity := map[string]int{}
		regions := rapid.SampledFrom([]string{"a", "b"})
		for i := range rapid.IntRange(1, 12).Draw(t, "entries") {
			list = append(list, yuccastore.Instance{Name: fmt.Sprint("e", i), Kind: yuccastore.KindEntry, Region: regions.Draw(t, "region")})
		}
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			s := yuccastore.Instance{Name: fmt.Sprint("s", i), Kind: yuccastore.KindServer, Region: regions.Draw(t, "region"),
				Slots: rapid.IntRange(1, 9).Draw(t, "slots"), Services: []string{"s"}, Leaving: rapid.Bool().Draw(t, "leaving")}
			list = append(list, s)
			if !s.Leaving {
				capacity[s.Region] += s.Slots
			}
		}
		p := yuccaplan.Make(yuccaplan.Input{Rules: rules, RulesVersion: 1, View: yuccamembership.NewView(list)})
		sum := map[string]int{}
		for _, b := range p.Budgets {
			sum[b.Region] += b.Slots + b.Reserve
		}
		for region, slots := range capacity {
			if sum[region] != slots {
				t.Fatalf("budgets of %s add up to %d, capacity is %d", region, sum[region], slots)
			}
		}
		for _, r := range p.Routes {
			total := 0.0
			for _, s := range r.Shares {
				total += s.Fraction
			}
			if total > 1.000001 || len(r.Shares) > 0 && total < 0.999999 {
				t.Fatalf("shares of %s from %s add up to %f", r.Service, r.From, total)
			}
		}
	})
}
