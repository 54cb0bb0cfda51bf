package yuccaplan

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
)

const (
	// movesPerStep is the number of moves into which a ramp divides the step that
	// the shift limit allows per window.
	movesPerStep = 4
	// minMoveInterval is the shortest time between a plan and the next one that
	// moves traffic.
	minMoveInterval = time.Second
	// maxClockSkew is the largest assumed difference between the clocks of two
	// instances.
	maxClockSkew = 2 * time.Second
	// slowLatencyFactor times the baseline is the latency above which a region
	// receives no additional traffic.
	slowLatencyFactor = 1.3
	// deadband is the smallest difference that starts a ramp if the route only
	// follows a change of capacities.
	deadband = wholeRoute / 50
)

// spillFraction returns the fraction of a route that may spill: a quarter of the
// step of the shift limit.
func spillFraction(c yuccarule.ShiftLimit) fraction { return fraction(c.Step) / 4 }

// rampStep returns the fraction of a route that ramps may move per window: the
// step of the shift limit without the spill fraction, and at least 1 millionth.
func rampStep(c yuccarule.ShiftLimit) fraction { return max(fraction(c.Step)-spillFraction(c), 1) }

// rampState is the state of one route in the plan that is being made.
type rampState struct {
	// route identifies the route by service and region of origin.
	route Route
	// current is the split of the route, including the move of this plan.
	current split
	// moved is the fraction that this plan moves.
	moved fraction
	// remaining is the fraction that has yet to move after this plan.
	remaining fraction
}

// advanceRoute moves a route at most one move closer to its target.
func (w *planner) advanceRoute(s yuccarule.Service, from string) rampState {
	target := w.target(s, from)
	r := rampState{route: Route{Service: s.Name, From: from}}
	last, ok := w.in.Last.Route(s.Name, from)
	if ok {
		r.current = splitOf(last)
	} else {
		r.current = w.defaultSplit(s, from)
	}
	if len(target) == 0 {
		return r
	}
	if len(r.current.regions()) == 0 {
		r.current = w.defaultSplit(s, from)
	}
	r.remaining = r.current.distanceTo(target)
	if w.frozen(s.Name) {
		// Traffic that was moved away to make room for the event moves back only
		// after the event.
		r.remaining -= max(0, target[from]-r.current[from])
	}
	if r.remaining == 0 || w.withinDeadband(s, from, r, target) {
		r.remaining = 0
		return r
	}
	if !w.frozen(s.Name) || w.usesLostRegion(s.Name, r.current) {
		r.moved = w.moveTraffic(s, from, r.current, target, min(r.remaining, w.allowance(s, from)))
	}
	r.remaining -= r.moved
	if w.withinDeadband(s, from, r, target) {
		r.remaining = 0
	}
	return r
}

// withinDeadband reports whether the remaining move only follows a small change
// of capacities. That is the case for a route whose region of origin has no
// capacity or is drained, and so is split by the capacities of other regions.
func (w *planner) withinDeadband(s yuccarule.Service, from string, r rampState, target split) bool {
	if r.remaining >= deadband || target[from] > 0 {
		return false
	}
	for _, region := range r.current.regions() {
		if target[region] == 0 {
			return false
		}
	}
	return w.capacity[serviceRegion{s.Name, from}] == 0 || w.drained[from]
}

// usesLostRegion reports whether a split includes a region without capacity.
func (w *planner) usesLostRegion(service string, current split) bool {
	return slices.ContainsFunc(current.regions(), func(r string) bool { return w.capacity[serviceRegion{service, r}] == 0 })
}

// allowance returns the fraction of a route that may move in this plan. Two kinds
// of moves count against the shift limit: those of the last window, and those
// that some entry may not have applied yet. If the history of moves does not
// cover the whole window, nothing may move.
func (w *planner) allowance(s yuccarule.Service, from string) fraction {
	c := w.in.Rules.ShiftLimit(s.Name)
	if w.now.Before(w.in.Last.CreatedAt.Add(minMoveInterval)) {
		return 0
	}
	if w.in.Last.MovesSince.IsZero() || w.now.Before(w.in.Last.MovesSince.Add(c.Window+maxClockSkew)) {
		return 0
	}
	remaining := rampStep(c)
	for _, m := range w.in.Last.Moves {
		if m.Service != s.Name || m.From != from {
			continue
		}
		if w.now.Before(m.At.Add(w.movePause(c.Window))) {
			return 0
		}
		if w.inWindow(m, c.Window) && !w.opt.ignoreWindow {
			remaining -= toFraction(m.Fraction)
		}
	}
	return max(0, min(remaining, max(rampStep(c)/movesPerStep, 1)))
}

// movePause returns the shortest time between two moves of a route.
func (w *planner) movePause(window time.Duration) time.Duration {
	if w.opt.ignoreWindow {
		return time.Second
	}
	return window / movesPerStep
}

