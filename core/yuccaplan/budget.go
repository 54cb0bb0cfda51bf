package yuccaplan

import (
	"math"
	"slices"
	"time"
)

const (
	// planLifetime is the time from the making of a plan until it expires.
	planLifetime = time.Minute
	// renewalLead is the time before a plan expires at which the planner
	// replaces it even if nothing has changed.
	renewalLead = planLifetime / 2
	// reserveDivisor limits the reserve for entries of other regions to
	// 1/reserveDivisor of a region's slots.
	reserveDivisor = 8
)

// allocation is the working state for one entry's budget of a service in a
// region: the budget of the last plan, the computed share and the grant.
type allocation struct {
	// entry is the member that receives the budget.
	entry Member
	// memberIndex is the index of the entry in planner.members.
	memberIndex int
	// key is the service and the region of the servers.
	key serviceRegion
	// last is the entry's budget in the last plan, or zero without one.
	last Budget
	// hadBudget is set when the last plan has a budget for the entry.
	hadBudget bool
	// weight is the entry's share of the demand, relative to other entries.
	weight float64
	// slots is the computed share of the slots, before the limits of earlier
	// plans apply.
	slots int
	// expiredSlots is the computed number of slots that remain after the plan has
	// expired. newBudget limits it to the granted slots.
	expiredSlots int
	// reserve is the computed share of the reserve for spillover.
	reserve int
	// maxPriorSlots is the number of slots that the entry may use under
	// earlier plans.
	maxPriorSlots int
	// grantedSlots is the number of slots granted, reserve included.
	grantedSlots int
	// grantedRate is the granted rate over a link in bytes per second. It is
	// zero if no link with a cap connects the entry to the region.
	grantedRate int64
}

// allocateSlots divides the slots of a service in a region over the entries.
func (w *planner) allocateSlots(p serviceRegion, splits map[string]split) []allocation {
	allocations := w.newAllocations(p, splits)
	w.setShares(p, allocations)
	for i := range allocations {
		allocations[i].maxPriorSlots = w.maxPriorSlots(allocations[i])
	}
	for i, n := range grantSlots(w.capacity[p], allocations) {
		allocations[i].grantedSlots = n
		if w.opt.ignorePriorSlots {
			allocations[i].grantedSlots = allocations[i].slots + allocations[i].reserve
		}
	}
	return slices.DeleteFunc(allocations, func(c allocation) bool { return c.grantedSlots == 0 && !c.hadBudget })
}

// newAllocations returns one allocation per member, with the budget of the last
// plan and the weight by demand. A member that is gone has weight 0.
func (w *planner) newAllocations(p serviceRegion, splits map[string]split) []allocation {
	allocations := make([]allocation, len(w.members))
	indexes := w.lastBudgets[p]
	for i, m := range w.members {
		c := &allocations[i]
		c.entry, c.memberIndex, c.key = m, i, p
		for len(indexes) > 0 && w.in.Last.Budgets[indexes[0]].Entry < m.Name {
			indexes = indexes[1:]
		}
		if len(indexes) > 0 && w.in.Last.Budgets[indexes[0]].Entry == m.Name {
			c.last, c.hadBudget = w.in.Last.Budgets[indexes[0]], true
		}
		if m.MissingSince.IsZero() {
			c.weight = splits[m.Region][p.region].float() * w.demandLevel(m, p)
		}
	}
	return allocations
}

// demandLevel returns an entry's demand for a service in a region, as requests
// in flight. It is rounded up to a power of two, so that a small change of
// demand does not change the plan. The older the measurement, the closer the
// result is to defaultDemandLevel; without one, the result is
// defaultDemandLevel.
func (w *planner) demandLevel(m Member, p serviceRegion) float64 {
	d, ok := w.demand[demandKey{m.Name, p.service, p.region}]
	if !ok || d.Age >= staleAge {
		return defaultDemandLevel
	}
	inFlight := d.InFlight
	if d.Rate > 0 {
		inFlight *= 1 + d.Rejected/d.Rate
	} else {
		inFlight += d.Rejected
	}
	measured := math.Pow(2, math.Ceil(math.Log2(max(inFlight, 0.5))))
	measured = min(max(measured, defaultDemandLevel/4), defaultDemandLevel*4)
	discount := StalenessDiscount(d.Age)
	return measured*(1-discount) + defaultDemandLevel*discount
}

// defaultDemandLevel is the demand, in requests in flight, of an entry without a
// recent measurement.
const defaultDemandLevel = 4.0

// setShares computes each entry's share of the capacity: slots by demand, expired
// slots in equal parts, and a reserve in equal parts for entries of other
// regions. The expired slots depend on the membership, not on measured demand.
func (w *planner) setShares(p serviceRegion, allocations []allocation) {
	capacity := w.capacity[p]
	weights := make([]float64, len(allocations))
	expiredWeights := make([]float64, len(allocations))
	remoteWeights := make([]float64, len(allocations))
	hasRemote, hasDemand := false, false
	for i, c := range allocations {
		if !c.entry.MissingSince.IsZero() {
			continue
		}
		weights[i] = c.weight
		if c.weight > 0 {
			expiredWeights[i], hasDemand = 1, true
		}
		if c.entry.Region != p.region && !w.drained[p.region] {
			remoteWeights[i], hasRemote = 1, true
		}
	}
	reserve := 0
	switch {
	case hasRemote && !hasDemand:
		reserve = capacity
	case hasRemote:
		reserve = min(capacity/reserveDivisor, w.maxSpillSlots(p))
	}
	for i, n := range apportion(int64(reserve), remoteWeights) {
		allocations[i].reserve = int(n)
	}
	for i, n := range apportion(int64(capacity-reserve), weights) {
		allocations[i].slots = int(n)
	}
	for i, n := range apportion(int64(capacity-reserve), expiredWeights) {
		allocations[i].expiredSlots = int(n)
	}
}

