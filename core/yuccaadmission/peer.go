package yuccaadmission

import (
	"time"

	"yuccawell.example/core/yuccamembership"
)

// peer is what this entry knows about another entry.
type peer struct {
	// incarnation distinguishes the starts of that entry.
	incarnation uint64
	// free holds the free slots that it reported.
	free map[serviceRegion]int
	// waiting holds the number of requests queued there.
	waiting map[serviceRegion]int
	// borrowedSequence is the number of the last loan received from it.
	borrowedSequence uint64
	// borrowed counts the slots borrowed from it.
	borrowed map[*allocation]int
	// lentSequence is the number of the last loan made to it.
	lentSequence uint64
	// confirmedSequence is the number of the last loan that it has confirmed.
	confirmedSequence uint64
	// lentAt is the time of the last loan made to it.
	lentAt time.Time
	// lent counts the slots lent to it.
	lent map[*allocation]int
}

// peer returns the state of an entry and creates it if it is new.
func (c *Core) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{free: map[serviceRegion]int{}, waiting: map[serviceRegion]int{}, borrowed: map[*allocation]int{}, lent: map[*allocation]int{}}
		c.peers[name] = p
	}
	return p
}

// HandleReport processes the slot report of another entry.
func (c *Core) HandleReport(now time.Time, from string, b *SlotReport) {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.checkIncarnation(other, b.Incarnation)
	clear(other.free)
	clear(other.waiting)
	for _, s := range b.Pools {
		key := serviceRegion{s.Service, s.Region}
		other.free[key], other.waiting[key] = int(s.Free), int(s.Waiting)
	}
	c.countQueuedElsewhere()
	for _, v := range b.Revoked {
		if v.Entry == c.self {
			other.borrowedSequence = max(other.borrowedSequence, v.Sequence)
		}
	}
	mine := &BorrowedSlots{Lender: c.self}
	for _, h := range b.Borrowed {
		if h.Lender == c.self {
			mine = h
		}
	}
	c.reconcileLoans(other, mine)
}

// countQueuedElsewhere sums up the requests queued at other entries for each
// pool.
func (c *Core) countQueuedElsewhere() {
	for _, p := range c.sortedPools {
		p.queuedElsewhere = 0
		for _, other := range c.peers {
			p.queuedElsewhere += other.waiting[p.serviceRegion]
		}
	}
}

// hasQueued reports whether requests of a service are queued at an entry.
func (c *Core) hasQueued(service, entry string) bool {
	for _, p := range c.sortedPools {
		n := len(p.queue)
		if entry != c.self {
			n = 0
			if other := c.peers[entry]; other != nil {
				n = other.waiting[p.serviceRegion]
			}
		}
		if p.service == service && n > 0 {
			return true
		}
	}
	return false
}

// reconcileLoans sets the slots lent to a peer to what it reports as borrowed.
// It ignores reports from before the peer received the last loan or its
// revocation.
func (c *Core) reconcileLoans(other *peer, h *BorrowedSlots) {
	if h == nil || h.Sequence < other.lentSequence {
		return
	}
	other.confirmedSequence = h.Sequence
	for s, n := range other.lent {
		kept := min(n, slotsOf(h, s))
		s.lent -= n - kept
		other.lent[s] = kept
		if kept == 0 {
			delete(other.lent, s)
		}
		s.pool.updateNetBorrowed()
	}
}

// slotsOf returns the number of slots of one server and service in a report.
func slotsOf(h *BorrowedSlots, s *allocation) int {
	for _, part := range h.Parts {
		if part.Server == s.Name && part.Service == s.pool.service {
			return int(part.Count)
		}
	}
	return 0
}

// checkIncarnation drops all loans to and from an entry that has restarted.
func (c *Core) checkIncarnation(other *peer, run uint64) {
	if other.incarnation == run {
		return
	}
	c.cancelLoans(other)
	*other = peer{incarnation: run, free: map[serviceRegion]int{}, waiting: map[serviceRegion]int{}, borrowed: map[*allocation]int{}, lent: map[*allocation]int{}}
}

// cancelLoans drops all loans to and from a peer.
func (c *Core) cancelLoans(other *peer) {
	for s, n := range other.borrowed {
		s.borrowed = max(0, s.borrowed-n)
		s.pool.updateNetBorrowed()
	}
	for s, n := range other.lent {
		s.lent -= n
		s.pool.updateNetBorrowed()
	}
}

// dropPeers removes the entries that are not in the view.
func (c *Core) dropPeers(view yuccamembership.View) {
	for name, other := range c.peers {
		if _, ok := view.Entry(name); !ok {
			c.cancelLoans(other)
			delete(c.peers, name)
		}
	}
}

// SlotReport returns the report to publish to the other entries.
func (c *Core) SlotReport() *SlotReport {
	b := &SlotReport{Incarnation: c.incarnation}
	for _, p := range c.sortedPools {
		if n := p.freeSlots(c.now) - p.targetFree(c.now); n > 0 || len(p.queue) > 0 {
			b.Pools = append(b.Pools, &PoolStatus{Service: p.service, Region: p.region, Free: uint32(max(0, n)), Waiting: uint32(len(p.queue))})
		}
	}
	for name, other := range c.peers {
		if other.lentSequence > other.confirmedSequence && c.now.Sub(other.lentAt) > loanConfirmTimeout {
			b.Revoked = append(b.Revoked, &RevokedLoans{Entry: name, Sequence: other.lentSequence})
		}
		if other.borrowedSequence > 0 {
			b.Borrowed = append(b.Borrowed, c.borrowedFrom(name, other))
		}
	}
	return b
}

// borrowedFrom lists the slots borrowed from a peer.
func (c *Core) borrowedFrom(name string, other *peer) *BorrowedSlots {
	h := &BorrowedSlots{Lender: name, Sequence: other.borrowedSequence}
	for s, n := range other.borrowed {
		if n > 0 {
			h.Parts = append(h.Parts, &ServerSlots{Service: s.pool.service, Region: s.pool.region, Server: s.Name, Count: uint32(n)})
		}
	}
	return h
}
