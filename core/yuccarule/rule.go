// Package yuccarule reads, checks, prints and compares the rules by which
// operators steer. A rules file holds one rule a line; every line ends in a
// comment that names who asked for it.
//
//	rules, faults := yuccarule.Parse("rules.txt", text)
//	if len(faults) > 0 {
//		// nothing changes; print every fault
//	}
package yuccarule

import (
	"net/netip"
	"slices"
	"time"
)

// Source says where a rule stands and who asked for it.
type Source struct {
	Requester string
	Line      int
}

// Region is a place with servers, made of failure domains.
type Region struct {
	Name    string
	Domains []string
	Source
}

// Link is the connection between two regions. Bandwidth is its rate each way.
type Link struct {
	A, B      string
	Bandwidth Rate
	Source
}

// Service is what callers ask for by host name. Priority orders services when
// some must be shed: the lowest is shed first.
type Service struct {
	Name     string
	Hosts    []string
	Regions  []string
	Priority int
	Source
}

// ShiftLimit bounds how much of a service's traffic moves in any window of length
// Window.
type ShiftLimit struct {
	Service string
	Step    Share
	Window  time.Duration
	Source
}

// Shift moves a share of a service's traffic that arises in one region to
// another.
type Shift struct {
	Service  string
	From, To string
	Share    Share
	Source
}

// Drain takes a region or a server out of use.
type Drain struct {
	Kind DrainKind
	Name string
	Source
}

// DrainKind says what a Drain names.
type DrainKind string

// What may be drained.
const (
	DrainRegion DrainKind = "region"
	DrainServer DrainKind = "server"
)

// Peak is a peak known beforehand. Factor is its load as a multiple of the
// usual; Lead is how long before Start all moves have ended.
type Peak struct {
	Name    string
	Service string
	Start   time.Time
	Lead    time.Duration
	Length  time.Duration
	Factor  float64
	Source
}

// Goal is a service level: Share of requests answered within Latency over
// Window.
type Goal struct {
	Service string
	Latency time.Duration
	Share   Share
	Window  time.Duration
	Source
}

// Site is a place of callers that belongs to a region.
type Site struct {
	Name   string
	Region string
	Source
}

// CIDRBlock places the callers of a network prefix at a site. A region's name is
// also the name of a site.
type CIDRBlock struct {
	Prefix netip.Prefix
	Site   string
	Source
}

// Rules is the content of one rules file.
type Rules struct {
	Regions     []Region
	Links       []Link
	Services    []Service
	ShiftLimits []ShiftLimit
	Shifts      []Shift
	Drains      []Drain
	Peaks       []Peak
	Goals       []Goal
	Sites       []Site
	Blocks      []CIDRBlock
}

// DefaultShiftLimit bounds the shifts of a service without a cap rule.
var DefaultShiftLimit = ShiftLimit{Step: 10 * Percent, Window: time.Minute}

// Parse reads a rules file. The name is used in faults only. When any fault is
// returned, the rules must not be used.
func Parse(name string, text []byte) (Rules, []Problem) {
	lines, faults := lex(name, string(text))
	var rules Rules
	var read []statement
	for _, l := range lines {
		r := &reader{file: name, line: l}
		rule := readRule(r, &rules)
		r.end()
		faults = append(faults, r.faults...)
		if len(r.faults) == 0 {
			read = append(read, statement{rule, l})
		}
	}
	faults = append(faults, check(name, rules, read)...)
	sortFaults(faults)
	return rules, faults
}

// ShiftLimit returns the cap of a service, DefaultShiftLimit where no rule sets one.
func (r Rules) ShiftLimit(service string) ShiftLimit {
	for _, c := range r.ShiftLimits {
		if c.Service == service {
			return c
		}
	}
	c := DefaultShiftLimit
	c.Service = service
	return c
}

// ServiceOf returns the service whose rule names host, which carries no port.
func (r Rules) ServiceOf(host string) (Service, bool) {
	for _, s := range r.Services {
		for _, h := range s.Hosts {
			if h == host {
				return s, true
			}
		}
	}
	return Service{}, false
}

// Service returns the service with the given name.
func (r Rules) Service(name string) (Service, bool) {
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Drained reports whether a drain rule names the region or server.
func (r Rules) Drained(kind DrainKind, name string) bool {
	for _, d := range r.Drains {
		if d.Kind == kind && d.Name == name {
			return true
		}
	}
	return false
}

// HasTrafficMove reports whether a shift of the service or a drain of one of its
// regions is in the rules.
func (r Rules) HasTrafficMove(service string) bool {
	for _, s := range r.Shifts {
		if s.Service == service {
			return true
		}
	}
	s, ok := r.Service(service)
	if !ok {
		return false
	}
	return slices.ContainsFunc(s.Regions, func(name string) bool { return r.Drained(DrainRegion, name) })
}

// GoalOf returns the goal of a service.
func (r Rules) GoalOf(service string) (Goal, bool) {
	for _, g := range r.Goals {
		if g.Service == service {
			return g, true
		}
	}
	return Goal{}, false
}
