package yuccaadmission

import (
	"time"

	"yuccawell.example/core/yuccamembership"
)

// peer is what is known of another entry.
type peer struct {
	run  uint64
	free map[place]int
	// waiting is how many requests wait there.
	waiting map[place]int
	// heldSequence is that of the last loan received; the borrowed slots are
	// in held.
	heldSequence uint64
	held         map[*seat]int
	// lentSequence is that of the last loan given, at lentAt; settled is the
	// last one that the borrower has told of.
	lentSequence uint64
	settled      uint64
	lentAt       time.Time
	lent         map[*seat]int
}

func (c *Core) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{free: map[place]int{}, waiting: map[place]int{}, held: map[*seat]int{}, lent: map[*seat]int{}}
		c.peers[name] = p
	}
	return p
}

// HandleReport takes what another entry published.
func (c *Core) HandleReport(now time.Time, from string, b *SlotReport) {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.notice(other, b.Incarnation)
	clear(other.free)
	clear(other.waiting)
	for _, s := range b.Pools {
		at := place{s.Service, s.Region}
		other.free[at], other.waiting[at] = int(s.Free), int(s.Waiting)
	}
	c.countOthers()
	for _, v := range b.Revoked {
		if v.Entry == c.self {
			other.heldSequence = max(other.heldSequence, v.Sequence)
		}
	}
	mine := &BorrowedSlots{Lender: c.self}
	for _, h := range b.Borrowed {
		if h.Lender == c.self {
			mine = h
		}
	}
	c.settle(other, mine)
}

// countOthers sums up what waits at other entries.
func (c *Core) countOthers() {
	for _, p := range c.order {
		p.others = 0
		for _, other := range c.peers {
			p.others += other.waiting[p.place]
		}
	}
}

// full reports whether requests of a service wait at an entry.
func (c *Core) full(service, entry string) bool {
	for _, p := range c.order {
		n := len(p.waiting)
		if entry != c.self {
			n = 0
			if other := c.peers[entry]; other != nil {
				n = other.waiting[p.place]
			}
		}
		if p.service == service && n > 0 {
			return true
		}
	}
	return false
}

// settle takes the borrower's word on what it holds, once it has had the last
// loan or its end.
func (c *Core) settle(other *peer, h *BorrowedSlots) {
	if h == nil || h.Sequence < other.lentSequence {
		return
	}
	other.settled = h.Sequence
	for s, n := range other.lent {
		kept := min(n, held(h, s))
		s.lent -= n - kept
		other.lent[s] = kept
		if kept == 0 {
			delete(other.lent, s)
		}
		s.pool.recount()
	}
}

func held(h *BorrowedSlots, s *seat) int {
	for _, part := range h.Parts {
		if part.Server == s.Name && part.Service == s.pool.service {
			return int(part.Count)
		}
	}
	return 0
}

// notice forgets loans both ways when an entry has started again.
func (c *Core) notice(other *peer, run uint64) {
	if other.run == run {
		return
	}
	c.forgive(other)
	*other = peer{run: run, free: map[place]int{}, waiting: map[place]int{}, held: map[*seat]int{}, lent: map[*seat]int{}}
}

func (c *Core) forgive(other *peer) {
	for s, n := range other.held {
		s.borrowed = max(0, s.borrowed-n)
		s.pool.recount()
	}
	for s, n := range other.lent {
		s.lent -= n
		s.pool.recount()
	}
}

// dropPeers forgets the entries that are gone.
func (c *Core) dropPeers(view yuccamembership.View) {
	for name, other := range c.peers {
		if _, ok := view.Entry(name); !ok {
			c.forgive(other)
			delete(c.peers, name)
		}
	}
}

// SlotReport returns what to publish to the other entries.
func (c *Core) SlotReport() *SlotReport {
	b := &SlotReport{Incarnation: c.run}
	for _, p := range c.order {
		if n := p.free(c.now) - p.spare(c.now); n > 0 || len(p.waiting) > 0 {
			b.Pools = append(b.Pools, &PoolStatus{Service: p.service, Region: p.region, Free: uint32(max(0, n)), Waiting: uint32(len(p.waiting))})
		}
	}
	for name, other := range c.peers {
		if other.lentSequence > other.settled && c.now.Sub(other.lentAt) > settleTime {
			b.Revoked = append(b.Revoked, &RevokedLoans{Entry: name, Sequence: other.lentSequence})
		}
		if other.heldSequence > 0 {
			b.Borrowed = append(b.Borrowed, c.heldOf(name, other))
		}
	}
	return b
}

func (c *Core) heldOf(name string, other *peer) *BorrowedSlots {
	h := &BorrowedSlots{Lender: name, Sequence: other.heldSequence}
	for s, n := range other.held {
		if n > 0 {
			h.Parts = append(h.Parts, &ServerSlots{Service: s.pool.service, Region: s.pool.region, Server: s.Name, Count: uint32(n)})
		}
	}
	return h
}
