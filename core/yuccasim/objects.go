package yuccasim

import (
	"fmt"
	"io"
	"time"
)

// ObjectOptions returns the options for the comparison of policies when requests
// refer to objects: servers cache some of the objects and answer requests for
// cached ones faster. In most of the workloads one region has few servers.
func ObjectOptions(seed uint64, requests int, length time.Duration) Options {
	half := Workload{Name: "half kept", Objects: 129, CacheSize: 64, CacheSaving: 0.7, LatencyTarget: 200 * time.Millisecond, UnevenRegions: true}
	all, few, even := half, half, half
	all.Name, all.CacheSize = "all kept", 129
	few.Name, few.CacheSize, few.Objects = "few kept", 24, 321
	even.Name, even.UnevenRegions = "half kept, even regions", false
	return Options{
		Seed:        seed,
		Deployments: []Deployment{{"objects", []Service{{"search", 16, 6, 240 * time.Millisecond}}}},
		Scenarios:   []Scenario{NoFault, SlowServer, ColdServers},
		Loads:       []Load{{"80%", 0.8, 0}, {"130%", 1.3, 0}, {"wave", 0.8, 2}},
		Policies:    ObjectPolicies(),
		Workloads:   []Workload{all, half, few, even},
		Requests:    requests,
		Length:      length,
	}
}

// SmallServerOptions returns the options for servers with few slots that cache a
// fifth of the objects, where the first request for an object misses the latency
// target. One region has an eighth of the servers and a third of the callers, so
// that it needs the others at every load.
func SmallServerOptions(seed uint64, requests int, length time.Duration) Options {
	return Options{
		Seed:        seed,
		Deployments: []Deployment{{"small servers", []Service{{"calls", 16, 3, 640 * time.Millisecond}}}},
		Scenarios:   []Scenario{NoFault, ColdServers, RegionLost},
		Loads:       []Load{{"80%", 0.8, 0}, {"130%", 1.3, 0}, {"wave", 0.8, 2}},
		Policies:    ObjectPolicies(),
		Workloads:   []Workload{{Name: "a fifth kept", Objects: 72, CacheSize: 14, CacheSaving: 0.7, LatencyTarget: 400 * time.Millisecond, UnevenRegions: true}},
		Requests:    requests,
		Length:      length,
	}
}

// PrintOnTimeRatios writes a Markdown table with one row for each combination of
// workload, load and scenario: the fraction of requests that each policy answers
// within the latency target. The results must be those of ObjectOptions. A load is
// the utilization that results if no object is cached.
func PrintOnTimeRatios(w io.Writer, results []Result) {
	policies := ObjectPolicies()
	fmt.Fprint(w, "| objects | load | case |")
	for _, p := range policies {
		fmt.Fprintf(w, " %s |", p)
	}
	fmt.Fprintln(w, "\n|---|---|---|---|---|---|---|---|")
	for i := 0; i+len(policies) <= len(results); i += len(policies) {
		s := results[i].Setup
		fmt.Fprintf(w, "| %s | %s | %s |", s.Workload.Name, s.Load.Name, s.Scenario)
		for _, r := range results[i : i+len(policies)] {
			fmt.Fprintf(w, " %.3f |", r.OnTimeRatio)
		}
		fmt.Fprintln(w)
	}
}
