// Package yuccaplan decides how traffic is spread over regions and how much of
// each region every entry may use.
//
// Make is the planner: a pure function from rules, instances, load and the last
// plan to the next plan. What it returns stays safe while entries hold any mix
// of recent plans, provided that a plan is published only after the platform
// has accepted it and that entries take only higher versions.
package yuccaplan

import (
	"cmp"
	"slices"
	"time"
)

// Plan is one version of the decisions. It is immutable.
type Plan struct {
	// Version rises with every plan.
	Version uint64 `json:"version"`
	// Epoch is that of the lease under which the plan was made.
	Epoch uint64 `json:"epoch"`
	// Rules is the version of the rules it follows.
	Rules uint64 `json:"rules"`
	// Made is when the plan was made.
	Made time.Time `json:"made"`
	// Until is when the plan lapses. After that an entry uses ExpiredSlots in place of
	// Slots.
	Until time.Time `json:"until"`
	// MovesSince is the time since which Moves is complete.
	MovesSince time.Time `json:"known"`
	// Routes is ordered by service, then by the region where requests arise.
	Routes []Route `json:"routes"`
	// Budgets is ordered by entry, service and region.
	Budgets []Budget `json:"budgets"`
	// Members is ordered by name.
	Members []Member `json:"members"`
	// Moves is the recent history, oldest first.
	Moves []Move `json:"moves,omitempty"`
	// Ramps is ordered like Routes and names those that are not at their target.
	Ramps []Ramp `json:"ramps,omitempty"`
	// Baselines is ordered by service and region.
	Baselines []Baseline `json:"baselines,omitempty"`
	// Usage is ordered by service and region.
	Usage []Usage `json:"usage,omitempty"`
}

// Route says where the requests of a service that arise in one region go.
type Route struct {
	Service string `json:"service"`
	From    string `json:"from"`
	// Shares sum to at most 1; requests of the remainder are refused.
	Shares []Share `json:"shares"`
	// Unroutable are parts assigned to regions without capacity. Their requests are
	// refused until the region returns or the cap lets them move.
	Unroutable []Share `json:"held,omitempty"`
	// Spill names the regions that may take requests for which the budget of
	// their share is used up, in this order, inside the budgets there.
	Spill []string `json:"spill,omitempty"`
	// SpillPart bounds the part of the route's requests that may spill. The
	// ramps leave it out of the cap, so that both together stay within it.
	SpillPart float64 `json:"spillpart,omitempty"`
}

// Share is the part of a route that goes to one region, from 0 to 1.
type Share struct {
	Region string  `json:"region"`
	Part   float64 `json:"part"`
}

// Budget is what one entry may use of one service in one region.
type Budget struct {
	Entry   string `json:"entry"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Slots is how many requests the entry may have in flight there.
	Slots int `json:"slots"`
	// ExpiredSlots is the part of Slots that stays when the plan has lapsed.
	ExpiredSlots int `json:"floor"`
	// Reserve is how many more it may have there for requests that spill, also
	// when another region is lost and nobody can plan. It does not lapse.
	Reserve int `json:"reserve"`
	// Rate bounds the bytes per second of answers that the entry takes from the
	// region over links. Zero means that no capped link is used. It does not
	// lapse.
	Rate float64 `json:"rate"`
	// Prior is what the entry may still use under earlier plans.
	Prior PriorLimits `json:"past,omitzero"`
}

// PriorLimits is what earlier plans allow an entry that has not taken a later one.
type PriorLimits struct {
	// Version is the plan that ends it once the entry has that one in force.
	Version uint64 `json:"version"`
	// Until is when the last of the earlier plans lapses.
	Until time.Time `json:"until"`
	// Slots, with the reserve, is allowed before Until; ExpiredSlots after it.
	Slots        int     `json:"slots"`
	ExpiredSlots int     `json:"floor"`
	Rate         float64 `json:"rate,omitempty"`
}

// Member is an entry that may hold a plan.
type Member struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Gone is since when the instance is missing from the list.
	Gone time.Time `json:"gone,omitzero"`
}

// Move is a change of a route that counts against its cap.
type Move struct {
	Service string    `json:"service"`
	From    string    `json:"from"`
	At      time.Time `json:"at"`
	Part    float64   `json:"part"`
	// Version is the plan that made the move.
	Version uint64 `json:"version"`
	// AppliedAt is when every entry was known to have made the move.
	AppliedAt time.Time `json:"force,omitzero"`
}

// Ramp is a route on its way to its target.
type Ramp struct {
	Service string `json:"service"`
	From    string `json:"from"`
	// Left is the part that has yet to move.
	Left float64 `json:"left"`
	// End is the estimated time of the last move.
	End time.Time `json:"end"`
}

// Baseline is the latency of a service in a region when nothing moves.
type Baseline struct {
	Service string        `json:"service"`
	Region  string        `json:"region"`
	Latency time.Duration `json:"latency"`
}

// Usage is the load of a service that arises in a region.
type Usage struct {
	Service string `json:"service"`
	From    string `json:"from"`
	// Busy is the number of requests in flight.
	Busy float64 `json:"busy"`
	// Bytes is the rate of answers in bytes per second.
	Bytes float64 `json:"bytes"`
}

// Route returns the route of a service from a region.
func (p Plan) Route(service, from string) (Route, bool) {
	key := Route{Service: service, From: from}
	i, ok := slices.BinarySearchFunc(p.Routes, key, compareRoutes)
	if !ok {
		return Route{}, false
	}
	return p.Routes[i], true
}

// Budget returns the budget of an entry for a service in a region.
func (p Plan) Budget(entry, service, region string) (Budget, bool) {
	key := Budget{Entry: entry, Service: service, Region: region}
	i, ok := slices.BinarySearchFunc(p.Budgets, key, compareBudgets)
	if !ok {
		return Budget{}, false
	}
	return p.Budgets[i], true
}

// BudgetAt is Budget with what is left of it at a time: once the plan has
// lapsed, Slots is ExpiredSlots.
func (p Plan) BudgetAt(now time.Time, entry, service, region string) (Budget, bool) {
	b, ok := p.Budget(entry, service, region)
	if ok && p.Lapsed(now) {
		b.Slots = b.ExpiredSlots
	}
	return b, ok
}

// Lapsed reports whether the plan's lifetime is over. A plan without one never
// lapses.
func (p Plan) Lapsed(now time.Time) bool {
	return !p.Until.IsZero() && !now.Before(p.Until)
}

func compareRoutes(a, b Route) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
}

func compareBudgets(a, b Budget) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
}
