package yuccaquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaquota"
)

// TestSumWithinBoundAtRandom draws loads, joins, restarts, differing lists, partitions and
// lost, late and duplicate messages, and checks the sum of any 5 s.
func TestSumWithinBoundAtRandom(t *testing.T) {
	const length = 20 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		s := &sim{
			entries: entries,
			limit: yuccaquota.Limit{
				Rate:  rapid.SampledFrom([]float64{1, 5, 50, 300}).Draw(t, "rate"),
				Burst: rapid.SampledFrom([]float64{0, 5, 200}).Draw(t, "burst"),
			},
			new:  newLedgerNode,
			loss: rapid.SampledFrom([]float64{0, 0, 0.02, 0.3}).Draw(t, "loss"),
			late: rapid.SampledFrom([]float64{0, 0, 0.02, 0.2}).Draw(t, "late"),
			seed: rapid.Uint64().Draw(t, "seed"),
		}
		// Each phase has its own load, sides that cannot reach each other, and stopped
		// entries.
		phase := rapid.SampledFrom([]time.Duration{700 * time.Millisecond, 2 * time.Second, 6 * time.Second}).Draw(t, "phase")
		loads := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0, 0.1, 1, 8}), entries, 50).Draw(t, "loads")
		sides := rapid.SliceOfN(rapid.IntRange(1, entries), 1, 30).Draw(t, "sides")
		stops := rapid.SliceOfN(rapid.IntRange(0, 4*entries), 1, 30).Draw(t, "stops")
		listDelay := rapid.SampledFrom([]time.Duration{0, 2 * time.Second}).Draw(t, "list delay")
		s.load = func(at time.Duration, i int) float64 { return loads[(int(at/phase)*7+i)%len(loads)] }
		s.cut = func(at time.Duration, a, b int) bool {
			n := sides[int(at/phase)%len(sides)]
			return n > 1 && a%n != b%n
		}
		s.down = func(at time.Duration, i int) bool { return stops[int(at/time.Second)%len(stops)] == i }
		joined := rand.New(rand.NewPCG(s.seed, 2)).IntN(entries + 1)
		if listDelay > 0 {
			down := s.down
			s.down = func(at time.Duration, i int) bool { return down(at, i) || i >= joined && at < 8*time.Second }
			s.list = func(at time.Duration, i int) []string {
				if at < 8*time.Second+time.Duration(i)*listDelay/time.Duration(entries) && joined > 0 {
					return s.names[:joined]
				}
				return s.names
			}
		}
		if worst := s.run(length).worst(); worst > 1 {
			t.Fatalf("the sum of 5 s is %.2f of the bound", worst)
		}
	})
}

// TestLongPartition guards against two sides that both rely on their list: after a minute
// one side removes the silent entries from the list, and the other one cannot see that.
func TestLongPartition(t *testing.T) {
	for _, removing := range []bool{false, true} {
		s := &sim{entries: 7, limit: yuccaquota.Limit{Rate: 200}, new: newLedgerNode, seed: 1}
		minority := func(i int) bool { return i < 3 }
		s.load = func(time.Duration, int) float64 { return 3 }
		s.cut = func(at time.Duration, a, b int) bool { return at >= warm && minority(a) != minority(b) }
		s.list = func(at time.Duration, i int) []string {
			switch {
			case at < warm+time.Minute || minority(i) != removing:
				return s.names
			case removing:
				return s.names[:3]
			}
			return s.names[3:]
		}
		if worst := s.run(110 * time.Second).worst(); worst > 1 {
			t.Errorf("the minority removes: %v: the sum of 5 s is %.2f of the bound", removing, worst)
		}
	}
}

// TestFewerTokensThanEntries guards against an account whose requests arrive seldom at many
// entries, so that each of them comes to hold a token, and then all at once.
func TestFewerTokensThanEntries(t *testing.T) {
	s := &sim{entries: 80, limit: yuccaquota.Limit{Rate: 5}, new: newLedgerNode, seed: 1}
	s.load = func(at time.Duration, _ int) float64 {
		if at < 2*warm {
			return 0.7 / 80
		}
		return 1
	}
	if worst := s.run(2*warm + 6*time.Second).worst(); worst > 1 {
		t.Errorf("the sum of 5 s is %.2f of the bound", worst)
	}
}
