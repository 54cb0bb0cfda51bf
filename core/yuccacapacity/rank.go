package yuccacapacity

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// unevenFactor is the ratio of the largest entry's capacity to that of another entry
	// from which the other one counts as small. Where no entry is small, all are named.
	unevenFactor = 4
	// strongShare is the part of the largest entry's capacity from which another entry can
	// do as much work for other entries.
	strongShare = 0.75
	// saturatedFactor is the share of its capacity that a saturated entry counts for.
	saturatedFactor = 0.5
)

// member is an entry with its capacity.
type member struct {
	Entry
	// rate is how many requests per second the entry can carry, and usable what counts
	// of that now.
	rate, usable float64
	// hash orders entries of the same capacity.
	hash uint64
}

// decidable reports whether the capacity of every entry is known and no figure is absurd.
func decidable(all []Entry) bool {
	return len(all) > 0 && !slices.ContainsFunc(all, func(e Entry) bool {
		return !e.Capacity.Known() || !e.Utilization.plausible()
	})
}

// Large returns the names of the entries of a region that are not small, judged by their
// capacities, or all names if a capacity is unknown or a figure is implausible. Lookups name these entries at any
// load.
func Large(all []Entry) []string {
	var names []string
	if !decidable(all) {
		for _, e := range all {
			names = append(names, e.Name)
		}
		return names
	}
	large, _ := split(rank(all, cost{priorCores, priorMegabits}))
	for _, m := range large {
		names = append(names, m.Name)
	}
	return names
}

// Strong returns the names of the entries that are about as large as the largest one, judged
// by their capacities, or none if a capacity is unknown. They suit work that one entry does
// for many others.
func Strong(all []Entry) []string {
	if !decidable(all) {
		return nil
	}
	var names []string
	members := rank(all, cost{priorCores, priorMegabits})
	for _, m := range members {
		if m.rate >= strongShare*members[0].rate {
			names = append(names, m.Name)
		}
	}
	return names
}

// split divides the ranked members of a region into large and small ones.
func split(members []member) (large, small []member) {
	i := slices.IndexFunc(members, func(m member) bool { return m.rate <= members[0].rate/unevenFactor })
	if i < 0 {
		return members, nil
	}
	return members[:i], members[i:]
}

// rank returns the entries with their capacities for requests of the given cost, largest
// first. Directories that receive the same heartbeats rank alike.
func rank(all []Entry, each cost) []member {
	members := make([]member, 0, len(all))
	for _, e := range all {
		m := member{Entry: e, rate: e.Capacity.requestRate(each), hash: xxhash.Sum64String(e.Name)}
		m.usable = m.rate
		if e.Utilization.Saturated {
			m.usable *= saturatedFactor
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	return members
}
