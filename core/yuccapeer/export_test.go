package yuccapeer

import (
	"context"
	"time"
)

// Await returns when there is a session to the named peer.
func (p *Peers) Await(ctx context.Context, name string) error {
	for ctx.Err() == nil {
		p.mu.Lock()
		s := p.sessions[name]
		p.mu.Unlock()
		if s != nil {
			return nil
		}
		pause(ctx, time.Millisecond)
	}
	return ctx.Err()
}
