package yuccabench

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options say what to run.
type Options struct {
	Seed        uint64
	Deployments []Deployment
	Cases       []Case
	Loads       []Load
	Policies    []string
	Requests    int
	Length      time.Duration
}

// Run carries every combination out and returns the results in the order of
// services, loads, cases and policies. The same options give the same results.
func Run(o Options) []Result {
	var setups []Setup
	for _, d := range o.Deployments {
		for _, s := range d.Services {
			for _, l := range o.Loads {
				for _, c := range o.Cases {
					for _, p := range o.Policies {
						setups = append(setups, Setup{Service: s, Case: c, Load: l, Policy: p, Seed: o.Seed, Requests: o.Requests, Length: o.Length})
					}
				}
			}
		}
	}
	results := make([]Result, len(setups))
	var group errgroup.Group
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for i, s := range setups {
		group.Go(func() error {
			results[i] = newSim(s).run()
			return nil
		})
	}
	_ = group.Wait()
	return results
}
