package yuccaretry

import (
	"sync"
	"time"
)

// Services holds the budget and the latencies of each service. Its methods may
// be called from several goroutines. Make one with NewServices.
type Services struct {
	mu   sync.Mutex
	list map[string]*service
}

type service struct {
	budget  Budget
	latency Latency
}

// NewServices returns an empty set.
func NewServices() *Services { return &Services{list: map[string]*service{}} }

// Update hands a message to a service's budget and reports whether what it asks
// is allowed.
func (s *Services) Update(now time.Time, name string, m Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(now, name)
	var ok bool
	v.budget, ok = v.budget.Update(now, m)
	return ok
}

// Observe counts the latency of an answer.
func (s *Services) Observe(now time.Time, name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(now, name).latency.Add(d)
}

// Quantile returns a quantile of a service's recent latencies, and false while
// it is not known.
func (s *Services) Quantile(name string, q float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.list[name]
	if !ok {
		return 0, false
	}
	return v.latency.Quantile(q)
}

func (s *Services) service(now time.Time, name string) *service {
	v, ok := s.list[name]
	if !ok {
		v = &service{budget: New(now)}
		s.list[name] = v
	}
	return v
}
