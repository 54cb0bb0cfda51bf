package yuccaplan

import (
	"math"
	"slices"
	"time"
)

const (
	// lifetime is how long a plan holds without a later one.
	lifetime = time.Minute
	// renewal is how long before its end a plan is made anew.
	renewal = lifetime / 2
	// reserveShare bounds the part of a region's slots set aside for entries of
	// other regions: one in so many.
	reserveShare = 8
)

// claim is what one entry has of a place and what it shall have.
type claim struct {
	entry Member
	// member is the entry's place among the members.
	member int
	place  place
	last   Budget
	had    bool
	weight float64
	// slots, floor and reserve are what it would have if it alone counted.
	slots, floor, reserve int
	// bound is the most it may use under plans before this one.
	bound int
	// granted is what it gets, rate what it gets of a link.
	granted int
	rate    int64
}

// budgets divides the slots of a place over the entries.
func (w *world) budgets(p place, parts map[string]spread) []claim {
	claims := w.claims(p, parts)
	w.want(p, claims)
	for i := range claims {
		claims[i].bound = w.bound(claims[i])
	}
	for i, n := range grant(w.capacity[p], claims) {
		claims[i].granted = n
		if w.opt.noPast {
			claims[i].granted = claims[i].slots + claims[i].reserve
		}
	}
	return slices.DeleteFunc(claims, func(c claim) bool { return c.granted == 0 && !c.had })
}

// claims joins the members with what the last plan gave them.
func (w *world) claims(p place, parts map[string]spread) []claim {
	claims := make([]claim, len(w.members))
	rows := w.rows[p]
	for i, m := range w.members {
		c := &claims[i]
		c.entry, c.member, c.place = m, i, p
		for len(rows) > 0 && w.in.Last.Budgets[rows[0]].Entry < m.Name {
			rows = rows[1:]
		}
		if len(rows) > 0 && w.in.Last.Budgets[rows[0]].Entry == m.Name {
			c.last, c.had = w.in.Last.Budgets[rows[0]], true
		}
		if m.Gone.IsZero() {
			c.weight = parts[m.Region][p.region].float() * w.level(m, p)
		}
	}
	return claims
}

// level is the entry's demand for a service, in coarse steps so that small
// changes do not change the plan. An entry that nothing is known of, or only
// old measurements, counts as one of usual demand.
func (w *world) level(m Member, p place) float64 {
	d, ok := w.demand[demandKey{m.Name, p.service, p.region}]
	if !ok || d.Age >= staleAge {
		return usualLevel
	}
	need := d.Busy
	if d.Rate > 0 {
		need *= 1 + d.Refused/d.Rate
	} else {
		need += d.Refused
	}
	known := math.Pow(2, math.Ceil(math.Log2(max(need, 0.5))))
	known = min(max(known, usualLevel/4), usualLevel*4)
	caution := StalenessDiscount(d.Age)
	return known*(1-caution) + usualLevel*caution
}

// usualLevel is the demand assumed of an entry.
const usualLevel = 4.0

// want sets what each entry shall have: the slots by demand, a floor that only
// depends on who is there, and a reserve for entries of other regions.
func (w *world) want(p place, claims []claim) {
	capacity := w.capacity[p]
	weights := make([]float64, len(claims))
	near := make([]float64, len(claims))
	far := make([]float64, len(claims))
	anyFar, anyNear := false, false
	for i, c := range claims {
		if !c.entry.Gone.IsZero() {
			continue
		}
		weights[i] = c.weight
		if c.weight > 0 {
			near[i], anyNear = 1, true
		}
		if c.entry.Region != p.region && !w.drained[p.region] {
			far[i], anyFar = 1, true
		}
	}
	reserve := 0
	switch {
	case anyFar && !anyNear:
		reserve = capacity
	case anyFar:
		reserve = min(capacity/reserveShare, w.spilled(p))
	}
	for i, n := range apportion(int64(reserve), far) {
		claims[i].reserve = int(n)
	}
	for i, n := range apportion(int64(capacity-reserve), weights) {
		claims[i].slots = int(n)
	}
	for i, n := range apportion(int64(capacity-reserve), near) {
		claims[i].floor = int(n)
	}
}

