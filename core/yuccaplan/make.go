package yuccaplan

import (
	"cmp"
	"reflect"
	"slices"
	"time"
)

// options switch parts of the planner off, so that tests can show that they
// notice.
type options struct {
	noPast, noRatePast, noConserve, noWindow, noAcks, noFreeze, noLatency, noCaution, noHysteresis bool
}

// Make returns the plan for an input. The same input gives the same plan. When
// nothing has changed, it is the last plan itself, until that has to be renewed
// or another planner takes over.
func Make(in Input) Plan { return makePlan(in, options{}) }

func makePlan(in Input, opt options) Plan {
	w := newWorld(in, opt)
	p := Plan{Rules: in.Version, Members: w.members, MovesSince: in.Last.MovesSince}
	p.Moves = w.settled()
	w.normal = w.baselines()
	p.Baselines = w.normal
	parts := w.steer(&p)
	p.Budgets = w.allBudgets(parts)
	settled := in.Last.Version > 0 && in.Epoch <= in.Last.Epoch && !w.renewing()
	if !opt.noHysteresis && settled && same(p, in.Last) {
		return in.Last
	}
	return w.stamped(p)
}

// stamped completes a plan that differs from the last one.
func (w *world) stamped(p Plan) Plan {
	p.Version, p.Epoch, p.Made = w.next, max(w.in.Epoch, w.in.Last.Epoch), w.now
	if !w.in.Now.IsZero() {
		p.Until = w.now.Add(lifetime)
	}
	if w.in.Last.MovesSince.IsZero() {
		p.MovesSince = w.now
	}
	p.Moves, p.MovesSince = w.pruned(p.Moves, p.MovesSince)
	for _, s := range w.in.Rules.Services {
		for _, from := range w.in.Rules.Regions {
			if u, ok := w.usage[place{s.Name, from.Name}]; ok {
				p.Usage = append(p.Usage, u)
			}
		}
	}
	slices.SortFunc(p.Usage, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
	})
	return p
}

// same compares what entries act on and what the next plan rests on.
func same(a, b Plan) bool {
	return a.Rules == b.Rules && slices.Equal(a.Members, b.Members) && slices.Equal(a.Moves, b.Moves) &&
		slices.Equal(a.Ramps, b.Ramps) && slices.Equal(a.Baselines, b.Baselines) && slices.Equal(a.Budgets, b.Budgets) &&
		slices.EqualFunc(a.Routes, b.Routes, func(x, y Route) bool { return reflect.DeepEqual(x, y) })
}

// steer moves every route and returns, by service and region of origin, where
// requests go, spilling included.
func (w *world) steer(p *Plan) map[string]map[string]spread {
	parts := map[string]map[string]spread{}
	for _, s := range w.in.Rules.Services {
		parts[s.Name] = map[string]spread{}
		for _, from := range w.in.Rules.Regions {
			r := w.ramp(s, from.Name)
			route := w.finish(s, r)
			p.Routes = append(p.Routes, route)
			parts[s.Name][from.Name] = spreadOf(Route{Shares: route.Shares})
			if r.moved > 0 {
				p.Moves = append(p.Moves, Move{Service: s.Name, From: from.Name, At: w.now, Part: r.moved.float(), Version: w.next})
			}
			if r.left > 0 {
				p.Ramps = append(p.Ramps, Ramp{Service: s.Name, From: from.Name, Left: r.left.float(), End: w.end(s.Name, from.Name, w.estimate(s, r.left))})
			}
		}
	}
	slices.SortFunc(p.Routes, compareRoutes)
	slices.SortFunc(p.Ramps, func(a, b Ramp) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
	})
	return parts
}

// end keeps an earlier estimate that is still about right.
func (w *world) end(service, from string, estimate time.Time) time.Time {
	for _, r := range w.in.Last.Ramps {
		if r.Service == service && r.From == from && estimate.Sub(r.End).Abs() <= w.in.Rules.ShiftLimit(service).Window {
			return r.End
		}
	}
	return estimate
}

