// Package yuccaplan computes the traffic plan of the fleet: how the traffic of
// each service is split over regions, and how many requests each entry (a proxy
// instance of the system) may have in flight to each region.
//
// Make is the planner. It is a pure function of the traffic rules, the list of
// instances, the measured load and the last plan, which together form an Input.
// The result is a Plan with one Route per service and region of origin and one
// Budget per entry, service and region. Route changes are spread over several
// plans so that they stay within the shift limit of the service:
//
//	in := yuccaplan.Input{Now: now, Rules: rules, View: view, Last: last}
//	plan := yuccaplan.Make(in)
//	route, ok := plan.Route("search", "east")
//	budget, ok := plan.BudgetAt(now, "entry1", "search", "east")
//
// The limits hold while entries use any mix of recent plans, on two conditions:
// a plan is published only after the platform has accepted it, and an entry
// never replaces its plan by one with a lower version.
//
// Simulate runs the planner through virtual time to forecast what a change of
// the rules does, and Warnings reports problems that a plan leads to.
package yuccaplan

import (
	"cmp"
	"slices"
	"time"
)

// Plan is one version of the traffic plan. It is immutable.
type Plan struct {
	// Version is the version of the plan. It increases with every plan.
	Version uint64 `json:"version"`
	// Epoch is the epoch (fencing token) of the lease under which the plan was
	// made.
	Epoch uint64 `json:"epoch"`
	// RulesVersion is the version of the traffic rules that the plan follows.
	RulesVersion uint64 `json:"rules"`
	// CreatedAt is the time at which the plan was made.
	CreatedAt time.Time `json:"made"`
	// ExpiresAt is the time at which the plan expires. From then on an entry uses
	// Budget.ExpiredSlots in place of Budget.Slots. The zero time means that the
	// plan never expires.
	ExpiresAt time.Time `json:"until"`
	// MovesSince is the time since which Moves is complete.
	MovesSince time.Time `json:"known"`
	// Routes holds one route per service and region of origin, ordered by service
	// and region.
	Routes []Route `json:"routes"`
	// Budgets holds the entries' budgets, ordered by entry, service and region.
	Budgets []Budget `json:"budgets"`
	// Members lists the entries that may use a plan, ordered by name.
	Members []Member `json:"members"`
	// Moves is the recent history of route changes, oldest first.
	Moves []Move `json:"moves,omitempty"`
	// Ramps lists the routes that are not at their target, ordered like Routes.
	Ramps []Ramp `json:"ramps,omitempty"`
	// Baselines holds the latency baselines, ordered by service and region.
	Baselines []Baseline `json:"baselines,omitempty"`
	// Usage is the measured load, ordered by service and region of origin.
	Usage []Usage `json:"usage,omitempty"`
}

// Route is the split of a service's requests that arise in one region over the
// regions that serve them.
type Route struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// From is the region where the requests arise.
	From string `json:"from"`
	// Shares are the shares of the regions with capacity. They add up to at most
	// 1. Entries reject the requests of the remainder.
	Shares []Share `json:"shares"`
	// Unroutable are the shares of regions without capacity. Entries reject their
	// requests until the region has capacity again or the shift limit lets the
	// share move to another region.
	Unroutable []Share `json:"held,omitempty"`
	// SpilloverRegions lists the regions, in order of preference, for spillover: requests
	// for which the entry has no budget left in the region of their share.
	// Spillover uses the entry's budgets in these regions.
	SpilloverRegions []string `json:"spill,omitempty"`
	// SpilloverFraction is the largest fraction of the route's requests that may spill,
	// from 0 to 1. Ramps leave this part of the shift limit unused, so that ramps
	// and spillover together stay within the limit.
	SpilloverFraction float64 `json:"spillpart,omitempty"`
}

// Share is the fraction of a route's requests that goes to one region.
type Share struct {
	// Region is the region that serves the requests.
	Region string `json:"region"`
	// Fraction is the fraction, from 0 to 1.
	Fraction float64 `json:"part"`
}

