package yuccalocator

import (
	"slices"

	"yuccawell.example/core/yuccastore"
)

// Rank orders entries for a caller in the given region: first the entries of
// that region, then all others. It omits the entries that are leaving. Each of
// the two groups is rotated by spread, usually a hash of the caller, so that
// callers are spread over its entries.
func Rank(entries []yuccastore.Instance, region string, spread uint64) []yuccastore.Instance {
	return RankFullLast(entries, region, spread, func(string) bool { return false })
}

// RankFullLast is like Rank, but moves the entries for which full returns true to
// the end of their group.
func RankFullLast(entries []yuccastore.Instance, region string, spread uint64, full func(name string) bool) []yuccastore.Instance {
	var local, remote []yuccastore.Instance
	for _, e := range entries {
		switch {
		case e.Leaving:
		case e.Region == region:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	return append(order(local, spread, full), order(remote, spread, full)...)
}

// order rotates a list and puts the full entries last.
func order(list []yuccastore.Instance, by uint64, full func(name string) bool) []yuccastore.Instance {
	list = rotate(list, by)
	slices.SortStableFunc(list, func(a, b yuccastore.Instance) int { return fullRank(full(a.Name)) - fullRank(full(b.Name)) })
	return list
}

func fullRank(full bool) int {
	if full {
		return 1
	}
	return 0
}

// rotate returns a copy of list that begins at the position by modulo its length.
func rotate(list []yuccastore.Instance, by uint64) []yuccastore.Instance {
	if len(list) == 0 {
		return nil
	}
	start := int(by % uint64(len(list)))
	return append(slices.Clone(list[start:]), list[:start]...)
}
