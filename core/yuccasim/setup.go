// Package yuccasim compares load balancing policies in a discrete-event simulation
// on virtual time. It drives the decision cores of yuccaadmission, yuccaplan and
// yuccabalancer, and common policies such as round robin, against fake backend
// servers in several regions. An entry is a proxy instance of the system.
//
// Options select services, workloads, loads, scenarios and policies. Run simulates
// each combination, a Setup, and returns a Result for each. PrintResults,
// PrintComparisons and PrintOnTimeRatios write the results as Markdown tables.
//
//	results := yuccasim.Run(yuccasim.Options{
//		Seed:        1,
//		Deployments: yuccasim.Deployments(),
//		Scenarios:   yuccasim.Scenarios(),
//		Loads:       yuccasim.Loads(),
//		Policies:    yuccasim.Policies(),
//		Length:      10 * time.Second,
//	})
//	yuccasim.PrintResults(os.Stdout, results)
package yuccasim

import (
	"cmp"
	"time"

	"yuccawell.example/core/yuccaswitch"
)

// Service describes a service and its backend servers.
type Service struct {
	// Name is the name of the service in the tables.
	Name string
	// Servers is the number of backend servers in all regions.
	Servers int
	// Slots is the number of concurrent requests per server.
	Slots int
	// Work is the mean time that a request takes on a server.
	Work time.Duration
}

// Deployment is a set of services that run in the same regions.
type Deployment struct {
	// Name identifies the deployment.
	Name string
	// Services are the services of the deployment.
	Services []Service
}

// Deployments returns the sample deployments.
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

// Scenario is the fault that a run simulates. Its value is printed in the tables.
type Scenario string

// The scenarios.
const (
	// NoFault is a run without faults.
	NoFault Scenario = "all well"
	// SlowServer makes one server slower by slowFactor.
	SlowServer Scenario = "one slow"
	// FalseReports makes one server always report a load of zero.
	FalseReports Scenario = "one lying"
	// StaleReports delays the servers' load reports by staleAge.
	StaleReports Scenario = "reports 5 s old"
	// ColdServers replaces every third server by one with cold caches.
	ColdServers Scenario = "cold third"
	// EntryLost stops one entry.
	EntryLost Scenario = "entry gone"
	// RegionLost stops all servers and entries of one region.
	RegionLost Scenario = "region lost"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{NoFault, SlowServer, FalseReports, StaleReports, ColdServers, EntryLost, RegionLost}
}

// Load is the rate of arriving work.
type Load struct {
	// Name identifies the load in the tables.
	Name string
	// Utilization is the arriving work as a fraction of all slots; 1 fills them.
	Utilization float64
	// PeakUtilization replaces Utilization in the middle third of the run; zero
	// means no peak.
	PeakUtilization float64
}

// Loads returns the loads for Deployments.
func Loads() []Load {
	return []Load{{"50%", 0.5, 0}, {"80%", 0.8, 0}, {"95%", 0.95, 0}, {"wave", 0.5, 1.5}}
}

// The names of the policies, as printed in the tables.
const (
	// Random picks a random server.
	Random = "random"
	// RoundRobin picks the servers in turn.
	RoundRobin = "round robin"
	// LeastOutstanding picks the server with the fewest of the entry's own requests
	// in flight.
	LeastOutstanding = "least outstanding"
	// TwoChoices draws two servers and picks the one with the lower reported load.
	TwoChoices = "two choices"
	// SlotLeasing is the policy of yuccaadmission: entries lease slots of the servers
	// and lend them to each other.
	SlotLeasing = "ours"
	// RendezvousHash picks the server with the highest rendezvous hash for the object
	// in the entry's region, regardless of load.
	RendezvousHash = "by hash"
	// RendezvousFreeSlot picks like RendezvousHash among the servers that have a free
	// slot when only the entry's own requests count.
	RendezvousFreeSlot = "by hash, with room"
	// ObjectPlacement is the policy of yuccabalancer: it places requests by object and
	// region.
	ObjectPlacement = "placed"
)

// Policies returns the names of the policies that ignore objects.
func Policies() []string {
	return []string{Random, RoundRobin, LeastOutstanding, TwoChoices, SlotLeasing}
}

// ObjectPolicies returns the names of the policies that are compared when requests
// refer to objects. ObjectPlacement is the last one.
func ObjectPolicies() []string {
	return []string{LeastOutstanding, SlotLeasing, RendezvousHash, RendezvousFreeSlot, ObjectPlacement}
}

