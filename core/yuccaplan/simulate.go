package yuccaplan

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
)

// Forecast is what a simulation shows.
type Forecast struct {
	Steps    []Step     `json:"steps"`
	Drains   []DrainEnd `json:"drains,omitempty"`
	Warnings []Warning  `json:"warnings,omitempty"`
	// Ended is set when every route has reached its target.
	Ended bool `json:"ended"`
}

// Step is one moment at which traffic moves.
type Step struct {
	At     time.Time      `json:"at"`
	Routes []Route        `json:"routes"`
	Room   []Headroom     `json:"room"`
	Links  []LinkHeadroom `json:"links,omitempty"`
}

// Headroom is the headroom of a service in a region.
type Headroom struct {
	Service string  `json:"service"`
	Region  string  `json:"region"`
	Busy    float64 `json:"busy"`
	Slots   int     `json:"slots"`
}

// LinkHeadroom is the headroom of one way of a link, in bytes per second.
type LinkHeadroom struct {
	From  string  `json:"from"`
	To    string  `json:"to"`
	Bytes float64 `json:"bytes"`
	Cap   float64 `json:"cap"`
}

// DrainEnd is when a drain is done; the zero time when it is not.
type DrainEnd struct {
	Kind yuccarule.DrainKind `json:"kind"`
	Name string              `json:"name"`
	End  time.Time           `json:"end,omitzero"`
}

const (
	simulationTick = 5 * time.Second
	simulationMax  = 20_000
)

// Simulate steps the planner through virtual time until nothing moves any more
// and no event is left before the horizon. Entries take each plan at once, load
// stays as it is but for the factors of events, and latencies stay at their
// baselines.
func Simulate(in Input, horizon time.Duration) Forecast {
	s := &simulation{in: in, end: in.Now.Add(horizon), drained: map[yuccarule.Drain]time.Time{}, warned: map[Warning]bool{}}
	s.usage = newWorld(in, options{}).usage
	s.demand()
	for range simulationMax {
		p := Make(s.in)
		s.observe(p)
		if !s.advance(p) {
			break
		}
	}
	return s.forecast()
}

type simulation struct {
	in      Input
	end     time.Time
	usage   map[place]Usage
	out     Forecast
	drained map[yuccarule.Drain]time.Time
	warned  map[Warning]bool
}

// demand writes the load as entries would report it at this time.
func (s *simulation) demand() {
	s.in.Load = nil
	seen := map[string]bool{}
	for _, e := range s.in.View.Entries() {
		if seen[e.Region] {
			continue
		}
		seen[e.Region] = true
		for _, service := range s.in.Rules.Services {
			s.report(e.Name, e.Region, service.Name)
		}
	}
}

func (s *simulation) report(entry, from, service string) {
	u := s.usage[place{service, from}]
	factor := s.factor(service)
	route, ok := s.in.Last.Route(service, from)
	if !ok {
		route.Shares = []Share{{Region: from, Part: 1}}
	}
	for _, region := range s.in.Rules.Regions {
		d := Demand{Entry: entry, Service: service, Region: region.Name}
		d.Latency, _ = baselineOf(s.in.Last.Baselines, place{service, region.Name})
		for _, share := range route.Shares {
			if share.Region == region.Name {
				d.Busy = u.Busy * share.Part * factor
				d.Bytes = u.Bytes * share.Part * factor
			}
		}
		s.in.Load = append(s.in.Load, d)
	}
}

func (s *simulation) factor(service string) float64 {
	for _, e := range s.in.Rules.Peaks {
		if e.Service == service && !s.in.Now.Before(e.Start) && s.in.Now.Before(e.Start.Add(e.Length)) {
			return e.Factor
		}
	}
	return 1
}

// observe notes what a plan changes and what is wrong with it.
func (s *simulation) observe(p Plan) {
	w := newWorld(s.in, options{})
	w.in.Last = p
	w.expectAll()
	if moved := s.changed(p); len(moved) > 0 || len(s.out.Steps) == 0 {
		s.out.Steps = append(s.out.Steps, Step{At: s.in.Now, Routes: moved, Room: w.room(), Links: w.linkRoom()})
	}
	for _, warning := range w.warnings(p) {
		if !s.warned[warning.key()] {
			s.warned[warning.key()] = true
			s.out.Warnings = append(s.out.Warnings, warning)
		}
	}
	for _, d := range s.in.Rules.Drains {
		_, done := s.drained[d]
		if !done && (d.Kind == yuccarule.DrainServer || p.empty(d.Name)) {
			s.drained[d] = s.in.Now
		}
	}
}

// changed returns the routes of a plan that differ from the last one's.
func (s *simulation) changed(p Plan) []Route {
	var all []Route
	for _, r := range p.Routes {
		last, ok := s.in.Last.Route(r.Service, r.From)
		if !ok || spreadOf(last).towards(spreadOf(r)) > 0 {
			all = append(all, r)
		}
	}
	return all
}

// empty reports whether no route leads to a region.
func (p Plan) empty(region string) bool {
	for _, r := range p.Routes {
		if spreadOf(r)[region] > 0 {
			return false
		}
	}
	return true
}

// advance moves to the next time at which something may change. It returns
// false when there is none.
func (s *simulation) advance(p Plan) bool {
	s.in.Last = p
	s.in.Acks = nil
	for _, m := range p.Members {
		s.in.Acks = append(s.in.Acks, Ack{Entry: m.Name, Version: p.Version})
	}
	next := s.in.Now.Add(simulationTick)
	s.out.Ended = len(p.Ramps) == 0
	if s.out.Ended {
		var ok bool
		if next, ok = s.boundary(next); !ok {
			return false
		}
	}
	s.in.Now = next
	s.demand()
	return !next.After(s.end)
}

// boundary is the next time, not before from, at which an event changes what
// the planner wants.
func (s *simulation) boundary(from time.Time) (time.Time, bool) {
	var times []time.Time
	w := &world{in: s.in}
	for _, e := range s.in.Rules.Peaks {
		lead := e.Start.Add(-e.Lead)
		times = append(times, lead.Add(-w.preparation(e.Service)), lead, e.Start, e.Start.Add(e.Length))
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, t := range times {
		if !t.Before(from) {
			return t, true
		}
	}
	return time.Time{}, false
}

func (s *simulation) forecast() Forecast {
	for _, d := range s.in.Rules.Drains {
		s.out.Drains = append(s.out.Drains, DrainEnd{Kind: d.Kind, Name: d.Name, End: s.drained[d]})
	}
	return s.out
}

// room is the headroom of every service that runs in a region.
func (w *world) room() []Headroom {
	var all []Headroom
	for _, s := range w.in.Rules.Services {
		for _, r := range w.in.Rules.Regions {
			p := place{s.Name, r.Name}
			if w.capacity[p] > 0 || w.expected[p] > 0 {
				all = append(all, Headroom{Service: s.Name, Region: r.Name, Busy: w.expected[p], Slots: w.capacity[p]})
			}
		}
	}
	return all
}

func (w *world) linkRoom() []LinkHeadroom {
	var all []LinkHeadroom
	for d, limit := range w.links {
		all = append(all, LinkHeadroom{From: d.from, To: d.to, Bytes: w.booked[d], Cap: limit})
	}
	slices.SortFunc(all, func(a, b LinkHeadroom) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return all
}