// inWindow reports whether a move counts against the shift limit for a window of
// the given length. The window starts when every entry has applied the move.
func (w *planner) inWindow(m Move, window time.Duration) bool {
	if w.opt.ignoreAcks {
		return w.now.Before(m.At.Add(window + maxClockSkew))
	}
	return m.AppliedAt.IsZero() || w.now.Before(m.AppliedAt.Add(window+maxClockSkew))
}

// moveTraffic moves at most limit of a route from current toward target and
// returns the fraction moved. Traffic of regions without capacity moves first.
func (w *planner) moveTraffic(s yuccarule.Service, from string, current, target split, limit fraction) fraction {
	var moved fraction
	for _, to := range target.regions() {
		n := min(limit-moved, target[to]-current[to], w.maxGrowth(s.Name, from, to, limit))
		if n <= 0 {
			continue
		}
		w.removeExcess(s.Name, current, target, n)
		if !w.opt.loseMovedShare {
			current[to] += n
		}
		moved += n
		w.addExpectedLoad(w.usage[serviceRegion{s.Name, from}], to, n.float())
	}
	return moved
}

// addExpectedLoad adds a share of the load of one route to the expected load of
// the destination region and of the link to it.
func (w *planner) addExpectedLoad(u Usage, to string, share float64) {
	w.expectedInFlight[serviceRegion{u.Service, to}] += u.InFlight * share
	w.linkLoad[linkDirection{to, u.From}] += u.Bytes * share
}

// removeExcess removes a fraction of n in total from the regions of current that
// are above their target, first from those without capacity.
func (w *planner) removeExcess(service string, current, target split, n fraction) {
	for _, withoutCapacity := range []bool{true, false} {
		for _, r := range current.regions() {
			if excess := current[r] - target[r]; excess > 0 && (w.capacity[serviceRegion{service, r}] == 0) == withoutCapacity {
				d := min(n, excess)
				current[r] -= d
				n -= d
			}
		}
	}
}

// maxGrowth returns the largest fraction of a route that may move to a region. It
// is 0 while the region is too slow. It shrinks as the measurements grow older,
// and it never exceeds the free capacity of the region and of the link to it.
func (w *planner) maxGrowth(service, from, to string, limit fraction) fraction {
	p := serviceRegion{service, to}
	if w.tooSlow(p) && !w.opt.ignoreLatency {
		return 0
	}
	age := w.measurementAge(p)
	if w.opt.ignoreAge {
		age = 0
	}
	n := fraction(float64(limit) * (1 - StalenessDiscount(age)))
	busy := w.usage[serviceRegion{service, from}].InFlight
	if busy > 0 {
		free := float64(w.capacity[p])*(1-freeFraction(age)) - w.expectedInFlight[p]
		n = min(n, fraction(max(0, free/busy)*float64(wholeRoute)))
	}
	return min(n, w.maxLinkGrowth(service, from, to, age))
}

// tooSlow reports whether the latency of a service in a region exceeds the latency
// of the service's goal, or slowLatencyFactor times the baseline.
func (w *planner) tooSlow(p serviceRegion) bool {
	baseline, ok := baselineOf(w.baselines, p)
	r := w.measurements[p]
	if r.count == 0 {
		return false
	}
	for _, g := range w.in.Rules.Goals {
		if g.Service == p.service && r.latency > g.Latency {
			return true
		}
	}
	return ok && float64(r.latency) > slowLatencyFactor*float64(baseline)
}

func baselineOf(all []Baseline, p serviceRegion) (time.Duration, bool) {
	for _, b := range all {
		if b.Service == p.service && b.Region == p.region {
			return b.Latency, true
		}
	}
	return 0, false
}

// buildRoute returns the route for a ramp state: shares for regions with capacity,
// unroutable shares for the others, and the regions for spillover.
func (w *planner) buildRoute(s yuccarule.Service, r rampState) Route {
	route := r.route
	for _, region := range r.current.regions() {
		share := Share{Region: region, Fraction: r.current[region].float()}
		if w.capacity[serviceRegion{s.Name, region}] > 0 {
			route.Shares = append(route.Shares, share)
		} else {
			route.Unroutable = append(route.Unroutable, share)
		}
	}
	for _, region := range w.usableRegions(s) {
		if r.current[region] < wholeRoute {
			route.SpilloverRegions = append(route.SpilloverRegions, region)
		}
	}
	if len(route.SpilloverRegions) > 0 {
		route.SpilloverFraction = spillFraction(w.in.Rules.ShiftLimit(s.Name)).float()
	}
	return route
}

// estimatedEnd returns the time at which a ramp ends if nothing delays it.
func (w *planner) estimatedEnd(s yuccarule.Service, remaining fraction) time.Time {
	c := w.in.Rules.ShiftLimit(s.Name)
	moveSize := max(rampStep(c)/movesPerStep, 1)
	steps := time.Duration((remaining + moveSize - 1) / moveSize)
	return w.now.Add(steps * c.Window / movesPerStep)
}
