package yuccaretry

import (
	"sync"
	"time"
)

// Tracker holds the budget and the latencies of each service. Its methods may
// be called from several goroutines. Make one with NewTracker.
type Tracker struct {
	limits Limits

	mu   sync.Mutex
	list map[string]*service
}

type service struct {
	budget  Budget
	latency Latency
}

// NewTracker returns an empty set whose budgets have the given limits.
func NewTracker(l Limits) *Tracker { return &Tracker{limits: l, list: map[string]*service{}} }

// Limit sets the limits of all budgets from now on.
func (s *Tracker) Limit(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	for _, v := range s.list {
		v.budget = v.budget.WithLimits(l)
	}
}

// Update hands a message to a service's budget and reports whether what it asks
// is allowed.
func (s *Tracker) Update(now time.Time, name string, m Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(now, name)
	var ok bool
	v.budget, ok = v.budget.Update(now, m)
	return ok
}

// Observe counts the latency of an answer.
func (s *Tracker) Observe(now time.Time, name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(now, name).latency.Add(d)
}

// Quantile returns a quantile of a service's recent latencies, and false while
// it is not known.
func (s *Tracker) Quantile(name string, q float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.list[name]
	if !ok {
		return 0, false
	}
	return v.latency.Quantile(q)
}

func (s *Tracker) service(now time.Time, name string) *service {
	v, ok := s.list[name]
	if !ok {
		v = &service{budget: NewWithLimits(now, s.limits)}
		s.list[name] = v
	}
	return v
}
