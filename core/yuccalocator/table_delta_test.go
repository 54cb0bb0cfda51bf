package yuccalocator_test

import (
	"net/netip"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccarule"
)

var regions = []yuccarule.Region{{Name: "a"}, {Name: "b"}, {Name: "c"}}

// drawPrefix draws a block from a small range of addresses, so that blocks nest
// and repeat.
func drawPrefix(t *rapid.T) netip.Prefix {
	if rapid.Bool().Draw(t, "v6") {
		raw := [16]byte{0x20, 1, 0xd, byte(rapid.IntRange(0, 1).Draw(t, "hi")), 0, 0, 0, byte(rapid.IntRange(0, 3).Draw(t, "mid")), 15: byte(rapid.IntRange(0, 3).Draw(t, "lo"))}
		return netip.PrefixFrom(netip.AddrFrom16(raw), rapid.SampledFrom([]int{0, 16, 31, 32, 48, 62, 63, 64, 65, 126, 127, 128}).Draw(t, "bits")).Masked()
	}
	raw := [4]byte{10, byte(rapid.IntRange(0, 1).Draw(t, "b")), byte(rapid.IntRange(0, 3).Draw(t, "c")), byte(rapid.IntRange(0, 7).Draw(t, "d"))}
	return netip.PrefixFrom(netip.AddrFrom4(raw), rapid.SampledFrom([]int{0, 8, 15, 16, 17, 22, 23, 24, 29, 30, 31, 32}).Draw(t, "bits")).Masked()
}

// linearSearch finds a region by comparing an address with every block.
func linearSearch(blocks map[netip.Prefix]string, addr netip.Addr) string {
	best, region := -1, "default"
	for p, r := range blocks {
		if p.Contains(addr) && p.Bits() > best {
			best, region = p.Bits(), r
		}
	}
	return region
}

// TestRegionIsLongestPrefixMatch compares tables, built by New and changed by
// With, with a linear search.
func TestRegionIsLongestPrefixMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := map[netip.Prefix]string{}
		rules := yuccarule.Rules{Regions: regions}
		site := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(0, 30).Draw(t, "blocks") {
			p := drawPrefix(t)
			if _, ok := blocks[p]; !ok {
				blocks[p] = site.Draw(t, "site")
				rules.Blocks = append(rules.Blocks, yuccarule.CIDRBlock{Prefix: p, Site: blocks[p]})
			}
		}
		table := yuccalocator.New(rules, "default")
		checkTable(t, table, blocks)
		for range rapid.IntRange(0, 4).Draw(t, "deltas") {
			table = table.With(drawDelta(t, blocks, site))
			checkTable(t, table, blocks)
		}
	})
}

func drawDelta(t *rapid.T, blocks map[netip.Prefix]string, site *rapid.Generator[string]) yuccalocator.Delta {
	var d yuccalocator.Delta
	for range rapid.IntRange(0, 5).Draw(t, "removed") {
		p := drawPrefix(t)
		delete(blocks, p)
		d.Remove = append(d.Remove, p)
	}
	for range rapid.IntRange(0, 5).Draw(t, "set") {
		p := drawPrefix(t)
		blocks[p] = site.Draw(t, "site")
		d.Set = append(d.Set, yuccarule.CIDRBlock{Prefix: p, Site: blocks[p]})
	}
	return d
}

// checkTable compares the size of a table and its results for random addresses
// with blocks.
func checkTable(t *rapid.T, table yuccalocator.Table, blocks map[netip.Prefix]string) {
	if table.Len() != len(blocks) {
		t.Fatalf("table has %d blocks, want %d", table.Len(), len(blocks))
	}
	for range 20 {
		addr := drawPrefix(t).Addr()
		if got, want := table.Region(addr), linearSearch(blocks, addr); got != want {
			t.Fatalf("region of %s is %s, want %s", addr, got, want)
		}
	}
}

// TestWithLeavesOldTableUnchanged checks that With does not change the table that
// it is called on: other goroutines may still read that one.
func TestWithLeavesOldTableUnchanged(t *testing.T) {
	c := qt.New(t)
	p := netip.MustParsePrefix("10.1.0.0/24")
	old := yuccalocator.New(yuccarule.Rules{Regions: regions, Blocks: []yuccarule.CIDRBlock{{Prefix: p, Site: "a"}}}, "default")
	next := old.With(yuccalocator.Delta{Set: []yuccarule.CIDRBlock{{Prefix: p, Site: "b"}}})
	c.Assert(old.Region(p.Addr()), qt.Equals, "a")
	c.Assert(next.Region(p.Addr()), qt.Equals, "b")
	c.Assert(next.With(yuccalocator.Delta{Remove: []netip.Prefix{p}}).Region(p.Addr()), qt.Equals, "default")
}

// TestRegionDoesNotAllocate looks up an address of each family.
func TestRegionDoesNotAllocate(t *testing.T) {
	table := yuccalocator.New(randomRules(1000), "default")
	addrs := []netip.Addr{netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("2001:db8::1")}
	n := testing.AllocsPerRun(100, func() {
		for _, a := range addrs {
			runtime.KeepAlive(table.Region(a))
		}
	})
	qt.Assert(t, n, qt.Equals, 0.0)
}
