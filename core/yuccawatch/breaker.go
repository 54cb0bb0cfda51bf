package yuccawatch

import (
	"context"
	"sync"
)

// Breaker is a circuit breaker that several watchers of one platform share. After
// a failed call it admits one probe call at a time. After the first successful
// call it admits all calls again. Create one with NewBreaker.
type Breaker struct {
	// probe has capacity one and holds an element while a watcher makes the probe
	// call.
	probe chan struct{}

	// mu guards recovered.
	mu sync.Mutex
	// recovered is closed when the platform responds again. It is nil while the
	// platform responds.
	recovered chan struct{}
}

// NewBreaker returns a breaker that admits all calls.
func NewBreaker() *Breaker { return &Breaker{probe: make(chan struct{}, 1)} }

// acquire waits until the caller may make a call or ctx ends. It returns true if
// this is the probe call; the caller then has to call releaseProbe after it.
func (g *Breaker) acquire(ctx context.Context) bool {
	g.mu.Lock()
	recovered := g.recovered
	g.mu.Unlock()
	if recovered == nil {
		return false
	}
	select {
	case <-recovered:
		return false
	case g.probe <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseProbe allows the next probe call.
func (g *Breaker) releaseProbe() { <-g.probe }

// trip restricts the calls to one probe at a time, after a failed call.
func (g *Breaker) trip() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recovered == nil {
		g.recovered = make(chan struct{})
	}
}

// reset admits all calls again, after a successful call.
func (g *Breaker) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recovered != nil {
		close(g.recovered)
		g.recovered = nil
	}
}
