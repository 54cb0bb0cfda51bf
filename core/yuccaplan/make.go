package yuccaplan

import (
	"cmp"
	"reflect"
	"slices"
	"time"
)

// faultOptions disable single safety checks of the planner. Tests use them to show
// that they detect a planner without the check. The zero value disables none.
type faultOptions struct {
	// ignorePriorSlots grants slots that earlier plans still allow other entries.
	ignorePriorSlots bool
	// ignorePriorRates grants link rates that earlier plans still allow other
	// entries.
	ignorePriorRates bool
	// loseMovedShare removes a moved share from its old region without adding it
	// to the new one.
	loseMovedShare bool
	// ignoreWindow allows moves that exceed the shift limit.
	ignoreWindow bool
	// ignoreAcks starts the window of a move when the move is made, not when
	// every entry has applied it.
	ignoreAcks bool
	// ignoreFreeze allows moves during an event.
	ignoreFreeze bool
	// ignoreLatency allows moves to a region that is too slow.
	ignoreLatency bool
	// ignoreAge treats all measurements as fresh when it limits a move.
	ignoreAge bool
	// alwaysNewPlan makes a new plan even if nothing has changed.
	alwaysNewPlan bool
}

// Make returns the plan for an input. It is deterministic: the same input always
// yields the same plan. If nothing has changed it returns the last plan, unless
// that plan is due for renewal or was made under a lower epoch.
func Make(in Input) Plan { return makePlan(in, faultOptions{}) }

func makePlan(in Input, opt faultOptions) Plan {
	w := newPlanner(in, opt)
	p := Plan{RulesVersion: in.RulesVersion, Members: w.members, MovesSince: in.Last.MovesSince}
	p.Moves = w.confirmedMoves()
	w.baselines = w.updateBaselines()
	p.Baselines = w.baselines
	splits := w.advanceRoutes(&p)
	p.Budgets = w.allocateBudgets(splits)
	reusable := in.Last.Version > 0 && in.Epoch <= in.Last.Epoch && !w.renewalDue()
	if !opt.alwaysNewPlan && reusable && sameDecisions(p, in.Last) {
		return in.Last
	}
	return w.finalize(p)
}

// finalize completes a plan that differs from the last one: it sets version,
// epoch, times and usage, and prunes the history of moves.
func (w *planner) finalize(p Plan) Plan {
	p.Version, p.Epoch, p.CreatedAt = w.nextVersion, max(w.in.Epoch, w.in.Last.Epoch), w.now
	if !w.in.Now.IsZero() {
		p.ExpiresAt = w.now.Add(planLifetime)
	}
	if w.in.Last.MovesSince.IsZero() {
		p.MovesSince = w.now
	}
	p.Moves, p.MovesSince = w.pruneMoves(p.Moves, p.MovesSince)
	for _, s := range w.in.Rules.Services {
		for _, from := range w.in.Rules.Regions {
			if u, ok := w.usage[serviceRegion{s.Name, from.Name}]; ok {
				p.Usage = append(p.Usage, u)
			}
		}
	}
	slices.SortFunc(p.Usage, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
	})
	return p
}

// sameDecisions reports whether two plans agree in everything that entries act on
// and that the next plan depends on. It ignores versions, times and usage.
func sameDecisions(a, b Plan) bool {
	return a.RulesVersion == b.RulesVersion && slices.Equal(a.Members, b.Members) && slices.Equal(a.Moves, b.Moves) &&
		slices.Equal(a.Ramps, b.Ramps) && slices.Equal(a.Baselines, b.Baselines) && slices.Equal(a.Budgets, b.Budgets) &&
		slices.EqualFunc(a.Routes, b.Routes, func(x, y Route) bool { return reflect.DeepEqual(x, y) })
}

// advanceRoutes moves every route toward its target and appends the routes, moves
// and ramps to the plan. It returns the new split of each route by service and
// region of origin, without the unroutable shares.
func (w *planner) advanceRoutes(p *Plan) map[string]map[string]split {
	splits := map[string]map[string]split{}
	for _, s := range w.in.Rules.Services {
		splits[s.Name] = map[string]split{}
		for _, from := range w.in.Rules.Regions {
			r := w.advanceRoute(s, from.Name)
			route := w.buildRoute(s, r)
			p.Routes = append(p.Routes, route)
			splits[s.Name][from.Name] = splitOf(Route{Shares: route.Shares})
			if r.moved > 0 {
				p.Moves = append(p.Moves, Move{Service: s.Name, From: from.Name, At: w.now, Fraction: r.moved.float(), Version: w.nextVersion})
			}
			if r.remaining > 0 {
				p.Ramps = append(p.Ramps, Ramp{Service: s.Name, From: from.Name, Remaining: r.remaining.float(), End: w.rampEnd(s.Name, from.Name, w.estimatedEnd(s, r.remaining))})
			}
		}
	}
	slices.SortFunc(p.Routes, compareRoutes)
	slices.SortFunc(p.Ramps, func(a, b Ramp) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
	})
	return splits
}

