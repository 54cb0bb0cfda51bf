package yuccasim

import (
	"time"
)

// Result is the result of a run.
type Result struct {
	// Setup is the setup of the run.
	Setup Setup
	// P50 is the median latency of answered requests as their callers see it.
	P50 time.Duration
	// P99 is the 99th percentile of the latency.
	P99 time.Duration
	// P999 is the 99.9th percentile of the latency.
	P999 time.Duration
	// ShedRatio is the fraction of requests that were shed, from 0 to 1.
	ShedRatio float64
	// FailedRatio is the fraction of requests that failed after they were sent, from
	// 0 to 1.
	FailedRatio float64
	// MaxServerExcess is the maximum number of requests on one server in excess of
	// its slots.
	MaxServerExcess int
	// MaxRegionExcess is the maximum number of requests in flight to a region in
	// excess of its slots. A request counts from when the entry sends it until the
	// entry gets the response.
	MaxRegionExcess int
	// Headroom is the mean free fraction of the slots, from 0 to 1.
	Headroom float64
	// DrainTime is how long the drained server took to finish its last request.
	DrainTime time.Duration

	// OnTimeRatio is the fraction of requests answered within the workload's
	// LatencyTarget, from 0 to 1.
	OnTimeRatio float64

	// All is the result of all requests by class and value.
	All ClassResult
	// Classes holds the results of the workload's classes.
	Classes [classCount]ClassResult
	// Regions holds the results of the callers of each region.
	Regions [regionCount]ClassResult
	// Sent is the number of attempts that arrived at a server.
	Sent int
	// Declined is the number of them that a server declined.
	Declined int
	// Returned is the number of rejected callers that came back.
	Returned int

	onTime   int // number of requests answered within the latency target
	answered int // number of requests answered
	shed     int // number of requests shed
	failed   int // number of requests that failed
}

// measured reports whether the request arrived in the measured part of the run.
func (m *sim) measured(r *request) bool {
	return r.arrived >= m.measureFrom && r.arrived < m.measureUntil
}

// recordAnswer counts an answered request and its latency.
func (m *sim) recordAnswer(r *request) {
	if !m.measured(r) {
		return
	}
	m.result.answered++
	latency := m.now + callerDelay - r.arrived
	inTime := latency <= r.class.Target
	if inTime {
		m.result.onTime++
	}
	m.countClass(r, latency <= r.timeout(), inTime)
	_ = m.histogram.RecordValue(int64(latency / time.Microsecond))
}

// recordShed counts a shed request.
func (m *sim) recordShed(r *request) {
	if m.measured(r) {
		m.result.shed++
		m.countClass(r, false, false)
	}
}

// countClass counts a request in the results by class and by region of the callers.
func (m *sim) countClass(r *request, served, inTime bool) {
	m.result.All.count(r.class, served, inTime)
	m.result.Classes[r.classIndex].count(r.class, served, inTime)
	m.result.Regions[entryRegion(r.entry)].count(r.class, served, inTime)
}

// recordFailure counts a failed request.
func (m *sim) recordFailure(r *request) {
	if m.measured(r) {
		m.result.failed++
		m.countClass(r, false, false)
	}
}

// recordExcess updates the maximum excess of servers and regions with the current
// load of a server and its region.
func (m *sim) recordExcess(s *server) {
	m.result.MaxServerExcess = max(m.result.MaxServerExcess, s.load()-s.Slots)
	capacity := 0
	for _, other := range m.servers {
		if other.region == s.region {
			capacity += other.Slots
		}
	}
	m.result.MaxRegionExcess = max(m.result.MaxRegionExcess, m.inFlight[s.region]-capacity)
}

// addRunning changes the number of requests running on servers by delta and updates
// runningTime.
func (m *sim) addRunning(delta int) {
	from, to := max(m.runningSince, m.measureFrom), min(m.now, m.measureUntil)
	if to > from {
		m.runningTime += float64(m.running) * float64(to-from)
	}
	m.runningSince = m.now
	m.running += delta
}

// summary returns the result of the finished run.
func (m *sim) summary() Result {
	r := m.result
	r.Setup = m.setup
	quantile := func(q float64) time.Duration {
		return time.Duration(m.histogram.ValueAtQuantile(q)) * time.Microsecond
	}
	r.P50, r.P99, r.P999 = quantile(50), quantile(99), quantile(99.9)
	all := float64(max(1, r.answered+r.shed+r.failed))
	r.ShedRatio, r.FailedRatio = float64(r.shed)/all, float64(r.failed)/all
	r.OnTimeRatio = float64(r.onTime) / all
	r.Headroom = 1 - m.runningTime/(float64(m.measureUntil-m.measureFrom)*float64(m.setup.Service.totalSlots()))
	s := m.servers[drainedServer]
	r.DrainTime = max(0, s.drainedAt-s.leavingAt)
	return r
}
