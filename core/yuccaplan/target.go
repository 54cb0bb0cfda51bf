package yuccaplan

import (
	"math"
	"time"

	"yuccawell.example/core/yuccarule"
)

// base is where a route leads without shifts: its own region where that may be
// used, else the others by capacity.
func (w *world) base(s yuccarule.Service, from string) spread {
	usable := w.usable(s)
	weights := make([]float64, len(usable))
	for i, r := range usable {
		if r == from {
			return spread{from: whole}
		}
		weights[i] = float64(w.capacity[place{s.Name, r}])
	}
	t := spread{}
	for i, n := range apportion(int64(whole), weights) {
		t[usable[i]] = part(n)
	}
	return t
}

// target is where a route shall lead in the end. It is empty when no region can
// take the service.
func (w *world) target(s yuccarule.Service, from string) spread {
	t := w.base(s, from)
	for _, shift := range w.in.Rules.Shifts {
		if shift.Service != s.Name || shift.From != from || t[from] == 0 || !w.takes(s.Name, shift.To) {
			continue
		}
		n := min(part(shift.Share), t[from])
		t[from] -= n
		t[shift.To] += n
	}
	if w.frozen(s.Name) {
		return t
	}
	return w.relieved(s, from, t)
}

func (w *world) takes(service, region string) bool {
	return !w.drained[region] && w.capacity[place{service, region}] > 0
}

// reliefGrain is the grain of what is moved to make room for an event, so that
// small changes of load do not change the target.
const reliefGrain = whole / 20

// relieved moves the part of a route that its own region cannot take in a
// coming event to regions with room.
func (w *world) relieved(s yuccarule.Service, from string, t spread) spread {
	e, ok := w.coming(s.Name)
	if !ok || t[from] == 0 {
		return t
	}
	room := float64(w.capacity[place{s.Name, from}]) * (1 - margin(0))
	peak := w.usage[place{s.Name, from}].Busy * e.Factor * t[from].float()
	if peak <= room {
		return t
	}
	over := part(math.Ceil((1-room/peak)*t[from].float()*float64(whole)/float64(reliefGrain))) * reliefGrain
	return w.moveOver(s, from, t, min(over, t[from]), e.Factor)
}

func (w *world) moveOver(s yuccarule.Service, from string, t spread, over part, factor float64) spread {
	usable := w.usable(s)
	weights := make([]float64, len(usable))
	free := 0.0
	for i, r := range usable {
		if r != from {
			own := w.usage[place{s.Name, r}].Busy * factor
			weights[i] = max(0, float64(w.capacity[place{s.Name, r}])*(1-margin(0))-own)
			free += weights[i]
		}
	}
	peak := w.usage[place{s.Name, from}].Busy * factor
	over = min(over, part(free/peak*float64(whole))/reliefGrain*reliefGrain)
	for i, n := range apportion(int64(over/reliefGrain), weights) {
		t[usable[i]] += part(n) * reliefGrain
		t[from] -= part(n) * reliefGrain
	}
	return t
}

// coming returns the event of a service for which room has to be made now.
func (w *world) coming(service string) (yuccarule.Peak, bool) {
	for _, e := range w.in.Rules.Peaks {
		begin := e.Start.Add(-e.Lead - w.preparation(service))
		if e.Service == service && !w.now.Before(begin) && w.now.Before(e.Start.Add(e.Length)) {
			return e, true
		}
	}
	return yuccarule.Peak{}, false
}

// preparation is how long a move of everything takes, with a quarter to spare.
func (w *world) preparation(service string) time.Duration {
	c := w.in.Rules.ShiftLimit(service)
	steps := (whole + stepOf(c) - 1) / stepOf(c)
	return time.Duration(steps) * c.Window * 5 / 4
}

// frozen reports whether an event forbids the moves of a service.
func (w *world) frozen(service string) bool {
	if w.opt.noFreeze {
		return false
	}
	for _, e := range w.in.Rules.Peaks {
		if e.Service == service && !w.now.Before(e.Start.Add(-e.Lead)) && w.now.Before(e.Start.Add(e.Length)) {
			return true
		}
	}
	return false
}
