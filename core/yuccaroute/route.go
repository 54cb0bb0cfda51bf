// Package yuccaroute decides what a request asks for: the service that serves
// it, what may be repeated, how long it may take and where it may run.
//
//	table := yuccaroute.New(config)
//	route, ok := table.Find("search.example", "/books/17")
//	service := table.Service(route)
package yuccaroute

import (
	"slices"
	"time"
)

// Route is one rule for the requests of a host whose paths begin with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Version is that of the routes of which this is one.
	Version uint64
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is of full use.
	LatencyTarget time.Duration
	// Priority is the rank of the requests: 0 is the most urgent.
	Priority int
	// MaxTries is how many backend servers one request may be sent to.
	MaxTries int
	// Affinity says that a server is faster with an object it has lately had.
	Affinity bool
	// Regions are the only ones in which the requests may run; none means any.
	Regions []string
	// Services are the services that share the requests.
	Services []WeightedService
}

// WeightedService is one service's share of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is what the rules say of a service's backend servers.
type Service struct {
	Name string
	// MaxConns is how many connections a server takes from all callers.
	MaxConns int
	// ColdRate is how many requests a second a cold server bears.
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the routes.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// allows reports whether requests of the route may run in a region.
func (r *Route) allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}
