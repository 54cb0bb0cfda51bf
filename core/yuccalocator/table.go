// Package yuccalocator finds the region of a caller by its IP address, and the
// entries (the proxy instances of the system) that the caller should use.
//
// A Table maps the CIDR blocks of the rules to sites, and so to regions, by
// longest prefix match. Rank orders the entries for a region.
//
//	table := yuccalocator.New(rules, "palermo")
//	region := table.Region(addr)
//	best := yuccalocator.Rank(entries, region, hashOfCaller)
package yuccalocator

import (
	"net/netip"
	"slices"

	"yuccawell.example/core/yuccarule"
)

// Table maps client addresses to regions. It is immutable: With returns a
// changed table that shares the unchanged parts.
type Table struct {
	// defaultRegion is the region of addresses outside every block.
	defaultRegion string
	// sites are the sites that the blocks belong to. Blocks refer to a site by its
	// position here.
	sites []yuccarule.Site
	// v4 holds the IPv4 blocks.
	v4 directory[addr4]
	// v6 holds the IPv6 blocks.
	v6 directory[addr6]
}

// Delta is a change of a table. Removals are applied before additions.
type Delta struct {
	// Set lists the blocks to add, or to move to another site if the table has
	// them.
	Set []yuccarule.CIDRBlock
	// Remove lists the blocks to remove. Blocks that the table does not have are
	// ignored.
	Remove []netip.Prefix
}

// New returns the table of the blocks in rules, without those of unknown sites.
// Addresses outside every block belong to defaultRegion.
func New(rules yuccarule.Rules, defaultRegion string) Table {
	t := Table{defaultRegion: defaultRegion, sites: sites(rules)}
	index := t.siteIndex()
	var v4 []row[addr4]
	var v6 []row[addr6]
	for _, b := range rules.Blocks {
		site, ok := index[b.Site]
		if !ok {
			continue
		}
		if p := b.Prefix.Masked(); p.Addr().Is4() {
			v4 = append(v4, row[addr4]{start: from4(p.Addr()), site: site, bits: uint8(p.Bits())})
		} else {
			v6 = append(v6, row[addr6]{start: from6(p.Addr()), site: site, bits: uint8(p.Bits())})
		}
	}
	t.v4, t.v6 = newDirectory(v4), newDirectory(v6)
	return t
}

// sites lists the sites of rules. Each region is also a site of its own name.
func sites(rules yuccarule.Rules) []yuccarule.Site {
	var all []yuccarule.Site
	for _, r := range rules.Regions {
		all = append(all, yuccarule.Site{Name: r.Name, Region: r.Name})
	}
	return append(all, rules.Sites...)
}

// siteIndex returns the position of each site in t.sites by name.
func (t Table) siteIndex() map[string]uint16 {
	index := make(map[string]uint16, len(t.sites))
	for i, s := range t.sites {
		index[s.Name] = uint16(i)
	}
	return index
}

// With returns the table with a change applied. It ignores blocks in d.Set
// with a site that the table does not have.
func (t Table) With(d Delta) Table {
	index := t.siteIndex()
	var v4 []change[addr4]
	var v6 []change[addr6]
	for _, p := range d.Remove {
		v4, v6 = appendChange(v4, v6, p, 0, true)
	}
	for _, b := range d.Set {
		if site, ok := index[b.Site]; ok {
			v4, v6 = appendChange(v4, v6, b.Prefix, site, false)
		}
	}
	t.v4, t.v6 = t.v4.with(v4), t.v6.with(v6)
	return t
}

// appendChange appends the change of a block to the list of its address family.
func appendChange(v4 []change[addr4], v6 []change[addr6], p netip.Prefix, site uint16, remove bool) ([]change[addr4], []change[addr6]) {
	p = p.Masked()
	bits := uint8(p.Bits())
	if p.Addr().Is4() {
		return append(v4, change[addr4]{row[addr4]{start: from4(p.Addr()), site: site, bits: bits}, remove}), v6
	}
	return v4, append(v6, change[addr6]{row[addr6]{start: from6(p.Addr()), site: site, bits: bits}, remove})
}

// Region returns the region of the longest prefix that contains addr. An IPv4
// address mapped to IPv6 counts as IPv4.
func (t Table) Region(addr netip.Addr) string {
	site, ok := uint16(0), false
	if addr = addr.Unmap(); addr.Is4() {
		site, ok = t.v4.find(from4(addr))
	} else {
		site, ok = t.v6.find(from6(addr))
	}
	if !ok {
		return t.defaultRegion
	}
	return t.sites[site].Region
}

// Len returns the number of blocks of both address families.
func (t Table) Len() int { return t.v4.len() + t.v6.len() }

// Sites returns the names of the sites, sorted.
func (t Table) Sites() []string {
	var names []string
	for _, s := range t.sites {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return names
}
