package yuccaplan

import (
	"math"
	"time"

	"yuccawell.example/core/yuccarule"
)

// defaultSplit returns the split of a route without shifts: all traffic to the
// region of origin if that is usable, otherwise to the usable regions in
// proportion to their capacity.
func (w *planner) defaultSplit(s yuccarule.Service, from string) split {
	usable := w.usableRegions(s)
	weights := make([]float64, len(usable))
	for i, r := range usable {
		if r == from {
			return split{from: wholeRoute}
		}
		weights[i] = float64(w.capacity[serviceRegion{s.Name, r}])
	}
	t := split{}
	for i, n := range apportion(int64(wholeRoute), weights) {
		t[usable[i]] = fraction(n)
	}
	return t
}

// target returns the split that a route moves to. It is empty if no region is
// usable for the service.
func (w *planner) target(s yuccarule.Service, from string) split {
	t := w.defaultSplit(s, from)
	for _, shift := range w.in.Rules.Shifts {
		if shift.Service != s.Name || shift.From != from || t[from] == 0 || !w.acceptsTraffic(s.Name, shift.To) {
			continue
		}
		n := min(fraction(shift.Share), t[from])
		t[from] -= n
		t[shift.To] += n
	}
	if w.frozen(s.Name) {
		return t
	}
	return w.relieveForPeak(s, from, t)
}

// acceptsTraffic reports whether a region has capacity for a service and is not
// drained.
func (w *planner) acceptsTraffic(service, region string) bool {
	return !w.drained[region] && w.capacity[serviceRegion{service, region}] > 0
}

// reliefStep is the unit of the fraction that moves to make room for an event, so
// that a small change of load does not change the target.
const reliefStep = wholeRoute / 20

// relieveForPeak moves the part of the traffic that exceeds the capacity of the
// region of origin during a coming event to regions with free capacity. It
// changes and returns t.
func (w *planner) relieveForPeak(s yuccarule.Service, from string, t split) split {
	e, ok := w.upcomingPeak(s.Name)
	if !ok || t[from] == 0 {
		return t
	}
	room := float64(w.capacity[serviceRegion{s.Name, from}]) * (1 - freeFraction(0))
	peak := w.usage[serviceRegion{s.Name, from}].InFlight * e.Factor * t[from].float()
	if peak <= room {
		return t
	}
	excess := fraction(math.Ceil((1-room/peak)*t[from].float()*float64(wholeRoute)/float64(reliefStep))) * reliefStep
	return w.moveExcess(s, from, t, min(excess, t[from]), e.Factor)
}

// moveExcess moves a fraction of a route from its region of origin to the other
// usable regions, in proportion to their free capacity. It moves no more than
// they have room for.
func (w *planner) moveExcess(s yuccarule.Service, from string, t split, excess fraction, factor float64) split {
	usable := w.usableRegions(s)
	weights := make([]float64, len(usable))
	free := 0.0
	for i, r := range usable {
		if r != from {
			local := w.usage[serviceRegion{s.Name, r}].InFlight * factor
			weights[i] = max(0, float64(w.capacity[serviceRegion{s.Name, r}])*(1-freeFraction(0))-local)
			free += weights[i]
		}
	}
	peak := w.usage[serviceRegion{s.Name, from}].InFlight * factor
	excess = min(excess, fraction(free/peak*float64(wholeRoute))/reliefStep*reliefStep)
	for i, n := range apportion(int64(excess/reliefStep), weights) {
		t[usable[i]] += fraction(n) * reliefStep
		t[from] -= fraction(n) * reliefStep
	}
	return t
}

// upcomingPeak returns the event of a service that is in progress or so close
// that traffic has to move for it now.
func (w *planner) upcomingPeak(service string) (yuccarule.Peak, bool) {
	for _, e := range w.in.Rules.Peaks {
		begin := e.Start.Add(-e.Lead - w.preparationTime(service))
		if e.Service == service && !w.now.Before(begin) && w.now.Before(e.Start.Add(e.Length)) {
			return e, true
		}
	}
	return yuccarule.Peak{}, false
}

// preparationTime returns the time that a move of all traffic of a route takes,
// plus a margin of a quarter.
func (w *planner) preparationTime(service string) time.Duration {
	c := w.in.Rules.ShiftLimit(service)
	steps := (wholeRoute + rampStep(c) - 1) / rampStep(c)
	return time.Duration(steps) * c.Window * 5 / 4
}

// frozen reports whether an event currently forbids moves of a service's routes.
func (w *planner) frozen(service string) bool {
	if w.opt.ignoreFreeze {
		return false
	}
	for _, e := range w.in.Rules.Peaks {
		if e.Service == service && !w.now.Before(e.Start.Add(-e.Lead)) && w.now.Before(e.Start.Add(e.Length)) {
			return true
		}
	}
	return false
}
