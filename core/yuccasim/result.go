package yuccasim

import (
	"time"
)

// Result is what a run gave.
type Result struct {
	Setup Setup
	P50   time.Duration
	P99   time.Duration
	P999  time.Duration
	// Shed and Failed are parts of all requests.
	Shed   float64
	Failed float64
	// MaxServerExcess is the most requests on one server beyond its slots, and MaxRegionExcess
	// the most on their way to or in a region beyond its slots.
	MaxServerExcess int
	MaxRegionExcess int
	// Headroom is the part of the slots that was free on average.
	Headroom float64
	// Drain is how long the leaving server took to end its last request.
	Drain time.Duration

	// OnTimeRatio is the part of all requests that was answered within the goal.
	OnTimeRatio float64

	inGoal                int
	answers, shed, failed int
}

func (m *sim) measured(r *request) bool { return r.arrived >= m.begin && r.arrived < m.end }

func (m *sim) answered(r *request) {
	if !m.measured(r) {
		return
	}
	m.result.answers++
	took := m.now + callerDelay - r.arrived
	if took <= m.set.Workload.LatencyTarget {
		m.result.inGoal++
	}
	_ = m.histogram.RecordValue(int64(took / time.Microsecond))
}

func (m *sim) shed(r *request) {
	if m.measured(r) {
		m.result.shed++
	}
}

func (m *sim) fail(r *request) {
	if m.measured(r) {
		m.result.failed++
	}
}

// peak notes how far a server is over its slots and a region over its capacity.
func (m *sim) peak(s *server) {
	m.result.MaxServerExcess = max(m.result.MaxServerExcess, s.load()-s.Slots)
	capacity := 0
	for _, other := range m.servers {
		if other.region == s.region {
			capacity += other.Slots
		}
	}
	m.result.MaxRegionExcess = max(m.result.MaxRegionExcess, m.flying[s.region]-capacity)
}

// count changes the number of running requests and adds up their time.
func (m *sim) count(by int) {
	from, to := max(m.changed, m.begin), min(m.now, m.end)
	if to > from {
		m.area += float64(m.running) * float64(to-from)
	}
	m.changed = m.now
	m.running += by
}

func (m *sim) summary() Result {
	r := m.result
	r.Setup = m.set
	quantile := func(q float64) time.Duration {
		return time.Duration(m.histogram.ValueAtQuantile(q)) * time.Microsecond
	}
	r.P50, r.P99, r.P999 = quantile(50), quantile(99), quantile(99.9)
	all := float64(max(1, r.answers+r.shed+r.failed))
	r.Shed, r.Failed = float64(r.shed)/all, float64(r.failed)/all
	r.OnTimeRatio = float64(r.inGoal) / all
	r.Headroom = 1 - m.area/(float64(m.end-m.begin)*float64(m.set.Service.total()))
	s := m.servers[drainedServer]
	r.Drain = max(0, s.drained-s.leaving)
	return r
}
