package yuccalocator

import (
	"slices"

	"yuccawell.example/core/yuccastore"
)

// Rank orders entries for a caller in the given region, best first, and leaves
// out those that are leaving. The spread number turns the order within a region
// so that callers divide among its entries.
func Rank(entries []yuccastore.Instance, region string, spread uint64) []yuccastore.Instance {
	return RankFullLast(entries, region, spread, func(string) bool { return false })
}

// RankFullLast is Rank with entries that are full put last in their region.
func RankFullLast(entries []yuccastore.Instance, region string, spread uint64, full func(name string) bool) []yuccastore.Instance {
	var near, far []yuccastore.Instance
	for _, e := range entries {
		switch {
		case e.Leaving:
		case e.Region == region:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	return append(order(near, spread, full), order(far, spread, full)...)
}

func order(list []yuccastore.Instance, by uint64, full func(name string) bool) []yuccastore.Instance {
	list = turn(list, by)
	slices.SortStableFunc(list, func(a, b yuccastore.Instance) int { return rank(full(a.Name)) - rank(full(b.Name)) })
	return list
}

func rank(full bool) int {
	if full {
		return 1
	}
	return 0
}

func turn(list []yuccastore.Instance, by uint64) []yuccastore.Instance {
	if len(list) == 0 {
		return nil
	}
	at := int(by % uint64(len(list)))
	return append(slices.Clone(list[at:]), list[:at]...)
}
