package yuccaplan

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccaview"
)

// Input is everything a plan depends on.
type Input struct {
	Now time.Time
	// Rules and Version are the rules in force.
	Rules   yuccarule.Rules
	Version uint64
	// Epoch is that of the planner's lease.
	Epoch uint64
	View  yuccaview.View
	// Last is the plan before this one; its zero value means none.
	Last Plan
}

// Make returns the plan for an input. The same input gives the same plan.
func Make(in Input) Plan {
	p := Plan{Version: in.Last.Version + 1, Epoch: in.Epoch, Rules: in.Version, Made: in.Now}
	for _, s := range in.Rules.Services {
		usable := capacity(in, s)
		for _, from := range in.Rules.Regions {
			p.Routes = append(p.Routes, route(s, from.Name, usable))
		}
		p.Budgets = append(p.Budgets, budgets(in, s, usable)...)
	}
	slices.SortFunc(p.Routes, compareRoutes)
	slices.SortFunc(p.Budgets, compareBudgets)
	return p
}

// slots is the capacity of one region for one service.
type slots struct {
	region string
	count  int
}

func capacity(in Input, s yuccarule.Service) []slots {
	var all []slots
	for _, region := range s.Regions {
		if in.Rules.Drained(yuccarule.DrainRegion, region) {
			continue
		}
		if n := regionSlots(in, s.Name, region); n > 0 {
			all = append(all, slots{region, n})
		}
	}
	return all
}

func regionSlots(in Input, service, region string) int {
	n := 0
	for _, i := range in.View.Servers() {
		if i.Region == region && usable(in.Rules, i) && slices.Contains(i.Services, service) {
			n += i.Slots
		}
	}
	return n
}

func usable(rules yuccarule.Rules, i yuccastore.Instance) bool {
	return !i.Leaving && !rules.Drained(yuccarule.DrainServer, i.Addr)
}

// route keeps requests in their region where it has capacity and spreads them
// by capacity where it has none.
func route(s yuccarule.Service, from string, usable []slots) Route {
	r := Route{Service: s.Name, From: from}
	total := 0
	for _, u := range usable {
		if u.region == from {
			r.Shares = []Share{{Region: from, Part: 1}}
			return r
		}
		total += u.count
	}
	for _, u := range usable {
		r.Shares = append(r.Shares, Share{Region: u.region, Part: float64(u.count) / float64(total)})
	}
	return r
}

// nearWeight is the weight of an entry in a region's own domain of callers, as
// against 1 for an entry elsewhere.
const nearWeight = 8

// budgets divides a region's slots over the entries so that the sum never
// exceeds them. Entries in the region get more, since look-ups lead its callers
// to them.
func budgets(in Input, s yuccarule.Service, usable []slots) []Budget {
	var all []Budget
	entries := in.View.Entries()
	for _, u := range usable {
		total := 0
		for _, e := range entries {
			total += weight(e, u.region)
		}
		passed := 0
		for _, e := range entries {
			before := u.count * passed / total
			passed += weight(e, u.region)
			n := u.count*passed/total - before
			all = append(all, Budget{Entry: e.Name, Service: s.Name, Region: u.region, Slots: n})
		}
	}
	return all
}

func weight(e yuccastore.Instance, region string) int {
	if e.Region == region {
		return nearWeight
	}
	return 1
}
