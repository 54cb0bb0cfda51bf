package yuccasim

import (
	"fmt"
	"io"
	"math"
	"time"
)

// classCount is the number of classes of requests of a workload with classes.
const classCount = 2

const (
	// lateValue is the value of a response after the latency target, as a fraction of
	// that of one in time.
	lateValue = 0.2
	// timeoutTargets is how long callers wait, in latency targets of their class.
	timeoutTargets = 4
	// returnShare is the part of the time left that a rejected caller waits at most.
	returnShare = 1.0 / 3
	// defaultReturn is how long a caller waits that was told no time.
	defaultReturn = 100 * time.Millisecond
)

// Class is a part of the requests of a service.
type Class struct {
	// Name identifies the class in the tables.
	Name string
	// Share is the part of the service's requests, from 0 to 1.
	Share float64
	// Priority is the priority, 0 the most urgent.
	Priority int
	// Target is the latency up to which a request counts as answered on time.
	Target time.Duration
	// Work is the mean time that a request takes on a server; zero means that of the
	// service.
	Work time.Duration
	// Value is the value of a response in time.
	Value float64
}

// Noise makes servers slow for a while, as if they shared their machines with other work.
type Noise struct {
	// Share is the part of the time in which a server is slow, from 0 to 1.
	Share float64
	// Factor multiplies the time of the requests that start meanwhile.
	Factor float64
	// Interval is the time between two changes.
	Interval time.Duration
	// Reported makes the servers report how slow they are.
	Reported bool
}

// Outliers are requests that take longer than the others.
type Outliers struct {
	// Share is the part of the requests, from 0 to 1.
	Share float64
	// Factor multiplies their time.
	Factor float64
}

// Swing lets the demand peak in each region in turn.
type Swing struct {
	// Size is the amplitude, as a part of the mean demand.
	Size float64
	// Period is the time between two peaks in a region.
	Period time.Duration
}

// weight returns the demand of a region relative to its mean.
func (s Swing) weight(region int, at time.Duration) float64 {
	if s.Period == 0 {
		return 1
	}
	return 1 + s.Size*math.Sin(2*math.Pi*(at.Seconds()/s.Period.Seconds()-float64(region)/regionCount))
}

// ClassResult is the result of a class or of the callers of a region.
type ClassResult struct {
	// Requests is the number of requests.
	Requests int
	// Served is the number of requests answered.
	Served int
	// InTime is the number of requests answered on time.
	InTime int
	// Value is the sum of the values of the responses.
	Value float64
	// MaxValue is the value if all responses were in time.
	MaxValue float64
}

// ServedRatio is the fraction of requests answered.
func (r ClassResult) ServedRatio() float64 { return float64(r.Served) / float64(max(1, r.Requests)) }

// InTimeRatio is the fraction of requests answered on time.
func (r ClassResult) InTimeRatio() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }

// ValueRatio is the value earned as a fraction of MaxValue.
func (r ClassResult) ValueRatio() float64 {
	if r.MaxValue == 0 {
		return 0
	}
	return r.Value / r.MaxValue
}

// count adds a request.
func (r *ClassResult) count(c Class, served, inTime bool) {
	r.Requests++
	r.MaxValue += c.Value
	switch {
	case inTime:
		r.Served++
		r.InTime++
		r.Value += c.Value
	case served:
		r.Served++
		r.Value += lateValue * c.Value
	}
}

// hasClasses reports whether the requests are of different classes.
func (w Workload) hasClasses() bool { return w.Classes[0].Share > 0 }

