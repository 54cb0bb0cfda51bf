package yuccaplan

import (
	"fmt"
	"time"

	"yuccawell.example/core/yuccarule"
)

// Cause says what a warning is about.
type Cause string

// The causes of warnings.
const (
	// CauseRampFrozen is a ramp that has not ended when an event freezes it.
	CauseRampFrozen Cause = "collision"
	// CauseRegionOverload is a region that cannot take what an event sends to it.
	CauseRegionOverload Cause = "overload"
	// CauseLinkOverload is a link that cannot carry what an event sends over it.
	CauseLinkOverload Cause = "crowded"
	// CauseNoCapacity is a route part of which leads to no capacity.
	CauseNoCapacity Cause = "refusing"
	// CauseAckPending is a ramp that waits for an entry to take an earlier plan.
	CauseAckPending Cause = "waiting"
)

// Warning is something an operator should know before it happens.
type Warning struct {
	Cause   Cause     `json:"cause"`
	At      time.Time `json:"at"`
	Event   string    `json:"event,omitempty"`
	Service string    `json:"service,omitempty"`
	// From and To are regions.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Need and Have are what is asked for and what there is: requests in flight
	// and slots, bytes per second, or parts of a route.
	Need float64 `json:"need"`
	Have float64 `json:"have"`
	Text string  `json:"text"`
}

// key is what makes two warnings the same.
func (w Warning) key() Warning {
	return Warning{Cause: w.Cause, Event: w.Event, Service: w.Service, From: w.From, To: w.To}
}

// Warnings returns what is wrong with a plan made from an input.
func Warnings(in Input, p Plan) []Warning {
	w := newWorld(in, options{})
	w.in.Last = p
	w.expectAll()
	return w.warnings(p)
}

func (w *world) warnings(p Plan) []Warning {
	all := w.waiting(p)
	for _, r := range p.Routes {
		if held := heldPart(r); held > 0 {
			all = append(all, Warning{Cause: CauseNoCapacity, At: w.now, Service: r.Service, From: r.From, Need: 1, Have: 1 - held,
				Text: fmt.Sprintf("%s from %s: %.1f%% is refused until the cap lets it move", r.Service, r.From, 100*held)})
		}
	}
	for _, e := range w.in.Rules.Peaks {
		if w.now.Before(e.Start.Add(e.Length)) {
			all = append(all, w.collisions(p, e)...)
			all = append(all, w.overloads(e)...)
			all = append(all, w.crowds(p, e)...)
		}
	}
	return all
}

func heldPart(r Route) float64 {
	sum := 0.0
	for _, share := range r.Unroutable {
		sum += share.Part
	}
	return sum
}

// collisions names the ramps of an event's service that do not end before the
// event freezes them.
func (w *world) collisions(p Plan, e yuccarule.Peak) []Warning {
	var all []Warning
	freeze := e.Start.Add(-e.Lead)
	for _, r := range p.Ramps {
		if r.Service != e.Service || (!r.End.After(freeze) && w.now.Before(freeze)) {
			continue
		}
		c := w.in.Rules.ShiftLimit(e.Service)
		moves := max(0, float64(freeze.Sub(w.now))/float64(c.Window)) * stepOf(c).float()
		left := max(0, r.Left-moves)
		all = append(all, Warning{Cause: CauseRampFrozen, At: freeze, Event: e.Name, Service: r.Service, From: r.From, Need: r.Left, Have: min(r.Left, moves),
			Text: fmt.Sprintf("%s from %s: moves end %s, event %s freezes them from %s to %s with %.1f%% left to move",
				r.Service, r.From, clock(r.End), e.Name, clock(freeze), clock(e.Start.Add(e.Length)), 100*left)})
	}
	return all
}

// overloads names the regions that an event sends more to than they take, by
// the routes of the plan.
func (w *world) overloads(e yuccarule.Peak) []Warning {
	var all []Warning
	for _, region := range w.in.Rules.Regions {
		to := place{e.Service, region.Name}
		need, have := w.expected[to]*w.ahead(e), float64(w.capacity[to])
		if need > have {
			all = append(all, Warning{Cause: CauseRegionOverload, At: e.Start, Event: e.Name, Service: e.Service, To: region.Name, Need: need, Have: have,
				Text: fmt.Sprintf("%s in %s: event %s needs %.0f slots, there are %.0f", e.Service, region.Name, e.Name, need, have)})
		}
	}
	return all
}

// ahead is the factor by which an event will multiply the present load.
func (w *world) ahead(e yuccarule.Peak) float64 {
	if w.now.Before(e.Start) {
		return e.Factor
	}
	return 1
}

func (w *world) crowds(p Plan, e yuccarule.Peak) []Warning {
	extra := map[direction]float64{}
	for _, r := range p.Routes {
		if r.Service != e.Service {
			continue
		}
		for _, share := range r.Shares {
			extra[direction{share.Region, r.From}] += w.usage[place{r.Service, r.From}].Bytes * share.Part * (w.ahead(e) - 1)
		}
	}
	var all []Warning
	for _, l := range w.linkRoom() {
		need := l.Bytes + extra[direction{l.From, l.To}]
		if need > l.Cap*(1-linkSafety) {
			all = append(all, Warning{Cause: CauseLinkOverload, At: e.Start, Event: e.Name, Service: e.Service, From: l.From, To: l.To, Need: need, Have: l.Cap,
				Text: fmt.Sprintf("link %s to %s: event %s needs %.0f MB/s, the cap is %.0f MB/s", l.From, l.To, e.Name, need/1e6, l.Cap/1e6)})
		}
	}
	return all
}

// waiting names the entries that hold up ramps.
func (w *world) waiting(p Plan) []Warning {
	if len(p.Ramps) == 0 {
		return nil
	}
	var first uint64
	for _, m := range p.Moves {
		if m.AppliedAt.IsZero() && w.now.After(m.At.Add(staleAge)) {
			first = max(first, m.Version)
		}
	}
	for _, m := range w.members {
		if w.acks[m.Name] < first {
			return []Warning{{Cause: CauseAckPending, At: w.now, Service: p.Ramps[0].Service, From: p.Ramps[0].From, Need: float64(first), Have: float64(w.acks[m.Name]),
				Text: fmt.Sprintf("moves wait for entry %s, which has plan %d and not %d", m.Name, w.acks[m.Name], first)}}
		}
	}
	return nil
}

func clock(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") }