// spilled returns the slots that a place needs at most for requests that spill
// from the service's other regions, were all of those busy.
func (w *world) spilled(p place) int {
	others := 0
	for at, n := range w.capacity {
		if at.service == p.service && at.region != p.region {
			others += n
		}
	}
	return int(math.Ceil(float64(others) * spillOf(w.in.Rules.ShiftLimit(p.service)).float()))
}

// bound is the most that an entry may use of a place under any plan before this
// one.
func (w *world) bound(c claim) int {
	if !c.had {
		return 0
	}
	use := c.last.Slots
	if w.over(w.in.Last.Until) {
		use = c.last.ExpiredSlots
	}
	use += c.last.Reserve
	past := c.last.Prior
	switch {
	case w.acks[c.entry.Name] >= past.Version:
	case w.over(past.Until):
		use = max(use, past.ExpiredSlots)
	default:
		use = max(use, past.Slots)
	}
	return use
}

// over reports whether a time has passed on every clock.
func (w *world) over(t time.Time) bool { return !t.IsZero() && w.now.After(t.Add(skew)) }

// grant gives each entry what it wants as far as the others' bounds leave room:
// less is granted at once, more only out of what nobody may use. While earlier
// plans allow more than there is, as after a loss of servers, nobody gets more
// than the last plan gave.
func grant(capacity int, claims []claim) []int {
	wants := make([]allotment, len(claims))
	for i, c := range claims {
		wants[i] = allotment{want: int64(c.slots + c.reserve), last: int64(c.last.Slots + c.last.Reserve), bound: int64(c.bound)}
	}
	out := make([]int, len(claims))
	for i, n := range allot(int64(capacity), wants) {
		out[i] = int(n)
	}
	return out
}

// allotment is what one of several wants of a quantity, what the last plan gave
// it and the most that any earlier plan did.
type allotment struct{ want, last, bound int64 }

func allot(total int64, all []allotment) []int64 {
	out := make([]int64, len(all))
	missing := make([]float64, len(all))
	room := total
	for _, a := range all {
		room -= a.bound
	}
	var short int64
	for i, a := range all {
		out[i] = min(a.want, a.bound)
		if room < 0 {
			out[i] = min(out[i], a.last)
		}
		missing[i] = float64(max(0, a.want-a.bound))
		short += max(0, a.want-a.bound)
	}
	for i, n := range apportion(min(room, short), missing) {
		out[i] += n
	}
	return out
}

// budget writes what was granted, and what earlier plans still allow.
func (w *world) budget(c claim) Budget {
	b := Budget{Entry: c.entry.Name, Service: c.place.service, Region: c.place.region, Rate: float64(c.rate)}
	b.Reserve = min(c.reserve, c.granted)
	if c.slots > 0 && c.granted > 1 {
		b.Reserve = min(c.reserve, c.granted-1)
	}
	b.Slots = c.granted - b.Reserve
	b.ExpiredSlots = min(b.Slots, c.floor)
	b.Prior = w.past(c, b)
	return b
}

// empty reports whether a budget allows nothing and never did.
func (b Budget) empty() bool {
	return b.Slots == 0 && b.Reserve == 0 && b.Rate == 0 && b.Prior == PriorLimits{}
}

// past joins what the last plan allowed to what those before it did, where the
// new budget does not cover it.
func (w *world) past(c claim, b Budget) PriorLimits {
	if !c.had {
		return PriorLimits{}
	}
	old := c.last.Prior
	if w.acks[c.entry.Name] >= old.Version {
		old = PriorLimits{}
	}
	last := PriorLimits{Slots: c.last.Slots + c.last.Reserve, ExpiredSlots: c.last.ExpiredSlots + c.last.Reserve, Rate: c.last.Rate}
	total, floor := b.Slots+b.Reserve, b.ExpiredSlots+b.Reserve
	if last.Slots <= total && last.ExpiredSlots <= floor && last.Rate <= b.Rate {
		if old.Slots <= total && old.ExpiredSlots <= floor && old.Rate <= b.Rate {
			return PriorLimits{}
		}
		return old
	}
	until := w.in.Last.Until
	if old.Until.After(until) {
		until = old.Until
	}
	return PriorLimits{
		Version: w.next, Until: until,
		Slots: max(old.Slots, last.Slots), ExpiredSlots: max(old.ExpiredSlots, last.ExpiredSlots), Rate: max(old.Rate, last.Rate),
	}
}
