package yuccacapacity

import (
	"maps"
	"slices"
	"time"
)

const (
	// reserveShare is the share of the capacity of the named entries that the demand may
	// take. Demand grows by up to 55% within seconds, which leaves 0.22 of the capacity.
	reserveShare = 0.5
	// lossShare is the share of the capacity of the other named entries that the demand
	// may take after the loss of the largest one.
	lossShare = 0.8
	// shrinkMargin is the factor by which the demand may grow before entries that are
	// left out are named again.
	shrinkMargin = 1.25
	// shrinkDelay is how long the remaining entries must have had room for the demand
	// before others are left out, as their callers reconnect. It is longer than the
	// usual swing of the demand between regions. It does not hold when entries join that
	// were missing; see gained.
	shrinkDelay = 20 * time.Second
)

// Entry is an entry of a region that accepts callers.
type Entry struct {
	// Name identifies the entry.
	Name string
	// Domain is the failure domain that the entry runs in.
	Domain string
	// Capacity is what the entry can carry, the zero value if it is unknown.
	Capacity Capacity
	// Utilization is what the entry carries at present.
	Utilization Utilization
}

// Choice is the decision which entries of a region lookups name. It addresses a region
// of few large and many small entries: equal shares of the callers would saturate the
// small ones while the large ones idle. Small entries are named in addition at once when
// the large ones do not carry the demand with a reserve, and are left out again when they
// have not been needed for a while. It is immutable; the zero value is that of a
// directory that has not decided.
type Choice struct {
	// settled is set when the region has been uneven before.
	settled bool
	// seen holds when each entry was last part of a decision, for shrinkDelay.
	seen map[string]time.Time
	// named holds the named entries, largest first, or by name if all are named alike.
	named []member
	// alike is set if every lookup names all entries.
	alike bool
	// roomySince is since when fewer extras have been enough, zero if they are not.
	roomySince time.Time
	// local holds the failure domains whose callers use the entries of their own domain.
	local map[string]bool
	// localSince is since when each other domain could have become local.
	localSince map[string]time.Time
	// demand and capacity are the requests per second of the region and what the named
	// entries can carry.
	demand, capacity float64
}

// Next returns the decision at now for the entries of the region, which follows c.
func (c Choice) Next(now time.Time, all []Entry) Choice {
	if !decidable(all) {
		return c.nameAll(now, all)
	}
	members := rank(all, meanCost(all))
	large, small := split(members)
	if len(small) == 0 {
		return c.nameAll(now, all)
	}
	n := Choice{settled: true, seen: c.nextSeen(now, all), demand: demandOf(members)}
	var extras map[string]bool
	extras, n.roomySince = c.nextExtras(now, n.demand, large, small)
	n.named = slices.Clone(large)
	for _, m := range small {
		if extras[m.Name] {
			n.named = append(n.named, m)
		}
	}
	for _, m := range n.named {
		n.capacity += m.usable
	}
	n.local, n.localSince = c.nextLocal(now, n.demand, members, large, len(extras) > 0)
	return n
}

// nameAll returns the decision to name all entries in each response.
func (c Choice) nameAll(now time.Time, all []Entry) Choice {
	n := Choice{settled: c.settled, alike: true, named: make([]member, 0, len(all))}
	if c.settled {
		n.seen = c.nextSeen(now, all)
	}
	for _, e := range all {
		n.named = append(n.named, member{Entry: e})
	}
	return n
}

func demandOf(members []member) float64 {
	demand := 0.0
	for _, m := range members {
		demand += m.Utilization.Rate
	}
	return demand
}

// nextSeen returns when each entry was last part of a decision, with the one at now.
func (c Choice) nextSeen(now time.Time, all []Entry) map[string]time.Time {
	seen := make(map[string]time.Time, len(all))
	for name, at := range c.seen {
		if now.Sub(at) < shrinkDelay {
			seen[name] = at
		}
	}
	for _, e := range all {
		seen[e.Name] = now
	}
	return seen
}

// gained reports whether a new large entry has joined, or a new entry of a failure domain
// that has no other one. Small entries that were named for lack of it are then left out
// without a delay: missing entries made them necessary, and not a demand that may return.
// An entry that was part of a decision within shrinkDelay is not new, so that callers do
// not follow every change of one that comes and goes.
func (c Choice) gained(large, small []member) bool {
	isNew := func(m member) bool { return c.seen[m.Name].IsZero() }
	domains := map[string]int{}
	for _, m := range slices.Concat(large, small) {
		domains[m.Domain]++
	}
	only := func(m member) bool { return isNew(m) && domains[m.Domain] == 1 }
	return slices.ContainsFunc(large, isNew) || slices.ContainsFunc(small, only)
}