// Workload describes the objects that requests refer to and how the servers are
// distributed over the regions. In the zero value requests refer to no objects, and
// servers and callers are distributed evenly.
type Workload struct {
	// Name identifies the workload in the tables.
	Name string
	// Objects is the number of different objects; zero means none.
	Objects int
	// Skew makes the first objects more popular: the requests are for the objects up to
	// a fraction of x of them with a probability of x to the power 1/Skew. Zero and 1
	// mean that all are equally popular.
	Skew float64
	// CacheSize is the number of most recently used objects that a server caches.
	CacheSize int
	// CacheSaving is the fraction of the work that a cached object saves, from 0 to 1.
	CacheSaving float64
	// LatencyTarget is the latency up to which a request counts as answered on time.
	LatencyTarget time.Duration
	// UnevenRegions places one eighth of the servers in one region and half in
	// another. The callers are distributed evenly.
	UnevenRegions bool
	// Entries is the number of entries; zero means seven.
	Entries int
	// Classes are the classes of the requests; without a share there is only one, with
	// LatencyTarget.
	Classes [classCount]Class
	// QueuePerSlot is the maximum number of queued requests per slot of a server; zero
	// means queuePerSlot.
	QueuePerSlot int
	// Noise makes servers slow for a while.
	Noise Noise
	// Outliers are requests that take longer.
	Outliers Outliers
	// Swing lets the demand peak in each region in turn.
	Swing Swing
	// Returns makes rejected callers come back once, as Retry-After says, and bounds
	// additional attempts by a retry budget.
	Returns bool
}

// Setup describes one run.
type Setup struct {
	// Workload is the workload of the run.
	Workload Workload
	// Service is the only service of the run.
	Service Service
	// Scenario is the fault of the run.
	Scenario Scenario
	// Load is the rate of arriving work.
	Load Load
	// Policy is the name of the policy.
	Policy string
	// Off are the mechanisms that the policy ObjectPlacement does without.
	Off yuccaswitch.Set
	// Seed is the seed of all random numbers.
	Seed uint64
	// Requests is the minimum expected number of requests.
	Requests int
	// Length is the minimum virtual time of the run.
	Length time.Duration
}

// The topology and the one-way network delays of all runs.
const (
	// regionCount is the number of regions.
	regionCount = 3
	// defaultEntries is the number of entries of a workload that does not name one.
	defaultEntries = 7

	// callerDelay is the network delay between a caller and its entry.
	callerDelay = 10 * time.Millisecond
	// nearDelay is the network delay within a region.
	nearDelay = 1500 * time.Microsecond
	// farDelay is the network delay between two regions.
	farDelay = 20 * time.Millisecond
	// connectDelay is the additional delay of a new connection.
	connectDelay = time.Millisecond
)

// The parameters of faults, load reports, instance lists and retries.
const (
	// slowFactor multiplies the mean work of a slow server.
	slowFactor = 5
	// coldFactor multiplies the time of a request on a server with cold caches.
	coldFactor = 3
	// coldRequests is the number of requests until a server's caches are warm.
	coldRequests = 50
	// reportInterval is the time between two load reports of a server.
	reportInterval = 250 * time.Millisecond
	// reportAge is the age of the load reports that entries use, rounded down to
	// whole report intervals.
	reportAge = 100 * time.Millisecond
	// staleAge replaces reportAge in the scenario StaleReports.
	staleAge = 5 * time.Second
	// viewDelay is the time from a failure until the first entry learns of it.
	viewDelay = 2 * time.Second
	// viewStagger is the time between the updates of two successive entries.
	viewStagger = 50 * time.Millisecond
	// callerTimeout is the time after which a caller stops waiting for a stopped
	// entry and sends its request to another one.
	callerTimeout = time.Second
	// queuePerSlot is the maximum number of queued requests per slot of a server.
	queuePerSlot = 2
	// maxAttempts is the maximum number of servers that a request is sent to.
	maxAttempts = 3
)

// regionOf returns the index of the region of the server with index i.
func (s Setup) regionOf(i int) int {
	if !s.Workload.UnevenRegions {
		return i % regionCount
	}
	return []int{0, 0, 0, 0, 1, 1, 1, 2}[i%8]
}

// regionName returns the name of the region with index r, a letter from "a".
func regionName(r int) string { return string(rune('a' + r)) }

// entries returns the number of entries.
func (s Setup) entries() int { return cmp.Or(s.Workload.Entries, defaultEntries) }

// entryRegion returns the index of the region of the entry with index e.
func entryRegion(e int) int { return e % regionCount }

// totalSlots returns the number of slots of all servers.
func (s Service) totalSlots() int { return s.Servers * s.Slots }

// rate returns the number of requests per second for a utilization of the slots.
func (s Service) rate(utilization float64) float64 {
	return utilization * float64(s.totalSlots()) / s.Work.Seconds()
}

// length returns the virtual time that the run lasts.
func (s Setup) length() time.Duration {
	n := time.Duration(float64(s.Requests) / s.Service.rate(s.Load.Utilization) * float64(time.Second))
	return max(s.Length, n)
}

// utilization returns the utilization at a virtual time of the run.
func (s Setup) utilization(at time.Duration) float64 {
	third := s.length() / 3
	if s.Load.PeakUtilization > 0 && at >= third && at < 2*third {
		return s.Load.PeakUtilization
	}
	return s.Load.Utilization
}
