package yuccasim

import (
	"fmt"
	"io"
	"time"
)

// Print writes the results as a table in Markdown.
func Print(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| service | load | case | policy | p50 ms | p99 ms | p99.9 ms | shed % | failed % | over slots | region over | headroom % | drain ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		s := r.Setup
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %.2f | %.2f | %d | %d | %.0f | %s |\n",
			s.Service.Name, s.Load.Name, s.Scenario, s.Policy, millis(r.P50), millis(r.P99), millis(r.P999),
			100*r.Shed, 100*r.Failed, r.MaxServerExcess, r.MaxRegionExcess, 100*r.Headroom, millis(r.Drain))
	}
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

// Comparison compares our policy with the best of the others in one setting.
type Comparison struct {
	SlotLeasing Result
	// Best is the one of the others with the lowest p99.
	Best Result
	// RoundRobin is round robin's result.
	RoundRobin Result
}

// Won reports whether our p99 is the lowest.
func (v Comparison) Won() bool { return v.SlotLeasing.P99 <= v.Best.P99 }

// Compare groups results by setting.
func Compare(results []Result) []Comparison {
	var all []Comparison
	for _, r := range results {
		if len(all) == 0 || !sameSetting(all[len(all)-1].any(), r) {
			all = append(all, Comparison{})
		}
		all[len(all)-1].add(r)
	}
	return all
}

func (v *Comparison) any() Result {
	if v.Best.Setup.Policy != "" {
		return v.Best
	}
	return v.SlotLeasing
}

func (v *Comparison) add(r Result) {
	switch {
	case r.Setup.Policy == SlotLeasing:
		v.SlotLeasing = r
	case v.Best.Setup.Policy == "" || r.P99 < v.Best.P99:
		v.Best = r
	}
	if r.Setup.Policy == RoundRobin {
		v.RoundRobin = r
	}
}

func sameSetting(a, b Result) bool {
	return a.Setup.Service == b.Setup.Service && a.Setup.Load == b.Setup.Load && a.Setup.Scenario == b.Setup.Scenario
}

// PrintComparisons writes one row a setting: our figures beside those of the best
// of the others and of round robin.
func PrintComparisons(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| service | load | case | ours p50/p99/p99.9 ms | shed % | over slots | headroom % | drain ms | best other: p99 ms, shed % | round robin p99 ms, shed % | lowest p99 |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
	won := 0
	all := Compare(results)
	for _, v := range all {
		o, s := v.SlotLeasing, v.SlotLeasing.Setup
		word := "no"
		if v.Won() {
			word = "yes"
			won++
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s/%s/%s | %.2f | %d | %.0f | %s | %s: %s, %.2f | %s, %.2f | %s |\n",
			s.Service.Name, s.Load.Name, s.Scenario, millis(o.P50), millis(o.P99), millis(o.P999), 100*o.Shed, o.MaxServerExcess, 100*o.Headroom, millis(o.Drain),
			v.Best.Setup.Policy, millis(v.Best.P99), 100*v.Best.Shed, millis(v.RoundRobin.P99), 100*v.RoundRobin.Shed, word)
	}
	fmt.Fprintf(w, "\nLowest p99 in %d of %d settings.\n", won, len(all))
}
