package yuccasim

import (
	"fmt"
	"io"
	"time"
)

// ObjectOptions returns the comparison of policies where requests are about
// objects: warm ones take a part of the time, a server keeps some of them, and
// one region has few servers.
func ObjectOptions(seed uint64, requests int, length time.Duration) Options {
	shape := Workload{Name: "half kept", Objects: 129, CacheSize: 64, Gain: 0.7, LatencyTarget: 200 * time.Millisecond, Uneven: true}
	all, few, even := shape, shape, shape
	all.Name, all.CacheSize = "all kept", 129
	few.Name, few.CacheSize, few.Objects = "few kept", 24, 321
	even.Name, even.Uneven = "half kept, even regions", false
	return Options{
		Seed:        seed,
		Deployments: []Deployment{{"objects", []Service{{"search", 16, 6, 240 * time.Millisecond}}}},
		Scenarios:   []Scenario{AllWell, Slow, ColdThird},
		Loads:       []Load{{"80%", 0.8, 0}, {"130%", 1.3, 0}, {"wave", 0.8, 2}},
		Policies:    ObjectPolicies(),
		Workloads:   []Workload{all, shape, few, even},
		Requests:    requests,
		Length:      length,
	}
}

// PrintOnTimeRatios writes one row a setting with the part of the requests that each
// policy answers within the goal. Loads are those of cold objects.
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
