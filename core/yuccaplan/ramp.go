package yuccaplan

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
)

const (
	// chunks is how many moves a step is made of.
	chunks = 4
	// pace is the least time between a plan and one that moves anything.
	pace = time.Second
	// skew is the largest difference between the clocks of two instances.
	skew = 2 * time.Second
	// slowFactor times its baseline is the latency at which a target takes no
	// more.
	slowFactor = 1.3
	// deadband is the smallest change of a route that only follows capacities.
	deadband = whole / 50
)

// spillOf is the part of a service's cap that is left to requests that spill.
func spillOf(c yuccarule.ShiftLimit) part { return part(c.Step) / 4 }

// stepOf is the part of a service's cap that ramps may use.
func stepOf(c yuccarule.ShiftLimit) part { return max(part(c.Step)-spillOf(c), 1) }

// ramp is one route's move in this plan.
type ramp struct {
	route Route
	now   spread
	// moved is what this plan moves, left what stays to be moved.
	moved, left part
}

// ramp takes a route one move closer to its target.
func (w *world) ramp(s yuccarule.Service, from string) ramp {
	target := w.target(s, from)
	r := ramp{route: Route{Service: s.Name, From: from}}
	last, ok := w.in.Last.Route(s.Name, from)
	if ok {
		r.now = spreadOf(last)
	} else {
		r.now = w.base(s, from)
	}
	if len(target) == 0 {
		return r
	}
	if len(r.now.regions()) == 0 {
		r.now = w.base(s, from)
	}
	r.left = r.now.towards(target)
	if w.frozen(s.Name) {
		// What was sent away to make room for the event comes back after it.
		r.left -= max(0, target[from]-r.now[from])
	}
	if r.left == 0 || w.small(s, from, r, target) {
		r.left = 0
		return r
	}
	if !w.frozen(s.Name) || w.lost(s.Name, r.now) {
		r.moved = w.move(s, from, r.now, target, min(r.left, w.allowance(s, from)))
	}
	r.left -= r.moved
	if w.small(s, from, r, target) {
		r.left = 0
	}
	return r
}

// small reports whether a route only follows a small change of capacities.
func (w *world) small(s yuccarule.Service, from string, r ramp, target spread) bool {
	if r.left >= deadband || target[from] > 0 {
		return false
	}
	for _, region := range r.now.regions() {
		if target[region] == 0 {
			return false
		}
	}
	return w.capacity[place{s.Name, from}] == 0 || w.drained[from]
}

// lost reports whether a part of a spread leads to a region without capacity.
func (w *world) lost(service string, now spread) bool {
	return slices.ContainsFunc(now.regions(), func(r string) bool { return w.capacity[place{service, r}] == 0 })
}

// allowance is how much of a route may move in this plan. The moves of the last
// window and those that an entry may yet have to make count against the cap; a
// window of which the history is unknown is used up.
func (w *world) allowance(s yuccarule.Service, from string) part {
	c := w.in.Rules.ShiftLimit(s.Name)
	if w.now.Before(w.in.Last.Made.Add(pace)) {
		return 0
	}
	if w.in.Last.MovesSince.IsZero() || w.now.Before(w.in.Last.MovesSince.Add(c.Window+skew)) {
		return 0
	}
	left := stepOf(c)
	for _, m := range w.in.Last.Moves {
		if m.Service != s.Name || m.From != from {
			continue
		}
		if w.now.Before(m.At.Add(w.pause(c.Window))) {
			return 0
		}
		if w.open(m, c.Window) && !w.opt.noWindow {
			left -= toPart(m.Part)
		}
	}
	return max(0, min(left, max(stepOf(c)/chunks, 1)))
}

// pause is the least time between two moves of a route.
func (w *world) pause(every time.Duration) time.Duration {
	if w.opt.noWindow {
		return time.Second
	}
	return every / chunks
}

