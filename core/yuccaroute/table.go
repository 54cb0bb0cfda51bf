package yuccaroute

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync/atomic"
)

// Table finds routes. It is immutable but for the turns of the parts of split
// routes. Make one with New.
type Table struct {
	config   Config
	hosts    map[string][]*entry
	services map[string]Service
}

// entry is a route with the number of requests that it has dealt out.
type entry struct {
	Route
	total float64
	dealt atomic.Uint64
}

// New returns the table of a version of the routes.
func New(c Config) *Table {
	t := &Table{config: c, hosts: map[string][]*entry{}, services: map[string]Service{}}
	for _, r := range c.Routes {
		e := &entry{Route: r}
		e.Version = c.Version
		for _, p := range r.Services {
			e.total += p.Weight
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *entry) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version of the routes.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Service returns what the rules say of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// AllowsRegion reports whether some route of a host may send requests to a region.
func (t *Table) AllowsRegion(host, region string) bool {
	for _, e := range t.hosts[strings.ToLower(host)] {
		if e.allows(region) {
			return true
		}
	}
	return false
}

// Find returns the route with the longest prefix of the path among those of the
// host, and the service whose turn it is.
func (t *Table) Find(host, path string) (*Route, string, bool) {
	for _, e := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return &e.Route, e.deal(), true
		}
	}
	return nil, "", false
}

// deal chooses a part by the fractional parts of the multiples of the golden
// ratio, which fill the range evenly over any run of requests.
func (e *entry) deal() string {
	if len(e.Services) == 1 {
		return e.Services[0].Service
	}
	n := e.dealt.Add(1)
	_, place := math.Modf(float64(n) * (math.Phi - 1))
	place *= e.total
	for _, p := range e.Services {
		if place -= p.Weight; place < 0 {
			return p.Service
		}
	}
	return e.Services[len(e.Services)-1].Service
}