// OverloadOptions returns the options for services whose requests differ in priority,
// target, work and value, with servers that queue first come, first served, share their
// machines with other work and cache few objects, and with callers who come back as
// Retry-After says. In the workload "hot" few objects get most requests. In "plain" all requests are of one priority and the
// servers are quiet.
func OverloadOptions(seed uint64, entries int, length time.Duration) Options {
	servers := 24
	if entries > defaultEntries {
		servers = 96
	}
	noise := Noise{Share: 0.15, Factor: 2.5, Interval: 600 * time.Millisecond, Reported: true}
	mixed := Workload{Entries: entries, Objects: servers * keptObjects, CacheSize: keptObjects, CacheSaving: 0.7, UnevenRegions: true, QueuePerSlot: 3,
		Noise: noise, Outliers: Outliers{0.03, 7}, Swing: Swing{0.55, 12 * time.Second}, Returns: true}
	desk := mixed
	desk.Name = "desk"
	desk.Classes = [classCount]Class{
		{"reads", 0.7, 1, 600 * time.Millisecond, 1000 * time.Millisecond, 1},
		{"writes", 0.3, 2, 1500 * time.Millisecond, 1320 * time.Millisecond, 3},
	}
	files := mixed
	files.Name = "files"
	files.Classes = [classCount]Class{
		{"downloads", 0.6, 0, 500 * time.Millisecond, 800 * time.Millisecond, 1},
		{"writes", 0.4, 1, 500 * time.Millisecond, 800 * time.Millisecond, 2},
	}
	books := mixed
	books.Name = "books"
	books.Classes = [classCount]Class{
		{"manifests", 0.6, 1, 200 * time.Millisecond, 220 * time.Millisecond, 1},
		{"ledgers", 0.4, 2, 1000 * time.Millisecond, 1400 * time.Millisecond, 1},
	}
	hot := files
	hot.Name, hot.Skew = "hot", 3
	plain := files
	plain.Name, plain.Noise, plain.Outliers = "plain", Noise{}, Outliers{}
	plain.Classes[0].Priority = plain.Classes[1].Priority
	return Options{
		Seed:        seed,
		Deployments: []Deployment{{"overload", []Service{{Name: "mixed", Servers: servers, Slots: 6}}}},
		Scenarios:   []Scenario{NoFault},
		Loads:       []Load{{"0.8", 0.8, 0}, {"1.1", 1.1, 0}, {"1.4", 1.4, 0}},
		Policies:    []string{ObjectPlacement},
		Workloads:   []Workload{desk, files, books, hot, plain},
		Length:      length,
	}
}

// keptObjects is the number of objects that a server of OverloadOptions caches. There are
// as many objects as all servers cache.
const keptObjects = 20

// withWork returns the service with the mean work of the workload's classes if it names
// none.
func (s Service) withWork(w Workload) Service {
	if s.Work > 0 {
		return s
	}
	for _, c := range w.Classes {
		s.Work += time.Duration(c.Share * float64(c.Work))
	}
	return s
}

// PrintOverload writes a Markdown table with one row for each result: the value of the
// responses, the least value by region of the callers and by class, the parts of the
// requests answered and answered on time, and the arrivals that servers rejected.
func PrintOverload(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| mix | entries | load | value | worst region | worst class | served | in time | rejected by servers | retry | urgent served, in time, value | other served, in time, value |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		region, class := math.Inf(1), math.Inf(1)
		for _, v := range r.Regions {
			region = min(region, v.ValueRatio())
		}
		for _, v := range r.Classes {
			class = min(class, v.ValueRatio())
		}
		a, b := r.Classes[0], r.Classes[1]
		fmt.Fprintf(w, "| %s | %d | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %.2f %.2f %.2f | %.2f %.2f %.2f |\n",
			r.Setup.Workload.Name, r.Setup.entries(), r.Setup.Load.Name, r.All.ValueRatio(), region, class, r.All.ServedRatio(), r.All.InTimeRatio(),
			float64(r.Declined)/float64(max(1, r.Sent)), float64(r.Returned)/float64(max(1, r.All.Requests)),
			a.ServedRatio(), a.InTimeRatio(), a.ValueRatio(), b.ServedRatio(), b.InTimeRatio(), b.ValueRatio())
	}
}
