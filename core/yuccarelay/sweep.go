package yuccarelay

import "time"

// scheduleSweep makes sweep run when the idle connections of now are no longer usable.
// The caller holds the mutex.
func (p *pool) scheduleSweep() {
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(p.maxIdleTime, p.sweep)
	}
}

// sweep closes the idle connections that are no longer usable. A connection that nobody
// asks for, as to a server that is gone, would stay open otherwise, and hold what the
// server sends on it.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepTimer = nil
	for addr, list := range p.idle {
		if list = p.closeUnusable(list); len(list) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = list
	}
	if len(p.idle) > 0 {
		p.scheduleSweep()
	}
}

// closeUnusable closes the connections of a list that are no longer usable and returns the
// others.
func (p *pool) closeUnusable(list []*conn) []*conn {
	kept := list[:0]
	for _, c := range list {
		if p.isUsable(c) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	clear(list[len(kept):])
	return kept
}
