// Package yuccaplan decides how traffic is spread over regions and how much of
// each region every entry may use.
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
	// Routes is ordered by service, then by the region where requests arise.
	Routes []Route `json:"routes"`
	// Budgets is ordered by entry, service and region.
	Budgets []Budget `json:"budgets"`
}

// Route says where the requests of a service that arise in one region go.
type Route struct {
	Service string `json:"service"`
	From    string `json:"from"`
	// Shares sum to at most 1; requests of the remainder are refused.
	Shares []Share `json:"shares"`
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
	// Reserve is how many more it may have there when another region is lost
	// and nobody can plan.
	Reserve int `json:"reserve"`
	// Rate bounds the bytes per second of answers that the entry takes from the
	// region over links. Zero means that no link is used.
	Rate float64 `json:"rate"`
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

func compareRoutes(a, b Route) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
}

func compareBudgets(a, b Budget) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
}
