package yuccasim

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaswitch"
)

// Options select the runs: one for each combination of service, workload, load,
// scenario and policy.
type Options struct {
	// Seed is the seed of all random numbers of every run.
	Seed uint64
	// Deployments are the deployments whose services are simulated.
	Deployments []Deployment
	// Scenarios are the faults to simulate.
	Scenarios []Scenario
	// Loads are the levels of load.
	Loads []Load
	// Policies are the names of the policies to compare.
	Policies []string
	// Workloads are the workloads; none means the zero Workload.
	Workloads []Workload
	// Off are the mechanisms that the policy ObjectPlacement does without.
	Off yuccaswitch.Set
	// Requests is the minimum expected number of requests in a run.
	Requests int
	// Length is the minimum virtual time of a run.
	Length time.Duration
}

// Run simulates every combination and returns the results in the order of services,
// workloads, loads, scenarios and policies. Equal options give equal results.
func Run(o Options) []Result {
	setups := o.setups()
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

// setups returns the setup of every combination.
func (o Options) setups() []Setup {
	var all []Setup
	workloads := o.Workloads
	if len(workloads) == 0 {
		workloads = []Workload{{}}
	}
	for _, d := range o.Deployments {
		for _, s := range d.Services {
			for _, w := range workloads {
				for _, l := range o.Loads {
					all = append(all, o.scenarios(Setup{Workload: w, Service: s.withWork(w), Load: l, Off: o.Off, Seed: o.Seed, Requests: o.Requests, Length: o.Length})...)
				}
			}
		}
	}
	return all
}

// scenarios returns the setup with every scenario and policy.
func (o Options) scenarios(s Setup) []Setup {
	var all []Setup
	for _, c := range o.Scenarios {
		for _, p := range o.Policies {
			s.Scenario, s.Policy = c, p
			all = append(all, s)
		}
	}
	return all
}
