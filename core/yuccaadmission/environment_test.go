package yuccaadmission_test

import (
	"fmt"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// environment is a plan, rules and a view of one region with a service s.
type environment struct {
	entries []string
	slots   int
	plan    yuccaplan.Plan
	rules   yuccarule.Rules
	view    yuccamembership.View
}

// newEnvironment divides the slots of the servers evenly among the entries.
func newEnvironment(entries, servers, slots int) environment {
	w := environment{slots: slots}
	var list []yuccastore.Instance
	for i := range entries {
		name := fmt.Sprintf("e%d", i)
		w.entries = append(w.entries, name)
		list = append(list, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Region: "a"})
	}
	for i := range servers {
		name := fmt.Sprintf("s%d", i)
		list = append(list, yuccastore.Instance{Name: name, Kind: yuccastore.KindServer, Region: "a", Addr: name, Slots: slots, Services: []string{"s"}})
	}
	w.view = yuccamembership.NewView(list)
	w.plan = yuccaplan.Plan{Version: 1, Routes: []yuccaplan.Route{{Service: "s", From: "a", Shares: []yuccaplan.Share{{Region: "a", Fraction: 1}}}}}
	total := servers * slots
	for i, name := range w.entries {
		n := total*(i+1)/entries - total*i/entries
		w.plan.Budgets = append(w.plan.Budgets, yuccaplan.Budget{Entry: name, Service: "s", Region: "a", Slots: n})
	}
	return w
}
