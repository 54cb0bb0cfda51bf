package yuccasim

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options say what to run.
type Options struct {
	Seed        uint64
	Deployments []Deployment
	Scenarios   []Scenario
	Loads       []Load
	Policies    []string
	// Workloads are what requests are about; none means the zero Workload.
	Workloads []Workload
	Requests  int
	Length    time.Duration
}

// Run carries every combination out and returns the results in the order of
// services, loads, cases and policies. The same options give the same results.
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

// setups returns every combination.
func (o Options) setups() []Setup {
	var all []Setup
	shapes := o.Workloads
	if len(shapes) == 0 {
		shapes = []Workload{{}}
	}
	for _, d := range o.Deployments {
		for _, s := range d.Services {
			for _, shape := range shapes {
				for _, l := range o.Loads {
					all = append(all, o.cases(Setup{Workload: shape, Service: s, Load: l, Seed: o.Seed, Requests: o.Requests, Length: o.Length})...)
				}
			}
		}
	}
	return all
}

// cases returns the setup in every case and with every policy.
func (o Options) cases(s Setup) []Setup {
	var all []Setup
	for _, c := range o.Scenarios {
		for _, p := range o.Policies {
			s.Scenario, s.Policy = c, p
			all = append(all, s)
		}
	}
	return all
}
