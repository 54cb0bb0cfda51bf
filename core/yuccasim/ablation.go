package yuccasim

import (
	"fmt"
	"io"
	"math"
	"time"

	"yuccawell.example/core/yuccaswitch"
)

// standoutErrors is how many standard errors a mean difference must exceed to count as more
// than chance.
const standoutErrors = 2

// Ablation is what the value of the responses loses when a mechanism is switched off.
type Ablation struct {
	// Mechanism is the mechanism that is off, empty for none.
	Mechanism yuccaswitch.Mechanism
	// Value is the mean value of the responses of all mixes, loads and seeds, as a part of
	// the greatest possible.
	Value float64
	// Served is the mean part of the requests answered.
	Served float64
	// Loss is how much more the value is with all mechanisms, as a mean of the seeds.
	Loss float64
	// Spread is the standard deviation of the loss between seeds.
	Spread float64
	// Seeds is the number of seeds.
	Seeds int
}

// StandsOut reports whether the loss is more than chance.
func (a Ablation) StandsOut() bool {
	return math.Abs(a.Loss) > standoutErrors*a.Spread/math.Sqrt(float64(a.Seeds))
}

// simulated returns the mechanisms that the runs of OverloadOptions use.
func simulated() []yuccaswitch.Mechanism {
	return []yuccaswitch.Mechanism{
		yuccaswitch.Affinity, yuccaswitch.Crowding, yuccaswitch.Classes, yuccaswitch.Line, yuccaswitch.Spillover,
		yuccaswitch.Split, yuccaswitch.Reports, yuccaswitch.Slowness,
	}
}

// Ablate simulates OverloadOptions with all mechanisms and without each of them, with a
// number of seeds from seed on. The first result is the one with all mechanisms.
func Ablate(seed uint64, seeds, entries int, length time.Duration) []Ablation {
	all := Ablation{Seeds: seeds}
	results := make([]Ablation, len(simulated()))
	losses := make([][]float64, len(results))
	for s := seed; s < seed+uint64(seeds); s++ {
		o := OverloadOptions(s, max(defaultEntries, entries), length)
		value, served := meanValue(Run(o))
		all.Value += value / float64(seeds)
		all.Served += served / float64(seeds)
		for i, m := range simulated() {
			o.Off = yuccaswitch.Set{}.With(m)
			without, servedWithout := meanValue(Run(o))
			results[i].Mechanism, results[i].Seeds = m, seeds
			results[i].Value += without / float64(seeds)
			results[i].Served += servedWithout / float64(seeds)
			losses[i] = append(losses[i], value-without)
		}
	}
	for i, l := range losses {
		results[i].Loss, results[i].Spread = meanAndDeviation(l)
	}
	return append([]Ablation{all}, results...)
}

// meanValue returns the mean value and the mean served part of the results.
func meanValue(results []Result) (value, served float64) {
	for _, r := range results {
		value += r.All.ValueRatio() / float64(len(results))
		served += r.All.ServedRatio() / float64(len(results))
	}
	return value, served
}

// meanAndDeviation returns the mean and the standard deviation of a sample.
func meanAndDeviation(sample []float64) (mean, deviation float64) {
	for _, v := range sample {
		mean += v / float64(len(sample))
	}
	for _, v := range sample {
		deviation += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(deviation / float64(max(1, len(sample)-1)))
}

// PrintAblation writes a Markdown table with a row for each result.
func PrintAblation(w io.Writer, all []Ablation) {
	fmt.Fprintln(w, "| off | value | served | value lost | spread | stands out |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, a := range all {
		if a.Mechanism == "" {
			fmt.Fprintf(w, "| none | %.3f | %.3f | | | |\n", a.Value, a.Served)
			continue
		}
		verdict := "no"
		if a.StandsOut() {
			verdict = "yes"
		}
		fmt.Fprintf(w, "| %s | %.3f | %.3f | %+.4f | %.4f | %s |\n", a.Mechanism, a.Value, a.Served, a.Loss, a.Spread, verdict)
	}
}
