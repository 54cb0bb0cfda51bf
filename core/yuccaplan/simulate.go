package yuccaplan

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
)

// Forecast is the result of a simulation.
type Forecast struct {
	// Steps are the moments at which traffic moves, in order of time. The first
	// is the start of the simulation.
	Steps []Step `json:"steps"`
	// Drains holds the end of each drain in the rules.
	Drains []DrainEnd `json:"drains,omitempty"`
	// Warnings are the problems found, each reported once.
	Warnings []Warning `json:"warnings,omitempty"`
	// Settled reports whether every route has reached its target.
	Settled bool `json:"ended"`
}

// Step is one moment of a simulation at which traffic moves.
type Step struct {
	// At is the virtual time of the step.
	At time.Time `json:"at"`
	// Routes are the routes that change, after the change.
	Routes []Route `json:"routes"`
	// Headroom is the expected load and the capacity of each service and region.
	Headroom []Headroom `json:"room"`
	// Links is the expected load and the cap of each link.
	Links []LinkHeadroom `json:"links,omitempty"`
}

// Headroom is the expected load and the capacity of a service in a region.
type Headroom struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Region is the region of the servers.
	Region string `json:"region"`
	// InFlight is the expected number of requests in flight.
	InFlight float64 `json:"busy"`
	// Slots is the number of slots of the servers.
	Slots int `json:"slots"`
}

// LinkHeadroom is the expected load and the cap of one direction of a link.
type LinkHeadroom struct {
	// From is the region of the servers.
	From string `json:"from"`
	// To is the region of the entries.
	To string `json:"to"`
	// Bytes is the expected load in bytes per second.
	Bytes float64 `json:"bytes"`
	// Cap is the cap of the link in bytes per second.
	Cap float64 `json:"cap"`
}

// DrainEnd is the time at which a drain ends.
type DrainEnd struct {
	// Kind says whether the drain is of a region or of a server.
	Kind yuccarule.DrainKind `json:"kind"`
	// Name is the name of the region or the address of the server.
	Name string `json:"name"`
	// End is the time from which no route leads to the region. It is zero if
	// the drain does not end in the simulation. For a server it is the start of
	// the simulation.
	End time.Time `json:"end,omitzero"`
}

const (
	// simulationTick is the virtual time between two plans during a ramp.
	simulationTick = 5 * time.Second
	// maxSimulationSteps is the largest number of plans in a simulation.
	maxSimulationSteps = 20_000
)

// Simulate runs the planner through virtual time until no route is ramping and no
// event is left before the horizon. It assumes that entries apply each plan at
// once, that the load changes only by the factors of events, and that latencies
// stay at their baselines.
func Simulate(in Input, horizon time.Duration) Forecast {
	s := &simulation{in: in, end: in.Now.Add(horizon), drained: map[yuccarule.Drain]time.Time{}, warned: map[Warning]bool{}}
	s.usage = newPlanner(in, faultOptions{}).usage
	s.reportDemand()
	for range maxSimulationSteps {
		p := Make(s.in)
		s.record(p)
		if !s.advance(p) {
			break
		}
	}
	return s.finish()
}

// simulation is the state of one call of Simulate.
type simulation struct {
	// in is the planner's input at the current virtual time.
	in Input
	// end is the virtual time at which the simulation stops.
	end time.Time
	// usage is the load at the start, by service and region of origin.
	usage map[serviceRegion]Usage
	// result is the forecast built so far.
	result Forecast
	// drained is the end of each drain that has ended.
	drained map[yuccarule.Drain]time.Time
	// warned holds the keys of the warnings already reported.
	warned map[Warning]bool
}

// reportDemand sets the load that entries would report at the current virtual
// time. One entry per region reports for all entries of its region.
func (s *simulation) reportDemand() {
	s.in.Demands = nil
	reported := map[string]bool{}
	for _, e := range s.in.View.Entries() {
		if reported[e.Region] {
			continue
		}
		reported[e.Region] = true
		for _, service := range s.in.Rules.Services {
			s.reportService(e.Name, e.Region, service.Name)
		}
	}
}

// reportService adds the demand of one entry for a service, for each region.
func (s *simulation) reportService(entry, from, service string) {
	u := s.usage[serviceRegion{service, from}]
	factor := s.peakFactor(service)
	route, ok := s.in.Last.Route(service, from)
	if !ok {
		route.Shares = []Share{{Region: from, Fraction: 1}}
	}
	for _, region := range s.in.Rules.Regions {
		d := Demand{Entry: entry, Service: service, Region: region.Name}
		d.Latency, _ = baselineOf(s.in.Last.Baselines, serviceRegion{service, region.Name})
		for _, share := range route.Shares {
			if share.Region == region.Name {
				d.InFlight = u.InFlight * share.Fraction * factor
				d.Bytes = u.Bytes * share.Fraction * factor
			}
		}
		s.in.Demands = append(s.in.Demands, d)
	}
}

