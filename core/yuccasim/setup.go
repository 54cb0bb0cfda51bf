// Package yuccasim compares ways to choose servers on virtual time. It drives
// the decisions of yuccaadmission and yuccaplan, and simpler policies beside them,
// against small fake servers.
//
//	results, err := yuccasim.Run(yuccasim.Options{Seed: 1, Deployments: yuccasim.Deployments()})
package yuccasim

import "time"

// Service is what one service looks like.
type Service struct {
	Name    string
	Servers int
	Slots   int
	// Work is how long a request takes on a server, on average.
	Work time.Duration
}

// Deployment is a set of services that run in the same regions.
type Deployment struct {
	Name     string
	Services []Service
}

// Deployments returns those of today.
func Deployments() []Deployment {
	return []Deployment{
		{"archive", []Service{
			{"search", 16, 6, 40 * time.Millisecond},
			{"orders", 12, 4, 60 * time.Millisecond},
			{"recordings", 12, 3, 800 * time.Millisecond},
		}},
		{"kiln", []Service{
			{"browse", 24, 9, 30 * time.Millisecond},
			{"ledger", 12, 8, 50 * time.Millisecond},
			{"tiles", 12, 3, 500 * time.Millisecond},
		}},
	}
}

// Scenario is what goes wrong in a run.
type Scenario string

// The cases.
const (
	AllWell      Scenario = "all well"
	Slow         Scenario = "one slow"
	FalseReports Scenario = "one lying"
	Stale        Scenario = "reports 5 s old"
	ColdThird    Scenario = "cold third"
	EntryGone    Scenario = "entry gone"
	RegionLost   Scenario = "region lost"
)

// Scenarios returns every case.
func Scenarios() []Scenario {
	return []Scenario{AllWell, Slow, FalseReports, Stale, ColdThird, EntryGone, RegionLost}
}

// Load is how busy the servers are.
type Load struct {
	Name string
	// Utilization is the arriving work as a part of all slots; PeakUtilization replaces it in the
	// middle third of the run when it is not zero.
	Utilization, PeakUtilization float64
}

// Loads returns every load.
func Loads() []Load {
	return []Load{{"50%", 0.5, 0}, {"80%", 0.8, 0}, {"95%", 0.95, 0}, {"wave", 0.5, 1.5}}
}

// Names of the policies.
const (
	Random      = "random"
	RoundRobin  = "round robin"
	Least       = "least outstanding"
	TwoChoices  = "two choices"
	SlotLeasing = "ours"
	// RendezvousHash takes the first server of the object's order in the own region,
	// RendezvousFreeSlot the first that has a slot free of the entry's own.
	RendezvousHash     = "by hash"
	RendezvousFreeSlot = "by hash, with room"
	ObjectPlacement    = "placed"
)

// Policies returns the names of every policy.
func Policies() []string { return []string{Random, RoundRobin, Least, TwoChoices, SlotLeasing} }

// ObjectPolicies returns the names of the policies that are compared where
// requests are about objects.
func ObjectPolicies() []string {
	return []string{Least, SlotLeasing, RendezvousHash, RendezvousFreeSlot, ObjectPlacement}
}

// Workload is what requests are about and where the servers stand. In the zero
// value requests are about nothing, and servers and callers are spread evenly.
type Workload struct {
	Name string
	// Objects is how many there are, CacheSize how many a server keeps of those that
	// it had last, and Gain the part of the work that this saves.
	Objects, CacheSize int
	Gain               float64
	// LatencyTarget is the time within which an answer is of full use.
	LatencyTarget time.Duration
	// Uneven gives an eighth of the servers to one region and half to another,
	// with as many callers in each.
	Uneven bool
}

// Setup is one run.
type Setup struct {
	Workload Workload
	Service  Service
	Scenario Scenario
	Load     Load
	Policy   string
	Seed     uint64
	// Requests and Length are the least that a run lasts.
	Requests int
	Length   time.Duration
}

// The regions and entries of both deployments, and the way between them.
const (
	regionCount = 3
	entryCount  = 7

	callerDelay  = 10 * time.Millisecond
	nearDelay    = 1500 * time.Microsecond
	farDelay     = 20 * time.Millisecond
	connectDelay = time.Millisecond
)

// How the faults and the platform's list behave.
const (
	slowFactor     = 5
	coldFactor     = 3
	coldRequests   = 50
	reportInterval = 250 * time.Millisecond
	reportAge      = 100 * time.Millisecond
	staleAge       = 5 * time.Second
	listAge        = 2 * time.Second
	listStagger    = 50 * time.Millisecond
	callerTimeout  = time.Second
	queuePerSlot   = 2
	maxTries       = 3
)

// regionOf returns the region of a server by its number.
func (s Setup) regionOf(i int) int {
	if !s.Workload.Uneven {
		return i % regionCount
	}
	return []int{0, 0, 0, 0, 1, 1, 1, 2}[i%8]
}

func regionName(r int) string { return string(rune('a' + r)) }

func entryRegion(e int) int { return e % regionCount }

// total is the number of slots of a service.
func (s Service) total() int { return s.Servers * s.Slots }

// rate is the number of requests per second that fill a part of the slots.
func (s Service) rate(part float64) float64 {
	return part * float64(s.total()) / s.Work.Seconds()
}

// length is how long the run lasts.
func (s Setup) length() time.Duration {
	n := time.Duration(float64(s.Requests) / s.Service.rate(s.Load.Utilization) * float64(time.Second))
	return max(s.Length, n)
}

// part returns the load at a moment of the run.
func (s Setup) part(at time.Duration) float64 {
	third := s.length() / 3
	if s.Load.PeakUtilization > 0 && at >= third && at < 2*third {
		return s.Load.PeakUtilization
	}
	return s.Load.Utilization
}
