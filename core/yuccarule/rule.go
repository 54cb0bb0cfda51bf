// Package yuccarule parses, validates, prints and compares rules files, by which
// operators control the traffic: regions, links, services, shifts, drains,
// expected peaks, service level goals and the regions of callers.
//
// A rules file holds one rule a line. A line starts with a keyword, followed by
// names and key=value pairs, and ends in a comment that names who asked for it:
//
//	shift web from=east to=west share=30%  # alice
//
// Parse returns the Rules of a file and its Problems. Rules.String prints the
// canonical form, and Diff lists the rules that differ between two versions. A
// Document is one version of the file as it is stored on the platform.
//
//	rules, problems := yuccarule.Parse("rules.txt", text)
//	if len(problems) > 0 {
//		return yuccarule.ProblemsError(problems) // The rules in force stay.
//	}
package yuccarule

import (
	"net/netip"
	"slices"
	"time"
)

// Source says where a rule comes from.
type Source struct {
	// Requester is who asked for the rule, from the comment on its line.
	Requester string
	// Line is the rule's line in the file, counted from 1.
	Line int
}

// Region is a location with backend servers (keyword region).
type Region struct {
	// Name is the region's name, which is also the name of a Site.
	Name string
	// Domains are the region's failure domains.
	Domains []string
	Source
}

// Link is the network connection between two regions (keyword link).
type Link struct {
	// A is the name of one region.
	A string
	// B is the name of the other region.
	B string
	// Bandwidth is the data rate in each direction.
	Bandwidth Rate
	Source
}

// Service is a service that callers address by host name (keyword service).
type Service struct {
	// Name is the service's name.
	Name string
	// Hosts are the host names, without a port.
	Hosts []string
	// Regions are the regions in which the service runs.
	Regions []string
	// Priority is the value of the key weight, from 1 (the default) to 1000. Under
	// overload, requests to the services of the lowest priority are shed first.
	Priority int
	Source
}

// ShiftLimit bounds how fast a service's traffic moves between regions (keyword
// cap).
type ShiftLimit struct {
	// Service is the name of the service.
	Service string
	// Step is the largest share of the traffic that moves within a Window.
	Step Share
	// Window is the length of the sliding window.
	Window time.Duration
	Source
}

// Shift moves a share of a service's traffic from one region to another
// (keyword shift).
type Shift struct {
	// Service is the name of the service.
	Service string
	// From is the region of the callers.
	From string
	// To is the region that serves the share.
	To string
	// Share is the part of the traffic from From that moves.
	Share Share
	Source
}

// Drain takes a region or a backend server out of use (keyword drain).
type Drain struct {
	// Kind says whether Name is a region or a server.
	Kind DrainKind
	// Name is a region's name, or a server's address as IP:port.
	Name string
	Source
}

// DrainKind says what a Drain names.
type DrainKind string

// The kinds of drains.
const (
	// DrainRegion drains a region.
	DrainRegion DrainKind = "region"
	// DrainServer drains a backend server.
	DrainServer DrainKind = "server"
)

// Peak is a load peak that operators expect (keyword event).
type Peak struct {
	// Name is the name of the peak.
	Name string
	// Service is the name of the service.
	Service string
	// Start is when the peak begins, in UTC.
	Start time.Time
	// Lead is how long before Start all traffic moves have to be complete.
	Lead time.Duration
	// Length is how long the peak lasts.
	Length time.Duration
	// Factor is the load as a multiple of the usual one, above 0 and up to 1000.
	Factor float64
	Source
}

// Goal is a service level objective (keyword goal): Share of the requests in
// each Window are answered within Latency.
type Goal struct {
	// Service is the name of the service.
	Service string
	// Latency is the longest time to an answer that meets the goal.
	Latency time.Duration
	// Share is the part of the requests that have to meet it.
	Share Share
	// Window is the length of the sliding window, at most 90 days.
	Window time.Duration
	Source
}

// Site is a location of callers (keyword site).
type Site struct {
	// Name is the site's name.
	Name string
	// Region is the region to which the site belongs.
	Region string
	Source
}

// CIDRBlock assigns the callers of a network prefix to a site (keyword block).
type CIDRBlock struct {
	// Prefix is the callers' network prefix.
	Prefix netip.Prefix
	// Site is the name of a Site or of a Region.
	Site string
	Source
}

// Rules is the content of one rules file. Each list is in the file's order.
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

// DefaultShiftLimit is the ShiftLimit of a service without a cap rule: 10% a
// minute.
var DefaultShiftLimit = ShiftLimit{Step: 10 * Percent, Window: time.Minute}

// Parse reads a rules file. The name appears only in problems. When there are
// problems, the rules are incomplete and must not be used.
func Parse(name string, text []byte) (Rules, []Problem) {
	lines, problems := splitLines(name, string(text))
	var rules Rules
	var statements []statement
	for _, l := range lines {
		r := &reader{file: name, line: l}
		rule := readRule(r, &rules)
		r.checkUnused()
		problems = append(problems, r.problems...)
		if len(r.problems) == 0 {
			statements = append(statements, statement{rule, l})
		}
	}
	problems = append(problems, check(name, rules, statements)...)
	sortProblems(problems)
	return rules, problems
}

// ShiftLimit returns the limit of a service, DefaultShiftLimit when no rule sets
// one.
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

// ServiceByHost returns the service with the given host name, which has no port. It
// reports whether there is one.
func (r Rules) ServiceByHost(host string) (Service, bool) {
	for _, s := range r.Services {
		for _, h := range s.Hosts {
			if h == host {
				return s, true
			}
		}
	}
	return Service{}, false
}

// Service returns the service with the given name and reports whether there is
// one.
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

// HasTrafficMove reports whether the rules shift the service or drain one of its
// regions.
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

// GoalOf returns the goal of a service and reports whether it has one.
func (r Rules) GoalOf(service string) (Goal, bool) {
	for _, g := range r.Goals {
		if g.Service == service {
			return g, true
		}
	}
	return Goal{}, false
}
