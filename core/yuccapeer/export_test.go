package yuccapeer

import (
	"context"
	"time"

	"yuccawell.example/core/yuccasleep"
)

// Await returns when there is a session to the named peer, or the error of ctx
// when that ends first.
func (p *Peers) Await(ctx context.Context, name string) error {
	for ctx.Err() == nil {
		p.mu.Lock()
		s := p.sessions[name]
		p.mu.Unlock()
		if s != nil {
			return nil
		}
		yuccasleep.For(ctx, time.Millisecond)
	}
	return ctx.Err()
}

// Remembers reports whether the entry is remembered although the list lacks it.
func (p *Peers) Remembers(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.unlisted[name]
	return ok
}
