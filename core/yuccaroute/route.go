// Package yuccaroute is the routing table of an entry (a proxy instance of the
// system). A route matches requests by host and path prefix. It names the
// service that serves them, says whether they may be retried, and sets their
// timeout and the regions where they may run.
//
// A Config is one version of the routes as data. A Table, made from a Config
// that passed Check, finds the route of a request. Where a route splits its
// requests between several services by weight, Find also chooses the service.
//
//	if err := config.Check(); err != nil {
//		return err
//	}
//	table := yuccaroute.New(config)
//	route, service, ok := table.Find("search.example", "/books/17")
package yuccaroute

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccaaccount"
)

// Route is a rule for the requests to one host whose paths begin with a prefix.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is the host name of the requests; case is ignored.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Version is the version of the Config that the route belongs to. New sets
	// it.
	Version uint64
	// Idempotent says that the requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// LatencyTarget is the time within which a response is fully useful to the
	// caller; zero means no target.
	LatencyTarget time.Duration
	// Priority is the priority of the requests: 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of backend servers that one request may be
	// sent to.
	MaxAttempts int
	// Affinity says that requests for the same object should go to the same
	// backend server, which is faster with an object that it served recently.
	Affinity bool
	// Regions are the only regions in which the requests may run; none means
	// any.
	Regions []string
	// Anonymous says that requests without the key of an account are served too.
	Anonymous bool
	// Bulk says that the responses are long, such as downloads.
	Bulk bool
	// Services are the services between which the requests are split.
	Services []WeightedService
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	// Service is the name of the service.
	Service string
	// Weight is the share of the requests, relative to the sum of the route's
	// weights.
	Weight float64
}

// Service holds the settings of a service's backend servers.
type Service struct {
	// Name is the name of the service.
	Name string
	// MaxConns is the number of connections that one server accepts from all
	// callers.
	MaxConns int
	// SlowStartRate is the number of requests a second that a server can serve while
	// it is cold, which is at the start of its slow start.
	SlowStartRate float64
}

// Limits bounds what callers may send.
type Limits struct {
	// HeaderBytes is the largest request header, in bytes.
	HeaderBytes int
	// BodyBytes is the largest request body, in bytes.
	BodyBytes int
	// HeaderTimeout is the longest time for reading a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a caller's connection may be idle.
	IdleTimeout time.Duration
}

// Config is one version of the routes and the settings that belong to them.
type Config struct {
	// Version numbers the config, from 1.
	Version uint64
	// Routes are the routes in any order.
	Routes []Route
	// Services are the services that the routes may name.
	Services []Service
	// Limits apply to all callers.
	Limits Limits
	// Accounts are the client accounts; none means that requests need no key.
	Accounts []yuccaaccount.Account
}

// allows reports whether requests of the route may run in a region.
func (r *Route) allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}
