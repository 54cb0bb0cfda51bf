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

// The target size of a table, at which the benchmarks measure.
const (
	// targetBlocks is the number of CIDR blocks.
	targetBlocks = 3_500_000
	// targetSites is the number of sites that the blocks belong to.
	targetSites = 1400
)

// randomRules returns rules with n random blocks on targetSites sites. One block
// in seven is IPv6.
func randomRules(n int) yuccarule.Rules {
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

// targetTable returns a table of targetBlocks blocks and its size in MiB.
var targetTable = sync.OnceValues(func() (yuccalocator.Table, float64) {
	rules := randomRules(targetBlocks)
	before := heapBytes()
	table := yuccalocator.New(rules, "default")
	after := heapBytes()
	runtime.KeepAlive(rules)
	return table, float64(after-before) / (1 << 20)
})

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLookUp reports the mean and the median time of one lookup in a table
// of the target size, and the table's memory.
func BenchmarkLookUp(b *testing.B) {
	table, size := targetTable()
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
	b.ReportMetric(medianLookup(table, addrs), "p50-ns")
}

// medianLookup returns the median time of single lookups in ns, including the time
// to read the clock.
func medianLookup(table yuccalocator.Table, addrs []netip.Addr) float64 {
	times := make([]time.Duration, len(addrs))
	for i, a := range addrs {
		start := time.Now()
		runtime.KeepAlive(table.Region(a))
		times[i] = time.Since(start)
	}
	slices.Sort(times)
	return float64(times[len(times)/2])
}

// BenchmarkDelta reports the time to change 100 blocks of a table of the target
// size.
func BenchmarkDelta(b *testing.B) {
	table, _ := targetTable()
	rules := randomRules(100)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		table = table.With(yuccalocator.Delta{Set: rules.Blocks})
	}
}