// maxSpillSlots returns the number of slots that a service in a region needs for
// spillover when all slots of the service's other regions are busy.
func (w *planner) maxSpillSlots(p serviceRegion) int {
	others := 0
	for key, n := range w.capacity {
		if key.service == p.service && key.region != p.region {
			others += n
		}
	}
	return int(math.Ceil(float64(others) * spillFraction(w.in.Rules.ShiftLimit(p.service)).float()))
}

// maxPriorSlots returns the largest number of slots that an entry may use under
// any earlier plan.
func (w *planner) maxPriorSlots(c allocation) int {
	if !c.hadBudget {
		return 0
	}
	slots := c.last.Slots
	if w.expiredEverywhere(w.in.Last.ExpiresAt) {
		slots = c.last.ExpiredSlots
	}
	slots += c.last.Reserve
	prior := c.last.Prior
	switch {
	case w.ackedVersions[c.entry.Name] >= prior.Version:
	case w.expiredEverywhere(prior.Until):
		slots = max(slots, prior.ExpiredSlots)
	default:
		slots = max(slots, prior.Slots)
	}
	return slots
}

// expiredEverywhere reports whether a time has passed on the clock of every
// instance. A zero time never passes.
func (w *planner) expiredEverywhere(t time.Time) bool {
	return !t.IsZero() && w.now.After(t.Add(maxClockSkew))
}

// grantSlots returns the slots granted to each entry. An entry that needs fewer
// slots than before gets fewer at once. Additional slots come only from capacity
// that no entry may use under an earlier plan. While earlier plans allow more
// than the capacity, for example after a loss of servers, no entry gets more
// than in the last plan.
func grantSlots(capacity int, allocations []allocation) []int {
	quotas := make([]quota, len(allocations))
	for i, c := range allocations {
		quotas[i] = quota{want: int64(c.slots + c.reserve), last: int64(c.last.Slots + c.last.Reserve), bound: int64(c.maxPriorSlots)}
	}
	out := make([]int, len(allocations))
	for i, n := range grantQuotas(int64(capacity), quotas) {
		out[i] = int(n)
	}
	return out
}

// quota is one entry's part in the division of a limited quantity: slots, or
// bytes per second.
type quota struct {
	// want is the amount that the entry should get.
	want int64
	// last is the amount in the last plan.
	last int64
	// bound is the largest amount that any earlier plan still allows the entry.
	bound int64
}

// grantQuotas divides total as grantSlots describes.
func grantQuotas(total int64, quotas []quota) []int64 {
	out := make([]int64, len(quotas))
	shortfalls := make([]float64, len(quotas))
	available := total
	for _, a := range quotas {
		available -= a.bound
	}
	var shortfall int64
	for i, a := range quotas {
		out[i] = min(a.want, a.bound)
		if available < 0 {
			out[i] = min(out[i], a.last)
		}
		shortfalls[i] = float64(max(0, a.want-a.bound))
		shortfall += max(0, a.want-a.bound)
	}
	for i, n := range apportion(min(available, shortfall), shortfalls) {
		out[i] += n
	}
	return out
}

// newBudget returns the budget for an allocation, including the limits of earlier
// plans that the entry may still use.
func (w *planner) newBudget(c allocation) Budget {
	b := Budget{Entry: c.entry.Name, Service: c.key.service, Region: c.key.region, Rate: float64(c.grantedRate)}
	b.Reserve = min(c.reserve, c.grantedSlots)
	if c.slots > 0 && c.grantedSlots > 1 {
		b.Reserve = min(c.reserve, c.grantedSlots-1)
	}
	b.Slots = c.grantedSlots - b.Reserve
	b.ExpiredSlots = min(b.Slots, c.expiredSlots)
	b.Prior = w.priorLimits(c, b)
	return b
}

// allowsNothing reports whether neither the budget nor an earlier plan allows any
// use.
func (b Budget) allowsNothing() bool {
	return b.Slots == 0 && b.Reserve == 0 && b.Rate == 0 && b.Prior == PriorLimits{}
}

// priorLimits returns the limits of earlier plans that exceed the new budget b.
// It merges those of the last plan with those that the last plan recorded. The
// result is zero when b covers them all.
func (w *planner) priorLimits(c allocation, b Budget) PriorLimits {
	if !c.hadBudget {
		return PriorLimits{}
	}
	old := c.last.Prior
	if w.ackedVersions[c.entry.Name] >= old.Version {
		old = PriorLimits{}
	}
	last := PriorLimits{Slots: c.last.Slots + c.last.Reserve, ExpiredSlots: c.last.ExpiredSlots + c.last.Reserve, Rate: c.last.Rate}
	total, expired := b.Slots+b.Reserve, b.ExpiredSlots+b.Reserve
	if last.Slots <= total && last.ExpiredSlots <= expired && last.Rate <= b.Rate {
		if old.Slots <= total && old.ExpiredSlots <= expired && old.Rate <= b.Rate {
			return PriorLimits{}
		}
		return old
	}
	until := w.in.Last.ExpiresAt
	if old.Until.After(until) {
		until = old.Until
	}
	return PriorLimits{
		Version: w.nextVersion, Until: until,
		Slots: max(old.Slots, last.Slots), ExpiredSlots: max(old.ExpiredSlots, last.ExpiredSlots), Rate: max(old.Rate, last.Rate),
	}
}
