package yuccasim

import (
	"fmt"
	"io"
	"time"
)

// PrintResults writes a Markdown table with one row for each result.
func PrintResults(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| service | load | case | policy | p50 ms | p99 ms | p99.9 ms | shed % | failed % | over slots | region over | headroom % | drain ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		s := r.Setup
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %.2f | %.2f | %d | %d | %.0f | %s |\n",
			s.Service.Name, s.Load.Name, s.Scenario, s.Policy, millis(r.P50), millis(r.P99), millis(r.P999),
			100*r.ShedRatio, 100*r.FailedRatio, r.MaxServerExcess, r.MaxRegionExcess, 100*r.Headroom, millis(r.DrainTime))
	}
}

// millis formats a duration as a whole number of milliseconds.
func millis(d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

// Comparison compares the policy SlotLeasing with the others for one combination
// of service, load and scenario.
type Comparison struct {
	// SlotLeasing is the result of the policy SlotLeasing.
	SlotLeasing Result
	// BestOther is the result with the lowest P99 among the other policies.
	BestOther Result
	// RoundRobin is the result of the policy RoundRobin.
	RoundRobin Result
}

// LowestP99 reports whether no other policy has a lower P99 than SlotLeasing.
func (v Comparison) LowestP99() bool { return v.SlotLeasing.P99 <= v.BestOther.P99 }

// Compare groups successive results that differ only in their policy and compares
// each group.
func Compare(results []Result) []Comparison {
	var all []Comparison
	for _, r := range results {
		if len(all) == 0 || !sameSetting(all[len(all)-1].sample(), r) {
			all = append(all, Comparison{})
		}
		all[len(all)-1].add(r)
	}
	return all
}

// sample returns one of the results of the comparison.
func (v *Comparison) sample() Result {
	if v.BestOther.Setup.Policy != "" {
		return v.BestOther
	}
	return v.SlotLeasing
}

// add adds a result to the comparison.
func (v *Comparison) add(r Result) {
	switch {
	case r.Setup.Policy == SlotLeasing:
		v.SlotLeasing = r
	case v.BestOther.Setup.Policy == "" || r.P99 < v.BestOther.P99:
		v.BestOther = r
	}
	if r.Setup.Policy == RoundRobin {
		v.RoundRobin = r
	}
}

// sameSetting reports whether two results have the same service, load and scenario.
func sameSetting(a, b Result) bool {
	return a.Setup.Service == b.Setup.Service && a.Setup.Load == b.Setup.Load && a.Setup.Scenario == b.Setup.Scenario
}

// PrintComparisons writes a Markdown table with one row for each combination of
// service, load and scenario: the figures of SlotLeasing beside those of the best
// other policy and of RoundRobin.
func PrintComparisons(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| service | load | case | ours p50/p99/p99.9 ms | shed % | over slots | headroom % | drain ms | best other: p99 ms, shed % | round robin p99 ms, shed % | lowest p99 |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
	won := 0
	all := Compare(results)
	for _, v := range all {
		o, s := v.SlotLeasing, v.SlotLeasing.Setup
		word := "no"
		if v.LowestP99() {
			word = "yes"
			won++
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s/%s/%s | %.2f | %d | %.0f | %s | %s: %s, %.2f | %s, %.2f | %s |\n",
			s.Service.Name, s.Load.Name, s.Scenario, millis(o.P50), millis(o.P99), millis(o.P999), 100*o.ShedRatio, o.MaxServerExcess, 100*o.Headroom, millis(o.DrainTime),
			v.BestOther.Setup.Policy, millis(v.BestOther.P99), 100*v.BestOther.ShedRatio, millis(v.RoundRobin.P99), 100*v.RoundRobin.ShedRatio, word)
	}
	fmt.Fprintf(w, "\nLowest p99 in %d of %d settings.\n", won, len(all))
}
