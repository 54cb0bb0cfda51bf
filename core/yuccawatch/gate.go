package yuccawatch

import (
	"context"
	"sync"
)

// Breaker lets one follower at a time call a platform that does not answer, and all
// of them as soon as one was answered. Make one with NewBreaker.
type Breaker struct {
	// turn is held by the follower that may call while the platform is away.
	turn chan struct{}

	mu sync.Mutex
	// opened is closed when the platform answers again; nil while it does.
	opened chan struct{}
}

// NewBreaker returns an open gate.
func NewBreaker() *Breaker { return &Breaker{turn: make(chan struct{}, 1)} }

// enter waits until a call may be made. It reports whether the caller holds the
// turn, which it gives back with leave.
func (g *Breaker) enter(ctx context.Context) bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return false
	}
	select {
	case <-opened:
		return false
	case g.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// leave gives the turn back.
func (g *Breaker) leave() { <-g.turn }

// shut notes that a call failed.
func (g *Breaker) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// open notes that a call was answered.
func (g *Breaker) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}