// rampEnd returns the end of a ramp. It keeps the last plan's estimate if the new
// one differs by at most one window, so that the plan does not change.
func (w *planner) rampEnd(service, from string, estimate time.Time) time.Time {
	for _, r := range w.in.Last.Ramps {
		if r.Service == service && r.From == from && estimate.Sub(r.End).Abs() <= w.in.Rules.ShiftLimit(service).Window {
			return r.End
		}
	}
	return estimate
}

// allocateBudgets divides the slots of every service in every region over the
// members, and the cap of every link over the budgets that use it.
func (w *planner) allocateBudgets(splits map[string]map[string]split) []Budget {
	allocations := make([]allocation, 0, len(w.in.Last.Budgets))
	for _, p := range w.serviceRegions() {
		if w.capacity[p] > 0 || len(w.lastBudgets[p]) > 0 {
			allocations = append(allocations, w.allocateSlots(p, splits[p.service])...)
		}
	}
	w.allocateRates(allocations)
	return w.budgetsByMember(allocations)
}

// serviceRegions returns every pair of service and region, ordered by service and
// region.
func (w *planner) serviceRegions() []serviceRegion {
	all := make([]serviceRegion, 0, len(w.in.Rules.Services)*len(w.in.Rules.Regions))
	for _, s := range w.in.Rules.Services {
		for _, r := range w.in.Rules.Regions {
			all = append(all, serviceRegion{s.Name, r.Name})
		}
	}
	slices.SortFunc(all, func(a, b serviceRegion) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region))
	})
	return all
}

// budgetsByMember returns the budgets that allow any use, grouped by member. The
// allocations must be ordered by service and region.
func (w *planner) budgetsByMember(allocations []allocation) []Budget {
	groups := make([][]Budget, len(w.members))
	for i := range allocations {
		if b := w.newBudget(allocations[i]); !b.allowsNothing() {
			m := allocations[i].memberIndex
			groups[m] = append(groups[m], b)
		}
	}
	return slices.Concat(groups...)
}

// confirmedMoves returns the moves of the last plan. It sets AppliedAt of those
// that every entry is now known to have applied.
func (w *planner) confirmedMoves() []Move {
	moves := slices.Clone(w.in.Last.Moves)
	for i, m := range moves {
		if m.AppliedAt.IsZero() && w.appliedEverywhere(m.Version) {
			moves[i].AppliedAt = w.now
		}
	}
	return moves
}

// pruneMoves drops the moves that are too old to count in any window, and returns
// the rest with the time since which it is complete.
func (w *planner) pruneMoves(moves []Move, completeSince time.Time) ([]Move, time.Time) {
	retention := 2 * w.longestWindow()
	begin := w.now.Add(-retention)
	kept := slices.DeleteFunc(moves, func(m Move) bool { return !m.AppliedAt.IsZero() && m.AppliedAt.Before(begin) })
	if len(kept) < len(moves) && completeSince.Before(begin) {
		completeSince = begin
	}
	return kept, completeSince
}

// longestWindow returns the longest window of any service, at least one minute.
func (w *planner) longestWindow() time.Duration {
	longest := time.Minute
	for _, s := range w.in.Rules.Services {
		longest = max(longest, w.in.Rules.ShiftLimit(s.Name).Window)
	}
	return longest
}

const (
	// baselineDropFactor times the baseline is the latency below which the
	// baseline drops to the measured latency.
	baselineDropFactor = 0.8
	// baselineRiseFactor is the largest factor by which a baseline rises at a
	// renewal of the plan.
	baselineRiseFactor = 1.1
)

// updateBaselines returns the latency baselines for the plan. A baseline follows
// a lower latency at once. It rises slowly, and only while no route of the
// service is ramping.
func (w *planner) updateBaselines() []Baseline {
	var all []Baseline
	for _, s := range w.in.Rules.Services {
		for _, r := range w.in.Rules.Regions {
			p := serviceRegion{s.Name, r.Name}
			old, known := baselineOf(w.in.Last.Baselines, p)
			latency := w.measurements[p].latency
			if b := w.nextBaseline(p, old, known, latency); b > 0 {
				all = append(all, Baseline{Service: s.Name, Region: r.Name, Latency: b})
			}
		}
	}
	slices.SortFunc(all, func(a, b Baseline) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return all
}

// nextBaseline returns the new baseline of a service in a region. A latency of 0
// means that there is no measurement.
func (w *planner) nextBaseline(p serviceRegion, old time.Duration, known bool, latency time.Duration) time.Duration {
	switch {
	case latency == 0:
		return old
	case !known || float64(latency) < baselineDropFactor*float64(old):
		return latency
	case latency > old && w.renewalDue() && !w.ramping(p.service):
		return min(latency, time.Duration(baselineRiseFactor*float64(old)))
	}
	return old
}

// renewalDue reports whether the last plan is old enough to be replaced.
func (w *planner) renewalDue() bool {
	return !w.in.Last.ExpiresAt.IsZero() && !w.now.Before(w.in.Last.ExpiresAt.Add(-renewalLead))
}

// ramping reports whether a route of the service is not yet at its target.
func (w *planner) ramping(service string) bool {
	return slices.ContainsFunc(w.in.Last.Ramps, func(r Ramp) bool { return r.Service == service })
}
