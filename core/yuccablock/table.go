// Package yuccablock finds the region of a caller and the entries it should
// use.
package yuccablock

import (
	"net/netip"
	"slices"

	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// Table maps client addresses to regions. It is immutable.
type Table struct {
	rows []row
	home string
}

type row struct {
	prefix netip.Prefix
	region string
}

// New returns the table of the blocks in rules. Addresses outside every block
// belong to home.
func New(rules yuccarule.Rules, home string) Table {
	region := map[string]string{}
	for _, r := range rules.Regions {
		region[r.Name] = r.Name
	}
	for _, s := range rules.Sites {
		region[s.Name] = s.Region
	}
	t := Table{home: home}
	for _, b := range rules.Blocks {
		t.rows = append(t.rows, row{b.Prefix, region[b.Site]})
	}
	slices.SortStableFunc(t.rows, func(a, b row) int { return b.prefix.Bits() - a.prefix.Bits() })
	return t
}

// Region returns the region of the longest prefix that holds addr.
func (t Table) Region(addr netip.Addr) string {
	addr = addr.Unmap()
	for _, r := range t.rows {
		if r.prefix.Contains(addr) {
			return r.region
		}
	}
	return t.home
}

// Rank orders entries for a caller in the given region, best first, and leaves
// out those that are leaving. The spread number turns the order within a region
// so that callers divide among its entries.
func Rank(entries []yuccastore.Instance, region string, spread uint64) []yuccastore.Instance {
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
	return append(turn(near, spread), turn(far, spread)...)
}

func turn(list []yuccastore.Instance, by uint64) []yuccastore.Instance {
	if len(list) == 0 {
		return nil
	}
	at := int(by % uint64(len(list)))
	return append(slices.Clone(list[at:]), list[:at]...)
}