// peakFactor returns the load factor of the event in progress for a service, or 1.
func (s *simulation) peakFactor(service string) float64 {
	for _, e := range s.in.Rules.Peaks {
		if e.Service == service && !s.in.Now.Before(e.Start) && s.in.Now.Before(e.Start.Add(e.Length)) {
			return e.Factor
		}
	}
	return 1
}

// record adds a plan's route changes, new warnings and ended drains to the result.
func (s *simulation) record(p Plan) {
	w := newPlanner(s.in, faultOptions{})
	w.in.Last = p
	w.projectLoad()
	if routes := s.changedRoutes(p); len(routes) > 0 || len(s.result.Steps) == 0 {
		s.result.Steps = append(s.result.Steps, Step{At: s.in.Now, Routes: routes, Headroom: w.headroom(), Links: w.linkHeadroom()})
	}
	for _, warning := range w.warnings(p) {
		if !s.warned[warning.key()] {
			s.warned[warning.key()] = true
			s.result.Warnings = append(s.result.Warnings, warning)
		}
	}
	for _, d := range s.in.Rules.Drains {
		_, done := s.drained[d]
		if !done && (d.Kind == yuccarule.DrainServer || p.regionUnused(d.Name)) {
			s.drained[d] = s.in.Now
		}
	}
}

// changedRoutes returns the routes of a plan whose split differs from that in the
// last plan.
func (s *simulation) changedRoutes(p Plan) []Route {
	var all []Route
	for _, r := range p.Routes {
		last, ok := s.in.Last.Route(r.Service, r.From)
		if !ok || splitOf(last).distanceTo(splitOf(r)) > 0 {
			all = append(all, r)
		}
	}
	return all
}

// regionUnused reports whether no route leads to a region.
func (p Plan) regionUnused(region string) bool {
	for _, r := range p.Routes {
		if splitOf(r)[region] > 0 {
			return false
		}
	}
	return true
}

// advance moves the virtual time to the next moment at which the plan may change.
// It returns false if there is none before the end.
func (s *simulation) advance(p Plan) bool {
	s.in.Last = p
	s.in.Acks = nil
	for _, m := range p.Members {
		s.in.Acks = append(s.in.Acks, Ack{Entry: m.Name, Version: p.Version})
	}
	next := s.in.Now.Add(simulationTick)
	s.result.Settled = len(p.Ramps) == 0
	if s.result.Settled {
		var ok bool
		if next, ok = s.nextEventBoundary(next); !ok {
			return false
		}
	}
	s.in.Now = next
	s.reportDemand()
	return !next.After(s.end)
}

// nextEventBoundary returns the first time, not before earliest, at which an event
// changes the targets or the freeze of routes.
func (s *simulation) nextEventBoundary(earliest time.Time) (time.Time, bool) {
	var times []time.Time
	w := &planner{in: s.in}
	for _, e := range s.in.Rules.Peaks {
		freeze := e.Start.Add(-e.Lead)
		times = append(times, freeze.Add(-w.preparationTime(e.Service)), freeze, e.Start, e.Start.Add(e.Length))
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, t := range times {
		if !t.Before(earliest) {
			return t, true
		}
	}
	return time.Time{}, false
}

// finish adds the ends of the drains and returns the result.
func (s *simulation) finish() Forecast {
	for _, d := range s.in.Rules.Drains {
		s.result.Drains = append(s.result.Drains, DrainEnd{Kind: d.Kind, Name: d.Name, End: s.drained[d]})
	}
	return s.result
}

// headroom returns the expected load and the capacity of each service and region
// that has either.
func (w *planner) headroom() []Headroom {
	var all []Headroom
	for _, s := range w.in.Rules.Services {
		for _, r := range w.in.Rules.Regions {
			p := serviceRegion{s.Name, r.Name}
			if w.capacity[p] > 0 || w.expectedInFlight[p] > 0 {
				all = append(all, Headroom{Service: s.Name, Region: r.Name, InFlight: w.expectedInFlight[p], Slots: w.capacity[p]})
			}
		}
	}
	return all
}

// linkHeadroom returns the expected load and the cap of each direction of each
// link, ordered by region.
func (w *planner) linkHeadroom() []LinkHeadroom {
	var all []LinkHeadroom
	for d, limit := range w.linkCaps {
		all = append(all, LinkHeadroom{From: d.from, To: d.to, Bytes: w.linkLoad[d], Cap: limit})
	}
	slices.SortFunc(all, func(a, b LinkHeadroom) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return all
}
