package yuccaretry

import (
	"sync"
	"time"
)

// Tracker holds the budget and the latencies of each service. It is safe for
// concurrent use. Make one with NewTracker.
type Tracker struct {
	// limits are those of new budgets.
	limits Limits

	// mu guards limits and services.
	mu sync.Mutex
	// services holds the state of each service by name.
	services map[string]*service
}

// service holds the state of one service.
type service struct {
	// budget bounds the additional attempts.
	budget Budget
	// latency holds the recent latencies.
	latency Latency
}

// NewTracker returns an empty Tracker. The budgets that it creates have the
// given limits.
func NewTracker(l Limits) *Tracker { return &Tracker{limits: l, services: map[string]*service{}} }

// SetLimits changes the limits of all present and future budgets.
func (s *Tracker) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	for _, v := range s.services {
		v.budget = v.budget.WithLimits(l)
	}
}

// Update passes an event to a service's budget. For Retry and Hedge it
// reports whether the attempt is allowed.
func (s *Tracker) Update(now time.Time, name string, m Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(now, name)
	var ok bool
	v.budget, ok = v.budget.Update(now, m)
	return ok
}

// Observe adds the latency of an answer to a service's histogram.
func (s *Tracker) Observe(now time.Time, name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(now, name).latency.Add(d)
}

// Quantile returns an upper bound of a quantile (0 to 1) of a service's
// recent latencies. It returns false for an unknown service or too few
// samples.
func (s *Tracker) Quantile(name string, q float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[name]
	if !ok {
		return 0, false
	}
	return v.latency.Quantile(q)
}

// service returns the state of a service and creates it if needed. The
// caller holds mu.
func (s *Tracker) service(now time.Time, name string) *service {
	v, ok := s.services[name]
	if !ok {
		v = &service{budget: NewWithLimits(now, s.limits)}
		s.services[name] = v
	}
	return v
}
