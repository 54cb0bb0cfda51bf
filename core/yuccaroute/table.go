package yuccaroute

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync/atomic"

	"yuccawell.example/core/yuccaaccount"
)

// Table finds the routes of requests. It is immutable except for the counters
// that split requests between services, and safe for concurrent use. Create one
// with New.
type Table struct {
	config   Config
	hosts    map[string][]*routeState
	services map[string]Service
	// accounts is nil if the config has no accounts.
	accounts *yuccaaccount.Directory
}

// routeState is a route with the state that splits its requests by weight.
type routeState struct {
	Route
	// totalWeight is the sum of the weights of the route's services.
	totalWeight float64
	// picks counts the calls of nextService.
	picks atomic.Uint64
}

// New returns the table of a config that has passed Check.
func New(c Config) *Table {
	t := &Table{config: c, hosts: map[string][]*routeState{}, services: map[string]Service{}}
	for _, r := range c.Routes {
		e := &routeState{Route: r}
		e.Version = c.Version
		for _, p := range r.Services {
			e.totalWeight += p.Weight
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *routeState) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	if len(c.Accounts) > 0 {
		t.accounts = yuccaaccount.New(c.Accounts)
	}
	return t
}

// NewAfter returns the table of a config that has passed Check and follows the config of
// another table, so that its directory of accounts knows which keys were revoked. The
// previous table may be nil.
func NewAfter(previous *Table, c Config) *Table {
	t := New(c)
	if t.accounts != nil && previous != nil {
		t.accounts = t.accounts.WithRevoked(previous.accounts, c.Version)
	}
	return t
}

// Version returns the version of the config.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Accounts returns the client accounts, nil if the config has none.
func (t *Table) Accounts() *yuccaaccount.Directory { return t.accounts }

// Service returns the settings of a service, and false if the config has none.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// AllowsRegion reports whether any route of a host may send requests to a
// region.
func (t *Table) AllowsRegion(host, region string) bool {
	for _, e := range t.hosts[strings.ToLower(host)] {
		if e.allows(region) {
			return true
		}
	}
	return false
}

// Find returns the route of the host with the longest prefix of the path, and
// the service chosen for this request. It returns false if no route matches.
func (t *Table) Find(host, path string) (*Route, string, bool) {
	e, ok := t.match(host, path)
	if !ok {
		return nil, "", false
	}
	return &e.Route, e.nextService(), true
}

// Peek returns the route that Find would return. As it chooses no service, it leaves the
// split of the requests as it is.
func (t *Table) Peek(host, path string) (*Route, bool) {
	e, ok := t.match(host, path)
	if !ok {
		return nil, false
	}
	return &e.Route, true
}

func (t *Table) match(host, path string) (*routeState, bool) {
	for _, e := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e, true
		}
	}
	return nil, false
}

// nextService chooses a service by the fractional parts of the multiples of the
// golden ratio. They spread evenly over the range from 0 to 1, so that any run
// of requests is split close to the weights.
func (e *routeState) nextService() string {
	if len(e.Services) == 1 {
		return e.Services[0].Service
	}
	n := e.picks.Add(1)
	_, point := math.Modf(float64(n) * (math.Phi - 1))
	point *= e.totalWeight
	for _, p := range e.Services {
		if point -= p.Weight; point < 0 {
			return p.Service
		}
	}
	return e.Services[len(e.Services)-1].Service
}