// Budget is the limit of one entry's use of one service in one region.
type Budget struct {
	// Entry is the name of the entry.
	Entry string `json:"entry"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Region is the region of the servers.
	Region string `json:"region"`
	// Slots is the number of requests that the entry may have in flight.
	Slots int `json:"slots"`
	// ExpiredSlots is the part of Slots that remains after the plan has expired.
	ExpiredSlots int `json:"floor"`
	// Reserve is the number of additional requests that the entry may have in
	// flight as spillover. It does not expire, so that spillover works when a
	// region is lost and no planner is available.
	Reserve int `json:"reserve"`
	// Rate limits the responses that the entry receives from the region over
	// links, in bytes per second. Zero means that no limit applies, because no
	// link with a cap connects the entry to the region. The rate does not expire.
	Rate float64 `json:"rate"`
	// Prior is the largest use that earlier plans still allow the entry.
	Prior PriorLimits `json:"past,omitzero"`
}

// PriorLimits is the use that earlier plans allow an entry as long as it has not
// applied a later plan.
type PriorLimits struct {
	// Version is the version of the plan that ends these limits once the entry
	// has applied it.
	Version uint64 `json:"version"`
	// Until is the time at which the last of the earlier plans expires.
	Until time.Time `json:"until"`
	// Slots is the number of requests allowed in flight before ExpiresAt, reserve
	// included.
	Slots int `json:"slots"`
	// ExpiredSlots is the number of requests allowed in flight from ExpiresAt on,
	// reserve included.
	ExpiredSlots int `json:"floor"`
	// Rate is the rate allowed over links, in bytes per second.
	Rate float64 `json:"rate,omitempty"`
}

// Member is an entry that may use a plan.
type Member struct {
	// Name is the name of the entry.
	Name string `json:"name"`
	// Region is the region of the entry.
	Region string `json:"region"`
	// MissingSince is the time since which the entry is missing from the list of
	// instances. It is zero while the entry is listed.
	MissingSince time.Time `json:"gone,omitzero"`
}

// Move is a change of a route that counts against the service's shift limit.
type Move struct {
	// Service is the service of the route.
	Service string `json:"service"`
	// From is the region where the route's requests arise.
	From string `json:"from"`
	// At is the time of the plan that made the move.
	At time.Time `json:"at"`
	// Fraction is the fraction of the route that moved, from 0 to 1.
	Fraction float64 `json:"part"`
	// Version is the version of the plan that made the move.
	Version uint64 `json:"version"`
	// AppliedAt is the time at which every entry was known to have applied the
	// move. It is zero until then.
	AppliedAt time.Time `json:"force,omitzero"`
}

// Ramp is a route that moves to its target in steps.
type Ramp struct {
	// Service is the service of the route.
	Service string `json:"service"`
	// From is the region where the route's requests arise.
	From string `json:"from"`
	// Remaining is the fraction of the route that has yet to move, from 0 to 1.
	Remaining float64 `json:"left"`
	// End is the estimated time of the last move.
	End time.Time `json:"end"`
}

// Baseline is the normal latency of a service in a region, while no route is
// ramping.
type Baseline struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Region is the region of the servers.
	Region string `json:"region"`
	// Latency is the mean time to the response header.
	Latency time.Duration `json:"latency"`
}

// Usage is the load of a service by the region where the requests arise.
type Usage struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// From is the region where the requests arise.
	From string `json:"from"`
	// InFlight is the mean number of requests in flight.
	InFlight float64 `json:"busy"`
	// Bytes is the rate of responses in bytes per second.
	Bytes float64 `json:"bytes"`
}

// Route returns the route of a service for requests that arise in a region. It
// returns false if the plan has none.
func (p Plan) Route(service, from string) (Route, bool) {
	key := Route{Service: service, From: from}
	i, ok := slices.BinarySearchFunc(p.Routes, key, compareRoutes)
	if !ok {
		return Route{}, false
	}
	return p.Routes[i], true
}

// Budget returns the budget of an entry for a service in a region. It returns
// false if the plan has none.
func (p Plan) Budget(entry, service, region string) (Budget, bool) {
	key := Budget{Entry: entry, Service: service, Region: region}
	i, ok := slices.BinarySearchFunc(p.Budgets, key, compareBudgets)
	if !ok {
		return Budget{}, false
	}
	return p.Budgets[i], true
}

// BudgetAt returns the budget of an entry as it applies at the given time. If the
// plan has expired by then, Slots equals ExpiredSlots.
func (p Plan) BudgetAt(now time.Time, entry, service, region string) (Budget, bool) {
	b, ok := p.Budget(entry, service, region)
	if ok && p.Expired(now) {
		b.Slots = b.ExpiredSlots
	}
	return b, ok
}

// Expired reports whether the plan has expired at the given time. A plan with a
// zero ExpiresAt never expires.
func (p Plan) Expired(now time.Time) bool {
	return !p.ExpiresAt.IsZero() && !now.Before(p.ExpiresAt)
}

func compareRoutes(a, b Route) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
}

func compareBudgets(a, b Budget) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
}
