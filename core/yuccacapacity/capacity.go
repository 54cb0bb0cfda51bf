// Package yuccacapacity decides which entries a directory names to callers. An entry is
// a proxy instance of the system, and every entry answers lookups. Entries of very
// different size share a region: where the large ones can carry its callers, naming only
// those keeps connections and knowledge about servers in few places.
//
// Each entry announces its Capacity and its Utilization, which a Meter measures. Choice
// holds the decision for one region; every directory takes it alone from the heartbeats
// that it receives:
//
//	choice = choice.Next(now, entries)
//	names := choice.Answer(callerDomain, key)
//
// The package has no clock and does no I/O.
package yuccacapacity

import "math"

const (
	// maxCores and maxMegabits bound what an entry can plausibly announce, in cores and
	// Mbit/s. Larger figures count as unknown.
	maxCores    = 1 << 12
	maxMegabits = 1 << 22
	// maxMegabytes bounds the memory that an entry can plausibly announce, in MB.
	maxMegabytes = 1 << 26
	// maxRate bounds the requests per second that an entry can plausibly announce.
	maxRate = 1 << 24
)

// Capacity is what an entry can carry at most, from its settings. The zero value is
// unknown.
type Capacity struct {
	// Cores is the processor time that the entry may use, in cores.
	Cores float64
	// Megabits is the bandwidth of the entry's link in Mbit/s, 0 for no known bound.
	Megabits float64
	// Megabytes is the entry's memory limit in MB, 0 for none. It is announced for
	// operators and does not take part in decisions: processor and link are exhausted
	// long before the memory of a request's buffers.
	Megabytes float64
}

// Known reports whether the capacity is known and plausible.
func (c Capacity) Known() bool {
	return c.Cores > 0 && within(c.Cores, maxCores) && within(c.Megabits, maxMegabits) && within(c.Megabytes, maxMegabytes)
}

// requestRate returns how many requests per second of the given cost the entry can carry.
func (c Capacity) requestRate(each cost) float64 {
	rate := c.Cores / each.cores
	if c.Megabits > 0 {
		rate = min(rate, c.Megabits/each.megabits)
	}
	return rate
}

// Utilization is what an entry carries at present. All figures are those of the requests
// of callers.
type Utilization struct {
	// Rate is the number of requests per second.
	Rate float64
	// Cores is the processor time that the requests take, in cores.
	Cores float64
	// Megabits is the bandwidth of the response bodies in Mbit/s.
	Megabits float64
	// Saturated is set while the processor, the link or the connections have no room left.
	Saturated bool
}

// plausible reports whether no figure is absurd.
func (u Utilization) plausible() bool {
	return within(u.Rate, maxRate) && within(u.Cores, maxCores) && within(u.Megabits, maxMegabits)
}

// within reports whether v is a number between 0 and limit.
func within(v, limit float64) bool { return !math.IsNaN(v) && v >= 0 && v <= limit }

// cost is the mean cost of a request in a region.
type cost struct {
	// cores is the processor time in seconds.
	cores float64
	// megabits is the length of the response in Mbit.
	megabits float64
}

const (
	// priorRate is the weight of the assumed cost of a request, in requests per second:
	// the measured cost of few requests is mostly the noise of other work.
	priorRate = 20
	// priorCores and priorMegabits are the assumed cost: 1 ms, and a response of 8 KB.
	priorCores    = 0.001
	priorMegabits = 0.064
	// minCores and minMegabits are the lowest plausible costs of a request.
	minCores    = 0.0001
	minMegabits = 0.001
)

// meanCost returns the mean cost of the requests that the entries carry.
func meanCost(all []Entry) cost {
	rate, cores, megabits := float64(priorRate), priorRate*priorCores, priorRate*priorMegabits
	for _, e := range all {
		rate += e.Utilization.Rate
		cores += e.Utilization.Cores
		megabits += e.Utilization.Megabits
	}
	return cost{max(minCores, cores/rate), max(minMegabits, megabits/rate)}
}
