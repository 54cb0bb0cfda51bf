package yuccaplan

import (
	"fmt"
	"time"

	"yuccawell.example/core/yuccarule"
)

// Cause is the kind of problem that a warning reports.
type Cause string

// The causes of warnings.
const (
	// CauseRampFrozen reports a ramp that has not ended when an event freezes it.
	CauseRampFrozen Cause = "collision"
	// CauseRegionOverload reports a region with too few slots for the load of an
	// event.
	CauseRegionOverload Cause = "overload"
	// CauseLinkOverload reports a link with too little bandwidth for the load of
	// an event.
	CauseLinkOverload Cause = "crowded"
	// CauseNoCapacity reports a route with a share in regions without capacity.
	CauseNoCapacity Cause = "refusing"
	// CauseAckPending reports ramps that wait because an entry has not applied an
	// earlier plan.
	CauseAckPending Cause = "waiting"
)

// Warning is a problem, present or predicted, that an operator should know of.
type Warning struct {
	// Cause is the kind of problem.
	Cause Cause `json:"cause"`
	// At is the time at which the problem occurs.
	At time.Time `json:"at"`
	// Event is the name of the event that leads to the problem, if any.
	Event string `json:"event,omitempty"`
	// Service is the name of the service.
	Service string `json:"service,omitempty"`
	// From is the region where requests arise; for a link, the region that it
	// starts from. It is empty if it does not apply.
	From string `json:"from,omitempty"`
	// To is the region of the servers; for a link, the region that it leads to.
	// It is empty if it does not apply.
	To string `json:"to,omitempty"`
	// Need is the quantity needed. The unit depends on the cause: requests in
	// flight for CauseRegionOverload, bytes per second for CauseLinkOverload, a
	// fraction of a route for CauseRampFrozen and CauseNoCapacity, and a plan
	// version for CauseAckPending.
	Need float64 `json:"need"`
	// Have is the quantity available, in the unit of Need. For
	// CauseRegionOverload it is a number of slots.
	Have float64 `json:"have"`
	// Text is a description for the operator.
	Text string `json:"text"`
}

// key returns the fields that identify a warning, for removing duplicates.
func (w Warning) key() Warning {
	return Warning{Cause: w.Cause, Event: w.Event, Service: w.Service, From: w.From, To: w.To}
}

// Warnings returns the problems of a plan made from an input, now and in coming
// events.
func Warnings(in Input, p Plan) []Warning {
	w := newPlanner(in, faultOptions{})
	w.in.Last = p
	w.projectLoad()
	return w.warnings(p)
}

func (w *planner) warnings(p Plan) []Warning {
	all := w.pendingAcks(p)
	for _, r := range p.Routes {
		if unroutable := unroutableFraction(r); unroutable > 0 {
			all = append(all, Warning{Cause: CauseNoCapacity, At: w.now, Service: r.Service, From: r.From, Need: 1, Have: 1 - unroutable,
				Text: fmt.Sprintf("%s from %s: %.1f%% is refused until the cap lets it move", r.Service, r.From, 100*unroutable)})
		}
	}
	for _, e := range w.in.Rules.Peaks {
		if w.now.Before(e.Start.Add(e.Length)) {
			all = append(all, w.frozenRamps(p, e)...)
			all = append(all, w.regionOverloads(e)...)
			all = append(all, w.linkOverloads(p, e)...)
		}
	}
	return all
}

// unroutableFraction returns the fraction of a route's requests that entries
// reject for lack of capacity, from 0 to 1.
func unroutableFraction(r Route) float64 {
	sum := 0.0
	for _, share := range r.Unroutable {
		sum += share.Fraction
	}
	return sum
}

