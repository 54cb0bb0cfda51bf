package yuccabalancer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Status is the state of one service's balancing at this entry.
type Status struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Near is the present traffic split of requests that stay near their callers.
	Near TrafficSplit `json:"near"`
	// Common is that of the requests whose objects have one home for all regions.
	Common TrafficSplit `json:"shares"`
	// InFlight is how many requests of this entry are in flight.
	InFlight int `json:"busy"`
	// MeanLatency is the moving average of the time to a response. Like the
	// other latencies, it is in nanoseconds in JSON.
	MeanLatency time.Duration `json:"pace_ns"`
	// WarmLatency is the moving average of the latency, without queueing, for
	// objects that this entry recently sent to the server.
	WarmLatency time.Duration `json:"warm_ns"`
	// ColdLatency is the moving average of the latency, without queueing, for
	// all other objects.
	ColdLatency time.Duration `json:"cold_ns"`
	// Ramping is the number of servers that get less than their full part since they have
	// started or recovered.
	Ramping int `json:"ramping"`
	// RampFraction is the mean fraction of its part that such a server gets, 1 without any.
	RampFraction float64 `json:"ramp"`
	// Chosen counts the choices by reason since the last reset.
	Chosen map[Reason]int `json:"chosen"`
	// Late counts the responses that exceeded their latency budget, by
	// cause, since the last reset.
	Late map[Cause]int `json:"late"`
}

// StatusAndReset returns what Status returns and sets the counts of Chosen
// and Late back to zero.
func (c *Core) StatusAndReset() []Status {
	all := c.Status()
	for _, p := range c.pools {
		p.chosen, p.late = map[Reason]int{}, map[Cause]int{}
	}
	return all
}

// Status returns the state of each service, sorted by name.
func (c *Core) Status() []Status {
	var all []Status
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[name]
		ramping, fraction := p.ramping()
		all = append(all, Status{
			Service:      name,
			Near:         p.near,
			Common:       p.common,
			InFlight:     p.inFlight,
			MeanLatency:  p.meanLatency,
			WarmLatency:  p.latency.warm,
			ColdLatency:  p.latency.cold,
			Ramping:      ramping,
			RampFraction: fraction,
			Chosen:       maps.Clone(p.chosen),
			Late:         maps.Clone(p.late),
		})
	}
	return all
}

// String lists the shares as REGION:SHARE, sorted by region and separated by
// commas.
func (s TrafficSplit) String() string {
	var parts []string
	for _, region := range slices.Sorted(maps.Keys(s)) {
		parts = append(parts, fmt.Sprintf("%s:%.2f", region, s[region]))
	}
	return strings.Join(parts, ",")
}
