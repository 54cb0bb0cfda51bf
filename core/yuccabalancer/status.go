package yuccabalancer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Status is what a service's choices rest on.
type Status struct {
	Service string `json:"service"`
	// Shares are the parts of the requests that run in each region.
	Shares TrafficSplit `json:"shares"`
	// Busy is how many requests of this entry are in flight.
	Busy int `json:"busy"`
	// MeanLatency is the mean time to an answer, WarmLatency and ColdLatency that with an object that
	// the server has lately had from this entry and with another, in nanoseconds
	// in JSON.
	MeanLatency time.Duration `json:"pace_ns"`
	WarmLatency time.Duration `json:"warm_ns"`
	ColdLatency time.Duration `json:"cold_ns"`
	// Chosen counts the choices since they were last collected by reason.
	Chosen map[Reason]int `json:"chosen"`
	// Late counts the answers that came after their goal since they were last
	// collected by cause.
	Late map[Cause]int `json:"late"`
}

// StatusAndReset returns the state of each service, by name, and starts counting anew.
func (c *Core) StatusAndReset() []Status {
	all := c.Status()
	for _, p := range c.pools {
		p.chosen, p.late = map[Reason]int{}, map[Cause]int{}
	}
	return all
}

// Status returns the state of each service, by name.
func (c *Core) Status() []Status {
	var all []Status
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[name]
		all = append(all, Status{
			Service:     name,
			Shares:      p.shares,
			Busy:        p.busy,
			MeanLatency: p.pace,
			WarmLatency: p.work.warm,
			ColdLatency: p.work.cold,
			Chosen:      maps.Clone(p.chosen),
			Late:        maps.Clone(p.late),
		})
	}
	return all
}

// String lists the shares by region.
func (s TrafficSplit) String() string {
	var parts []string
	for _, region := range slices.Sorted(maps.Keys(s)) {
		parts = append(parts, fmt.Sprintf("%s:%.2f", region, s[region]))
	}
	return strings.Join(parts, ",")
}