// allBudgets divides every place over the members and every link over the
// budgets that use it.
func (w *world) allBudgets(parts map[string]map[string]spread) []Budget {
	claims := make([]claim, 0, len(w.in.Last.Budgets))
	for _, p := range w.places() {
		if w.capacity[p] > 0 || len(w.rows[p]) > 0 {
			claims = append(claims, w.budgets(p, parts[p.service])...)
		}
	}
	w.rates(claims)
	return w.ordered(claims)
}

// places returns every service in every region, ordered.
func (w *world) places() []place {
	all := make([]place, 0, len(w.in.Rules.Services)*len(w.in.Rules.Regions))
	for _, s := range w.in.Rules.Services {
		for _, r := range w.in.Rules.Regions {
			all = append(all, place{s.Name, r.Name})
		}
	}
	slices.SortFunc(all, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region))
	})
	return all
}

// ordered writes the budgets of claims that are ordered by place.
func (w *world) ordered(claims []claim) []Budget {
	byMember := make([][]Budget, len(w.members))
	for i := range claims {
		if b := w.budget(claims[i]); !b.empty() {
			m := claims[i].member
			byMember[m] = append(byMember[m], b)
		}
	}
	return slices.Concat(byMember...)
}

// settled marks the moves that are now known to be in force everywhere.
func (w *world) settled() []Move {
	moves := slices.Clone(w.in.Last.Moves)
	for i, m := range moves {
		if m.AppliedAt.IsZero() && w.inForce(m.Version) {
			moves[i].AppliedAt = w.now
		}
	}
	return moves
}

// pruned drops the moves that no window reaches and says since when the rest is
// complete.
func (w *world) pruned(moves []Move, known time.Time) ([]Move, time.Time) {
	keep := 2 * w.longest()
	begin := w.now.Add(-keep)
	kept := slices.DeleteFunc(moves, func(m Move) bool { return !m.AppliedAt.IsZero() && m.AppliedAt.Before(begin) })
	if len(kept) < len(moves) && known.Before(begin) {
		known = begin
	}
	return kept, known
}

// longest is the longest window of any service.
func (w *world) longest() time.Duration {
	longest := time.Minute
	for _, s := range w.in.Rules.Services {
		longest = max(longest, w.in.Rules.ShiftLimit(s.Name).Window)
	}
	return longest
}

const (
	// fasterFactor times its baseline is the latency below which a baseline
	// falls.
	fasterFactor = 0.8
	// riseFactor is by how much a baseline rises at each renewal while nothing
	// moves.
	riseFactor = 1.1
)

// baselines follows the latencies down at once, and up only slowly while
// nothing moves.
func (w *world) baselines() []Baseline {
	var all []Baseline
	for _, s := range w.in.Rules.Services {
		for _, r := range w.in.Rules.Regions {
			p := place{s.Name, r.Name}
			old, known := baselineOf(w.in.Last.Baselines, p)
			latency := w.load[p].latency
			if b := w.follow(p, old, known, latency); b > 0 {
				all = append(all, Baseline{Service: s.Name, Region: r.Name, Latency: b})
			}
		}
	}
	slices.SortFunc(all, func(a, b Baseline) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return all
}

func (w *world) follow(p place, old time.Duration, known bool, latency time.Duration) time.Duration {
	switch {
	case latency == 0:
		return old
	case !known || float64(latency) < fasterFactor*float64(old):
		return latency
	case latency > old && w.renewing() && !w.moving(p.service):
		return min(latency, time.Duration(riseFactor*float64(old)))
	}
	return old
}

// renewing reports whether the last plan is to be replaced for its age.
func (w *world) renewing() bool {
	return !w.in.Last.Until.IsZero() && !w.now.Before(w.in.Last.Until.Add(-renewal))
}

func (w *world) moving(service string) bool {
	return slices.ContainsFunc(w.in.Last.Ramps, func(r Ramp) bool { return r.Service == service })
}