// frozenRamps returns a warning for each ramp of an event's service that does not
// end before the event freezes it.
func (w *planner) frozenRamps(p Plan, e yuccarule.Peak) []Warning {
	var all []Warning
	freeze := e.Start.Add(-e.Lead)
	for _, r := range p.Ramps {
		if r.Service != e.Service || (!r.End.After(freeze) && w.now.Before(freeze)) {
			continue
		}
		c := w.in.Rules.ShiftLimit(e.Service)
		moves := max(0, float64(freeze.Sub(w.now))/float64(c.Window)) * rampStep(c).float()
		remaining := max(0, r.Remaining-moves)
		all = append(all, Warning{Cause: CauseRampFrozen, At: freeze, Event: e.Name, Service: r.Service, From: r.From, Need: r.Remaining, Have: min(r.Remaining, moves),
			Text: fmt.Sprintf("%s from %s: moves end %s, event %s freezes them from %s to %s with %.1f%% left to move",
				r.Service, r.From, formatTime(r.End), e.Name, formatTime(freeze), formatTime(e.Start.Add(e.Length)), 100*remaining)})
	}
	return all
}

// regionOverloads returns a warning for each region with fewer slots than the load
// of an event needs, given the routes of the plan.
func (w *planner) regionOverloads(e yuccarule.Peak) []Warning {
	var all []Warning
	for _, region := range w.in.Rules.Regions {
		to := serviceRegion{e.Service, region.Name}
		need, have := w.expectedInFlight[to]*w.remainingFactor(e), float64(w.capacity[to])
		if need > have {
			all = append(all, Warning{Cause: CauseRegionOverload, At: e.Start, Event: e.Name, Service: e.Service, To: region.Name, Need: need, Have: have,
				Text: fmt.Sprintf("%s in %s: event %s needs %.0f slots, there are %.0f", e.Service, region.Name, e.Name, need, have)})
		}
	}
	return all
}

// remainingFactor returns the factor by which an event will still multiply the
// current load. It is 1 once the event has started.
func (w *planner) remainingFactor(e yuccarule.Peak) float64 {
	if w.now.Before(e.Start) {
		return e.Factor
	}
	return 1
}

// linkOverloads returns a warning for each link with less bandwidth than the load
// of an event needs, given the routes of the plan.
func (w *planner) linkOverloads(p Plan, e yuccarule.Peak) []Warning {
	extra := map[linkDirection]float64{}
	for _, r := range p.Routes {
		if r.Service != e.Service {
			continue
		}
		for _, share := range r.Shares {
			extra[linkDirection{share.Region, r.From}] += w.usage[serviceRegion{r.Service, r.From}].Bytes * share.Fraction * (w.remainingFactor(e) - 1)
		}
	}
	var all []Warning
	for _, l := range w.linkHeadroom() {
		need := l.Bytes + extra[linkDirection{l.From, l.To}]
		if need > l.Cap*(1-linkReserve) {
			all = append(all, Warning{Cause: CauseLinkOverload, At: e.Start, Event: e.Name, Service: e.Service, From: l.From, To: l.To, Need: need, Have: l.Cap,
				Text: fmt.Sprintf("link %s to %s: event %s needs %.0f MB/s, the cap is %.0f MB/s", l.From, l.To, e.Name, need/1e6, l.Cap/1e6)})
		}
	}
	return all
}

// pendingAcks returns a warning for the first entry that delays the ramps because
// it has not applied a plan whose moves are older than staleAge.
func (w *planner) pendingAcks(p Plan) []Warning {
	if len(p.Ramps) == 0 {
		return nil
	}
	var required uint64
	for _, m := range p.Moves {
		if m.AppliedAt.IsZero() && w.now.After(m.At.Add(staleAge)) {
			required = max(required, m.Version)
		}
	}
	for _, m := range w.members {
		if w.ackedVersions[m.Name] < required {
			return []Warning{{Cause: CauseAckPending, At: w.now, Service: p.Ramps[0].Service, From: p.Ramps[0].From, Need: float64(required), Have: float64(w.ackedVersions[m.Name]),
				Text: fmt.Sprintf("moves wait for entry %s, which has plan %d and not %d", m.Name, w.ackedVersions[m.Name], required)}}
		}
	}
	return nil
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") }