// nextExtras returns the small entries that are named besides the large ones, and since
// when fewer of them have been enough.
func (c Choice) nextExtras(now time.Time, demand float64, large, small []member) (extras map[string]bool, roomySince time.Time) {
	kept := func(m member) bool {
		return slices.ContainsFunc(c.named, func(n member) bool { return n.Name == m.Name })
	}
	roomy := leastExtras(demand*shrinkMargin, large, small, func(member) bool { return false })
	if !c.settled || c.gained(large, small) {
		return roomy, time.Time{}
	}
	extras = leastExtras(demand, large, small, kept)
	if len(roomy) >= len(extras) {
		return extras, time.Time{}
	}
	if c.roomySince.IsZero() {
		return extras, now
	}
	if now.Sub(c.roomySince) < shrinkDelay {
		return extras, c.roomySince
	}
	return roomy, time.Time{}
}

// leastExtras returns the small entries that kept selects and as many more as it takes to
// carry the demand, the largest first. If the large entries are all in one failure
// domain, it includes every small entry of the other domains, which share the part of the
// callers that each lookup sends there.
func leastExtras(demand float64, large, small []member, kept func(member) bool) map[string]bool {
	extras := map[string]bool{}
	var total, largest float64
	add := func(m member) { total, largest = total+m.usable, max(largest, m.usable) }
	for _, m := range large {
		add(m)
	}
	oneDomain := !slices.ContainsFunc(large, func(m member) bool { return m.Domain != large[0].Domain })
	for _, m := range small {
		if kept(m) || oneDomain && m.Domain != large[0].Domain {
			extras[m.Name] = true
			add(m)
		}
	}
	for _, m := range small {
		if carries(demand, total, largest) {
			break
		}
		if !extras[m.Name] {
			extras[m.Name] = true
			add(m)
		}
	}
	return extras
}

// carries reports whether entries with the given total and largest capacity carry a
// demand with a reserve, also after the loss of the largest one.
func carries(demand, total, largest float64) bool {
	return total > largest && demand <= reserveShare*total && demand <= lossShare*(total-largest)
}

// nextLocal returns the failure domains whose large entries carry the callers of their
// domain with a reserve, and since when the other domains could have become such.
// Heartbeats do not tell where callers are. The demand of a domain counts as its equal
// part of the region's, or as what its entries carry where that is more. While small
// entries are needed, all callers share all entries.
func (c Choice) nextLocal(now time.Time, demand float64, members, large []member, needExtras bool) (local map[string]bool, since map[string]time.Time) {
	if needExtras {
		return nil, nil
	}
	measured := map[string]float64{}
	for _, m := range members {
		measured[m.Domain] += m.Utilization.Rate
	}
	local, since = map[string]bool{}, map[string]time.Time{}
	for domain, d := range measured {
		d = max(d, demand/float64(len(measured)))
		var total, largest float64
		for _, m := range large {
			if m.Domain == domain {
				total, largest = total+m.usable, max(largest, m.usable)
			}
		}
		if c.local[domain] {
			local[domain] = carries(d, total, largest)
			continue
		}
		if !carries(d*shrinkMargin, total, largest) {
			continue
		}
		since[domain] = now
		if earlier, ok := c.localSince[domain]; ok {
			since[domain] = earlier
		}
		local[domain] = !c.settled || now.Sub(since[domain]) >= shrinkDelay
	}
	return local, since
}

// Named returns the sorted names of the entries that lookups name.
func (c Choice) Named() []string {
	var names []string
	for _, m := range c.named {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// Uneven reports whether the entries of the region differ so much that lookups do not
// name all of them alike.
func (c Choice) Uneven() bool { return c.settled && !c.alike }

// Demand returns the requests per second of the region, 0 unless it is uneven.
func (c Choice) Demand() float64 { return c.demand }

// Capacity returns how many requests per second the named entries can carry, 0 unless the
// region is uneven.
func (c Choice) Capacity() float64 { return c.capacity }

// LocalDomains returns the sorted failure domains whose callers use the entries of their
// own domain.
func (c Choice) LocalDomains() []string {
	domains := slices.Sorted(maps.Keys(c.local))
	return slices.DeleteFunc(domains, func(d string) bool { return !c.local[d] })
}