// open reports whether a move counts against a window of the given length.
func (w *world) open(m Move, every time.Duration) bool {
	if w.opt.noAcks {
		return w.now.Before(m.At.Add(every + skew))
	}
	return m.AppliedAt.IsZero() || w.now.Before(m.AppliedAt.Add(every+skew))
}

// move changes now by at most limit and returns by how much. Parts in regions
// without capacity go first.
func (w *world) move(s yuccarule.Service, from string, now, target spread, limit part) part {
	var moved part
	for _, to := range target.regions() {
		n := min(limit-moved, target[to]-now[to], w.growth(s.Name, from, to, limit))
		if n <= 0 {
			continue
		}
		w.take(s.Name, now, target, n)
		if !w.opt.noConserve {
			now[to] += n
		}
		moved += n
		w.book(w.usage[place{s.Name, from}], to, n.float())
	}
	return moved
}

// book counts a part of what arises in a region as going to another.
func (w *world) book(u Usage, to string, part float64) {
	w.expected[place{u.Service, to}] += u.Busy * part
	w.booked[direction{to, u.From}] += u.Bytes * part
}

// take removes n from the parts that are over their target.
func (w *world) take(service string, now, target spread, n part) {
	for _, lost := range []bool{true, false} {
		for _, r := range now.regions() {
			if over := now[r] - target[r]; over > 0 && (w.capacity[place{service, r}] == 0) == lost {
				d := min(n, over)
				now[r] -= d
				n -= d
			}
		}
	}
}

// growth bounds how much more of a route a region may take: nothing while it
// answers slower than its baseline, less with older measurements, and never
// more than its free capacity.
func (w *world) growth(service, from, to string, limit part) part {
	p := place{service, to}
	if w.slow(p) && !w.opt.noLatency {
		return 0
	}
	age := w.age(p)
	if w.opt.noCaution {
		age = 0
	}
	n := part(float64(limit) * (1 - StalenessDiscount(age)))
	busy := w.usage[place{service, from}].Busy
	if busy > 0 {
		free := float64(w.capacity[p])*(1-margin(age)) - w.expected[p]
		n = min(n, part(max(0, free/busy)*float64(whole)))
	}
	return min(n, w.linkGrowth(service, from, to, age))
}

func (w *world) slow(p place) bool {
	baseline, ok := baselineOf(w.normal, p)
	r := w.load[p]
	if r.count == 0 {
		return false
	}
	for _, g := range w.in.Rules.Goals {
		if g.Service == p.service && r.latency > g.Latency {
			return true
		}
	}
	return ok && float64(r.latency) > slowFactor*float64(baseline)
}

func baselineOf(all []Baseline, p place) (time.Duration, bool) {
	for _, b := range all {
		if b.Service == p.service && b.Region == p.region {
			return b.Latency, true
		}
	}
	return 0, false
}

// finish writes the spread into the route and returns the move and the ramp.
func (w *world) finish(s yuccarule.Service, r ramp) Route {
	route := r.route
	for _, region := range r.now.regions() {
		share := Share{Region: region, Part: r.now[region].float()}
		if w.capacity[place{s.Name, region}] > 0 {
			route.Shares = append(route.Shares, share)
		} else {
			route.Unroutable = append(route.Unroutable, share)
		}
	}
	for _, region := range w.usable(s) {
		if r.now[region] < whole {
			route.Spill = append(route.Spill, region)
		}
	}
	if len(route.Spill) > 0 {
		route.SpillPart = spillOf(w.in.Rules.ShiftLimit(s.Name)).float()
	}
	return route
}

// estimate is when a ramp will end if nothing holds it up.
func (w *world) estimate(s yuccarule.Service, left part) time.Time {
	c := w.in.Rules.ShiftLimit(s.Name)
	chunk := max(stepOf(c)/chunks, 1)
	steps := time.Duration((left + chunk - 1) / chunk)
	return w.now.Add(steps * c.Window / chunks)
}
