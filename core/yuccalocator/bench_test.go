package yuccalocator_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccarule"
)

const (
	targetBlocks = 3_500_000
	targetSites  = 1400
)

// bigRules returns n blocks, one in seven of them IPv6, on 1,400 sites.
func bigRules(n int) yuccarule.Rules {
	rules := yuccarule.Rules{Regions: regions}
	for i := range targetSites {
		rules.Sites = append(rules.Sites, yuccarule.Site{Name: fmt.Sprintf("site-%d", i), Region: regions[i%len(regions)].Name})
	}
	r := rand.New(rand.NewPCG(1, 1))
	seen := make(map[netip.Prefix]bool, n)
	for len(seen) < n {
		p := randomPrefix(r)
		if !seen[p] {
			seen[p] = true
			rules.Blocks = append(rules.Blocks, yuccarule.CIDRBlock{Prefix: p, Site: rules.Sites[r.IntN(targetSites)].Name})
		}
	}
	return rules
}

func randomPrefix(r *rand.Rand) netip.Prefix {
	if r.IntN(7) == 0 {
		var raw [16]byte
		binary.BigEndian.PutUint64(raw[:], 0x2000<<48|r.Uint64()>>16<<3)
		return netip.PrefixFrom(netip.AddrFrom16(raw), 32+r.IntN(33)).Masked()
	}
	return netip.PrefixFrom(randomAddr(r), 16+r.IntN(13)).Masked()
}

func randomAddr(r *rand.Rand) netip.Addr {
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], r.Uint32())
	return netip.AddrFrom4(raw)
}

var big = sync.OnceValues(func() (yuccalocator.Table, float64) {
	rules := bigRules(targetBlocks)
	before := heap()
	table := yuccalocator.New(rules, "home")
	after := heap()
	runtime.KeepAlive(rules)
	return table, float64(after-before) / (1 << 20)
})

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLookUp gives the time of one look-up in the table at target size,
// its median and the table's memory.
func BenchmarkLookUp(b *testing.B) {
	table, size := big()
	r := rand.New(rand.NewPCG(2, 2))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		addrs[i] = randomAddr(r)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		runtime.KeepAlive(table.Region(addrs[i&(len(addrs)-1)]))
	}
	b.StopTimer()
	b.ReportMetric(size, "MB")
	b.ReportMetric(median(table, addrs), "p50-ns")
}

// median times look-ups one by one; the clock's own time is included.
func median(table yuccalocator.Table, addrs []netip.Addr) float64 {
	took := make([]time.Duration, len(addrs))
	for i, a := range addrs {
		start := time.Now()
		runtime.KeepAlive(table.Region(a))
		took[i] = time.Since(start)
	}
	slices.Sort(took)
	return float64(took[len(took)/2])
}

// BenchmarkDelta gives the time to make a table with 100 blocks changed.
func BenchmarkDelta(b *testing.B) {
	table, _ := big()
	rules := bigRules(100)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		table = table.With(yuccalocator.Delta{Set: rules.Blocks})
	}
}
