package yuccabalancer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
)

// TestVersionOnlySavesWork guards against choices that depend on whether the topology tells
// that its servers have not changed: after changes of the entries, the evacuations and the
// servers' notices, in slow start and after it.
func TestVersionOnlySavesWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := topology(3, 2, "a", "b")
		w.SlowStartRates = map[string]float64{"s": 40}
		w.Servers[0].SlowStartUntil = start.Add(2 * time.Second)
		w.Servers[4].SlowStartUntil = start.Add(time.Second)
		versioned, plain := newCore(w), newCore(w)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			w.Entries = []string{"e1"}
			for i := range rapid.IntRange(0, 6).Draw(t, "entries") {
				w.Entries = append(w.Entries, fmt.Sprint("e", i+2))
			}
			w.Evacuated = map[string]bool{"a1": rapid.Bool().Draw(t, "evacuated")}
			n := yuccabalancer.Notice{At: start, Limited: rapid.Bool().Draw(t, "limited"), Limit: 20, Leaving: rapid.Bool().Draw(t, "leaving")}
			for _, core := range []*yuccabalancer.Core{versioned, plain} {
				core.SetNotice("b1", n)
				w.Version = 0
				if core == versioned {
					w.Version = 7
				}
				core.Update(w)
			}
			for i := range 15 {
				req := request(time.Duration(step)*400*time.Millisecond+time.Duration(i)*20*time.Millisecond, uint64(i%5+1))
				a, b := versioned.Choose(req), plain.Choose(req)
				if a.Kind != b.Kind || a.Kind == yuccaerror.None && a.Server() != b.Server() {
					t.Fatalf("step %d: %+v, %+v", step, a, b)
				}
				for core, choice := range map[*yuccabalancer.Core]yuccabalancer.Choice{versioned: a, plain: b} {
					if choice.Kind == yuccaerror.None {
						core.Done(choice, yuccaadmission.Result{Now: req.Now, Succeeded: true, TimeToHeader: 30 * time.Millisecond})
					}
				}
			}
		}
	})
}

// BenchmarkUpdate replaces the list of entries and keeps 3,000 servers, as each of 300
// entries does many times while all of them start.
func BenchmarkUpdate(b *testing.B) {
	for _, version := range []uint64{0, 1} {
		b.Run(fmt.Sprintf("version=%d", version), func(b *testing.B) {
			w := topology(1000, 6, "a", "b", "c")
			w.Version = version
			core := newCore(w)
			b.ReportAllocs()
			for i := range b.N {
				w.Entries = []string{"e1", fmt.Sprint("e", i)}
				core.Update(w)
			}
		})
	}
}
