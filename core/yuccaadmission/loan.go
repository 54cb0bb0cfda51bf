package yuccaadmission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// borrowInterval is the shortest time between two loan requests of a pool.
	borrowInterval = 5 * time.Millisecond
	// maxBorrowInterval is the longest such time. Each loan request that brings
	// no slot doubles the time.
	maxBorrowInterval = 40 * time.Millisecond
	// maxSlotsPerLoan is the largest number of slots in one loan request.
	maxSlotsPerLoan = 8
	// unmetRequestTTL is how long the lender remembers a loan request that it
	// had no free slot for.
	unmetRequestTTL = 50 * time.Millisecond
	// idleAfter is the time since the last request after which a pool keeps no
	// free slots for itself.
	idleAfter = time.Second
	// returnDelay is how long a pool must have enough free slots before it
	// returns borrowed ones.
	returnDelay = 2 * time.Second
	// LoanTimeout is how long a borrower waits for a loan. It ignores a loan
	// that arrives later.
	LoanTimeout = 500 * time.Millisecond
	// loanConfirmTimeout is the time after which the lender revokes a loan that
	// the borrower has not confirmed in a report.
	loanConfirmTimeout = 2 * LoanTimeout
)

// borrow issues a Borrow command when the pool is short of free slots. It asks
// the entry that reported the most free slots. If none reported any and
// requests are queued, it asks the entries of the region round-robin.
func (c *Core) borrow(p *pool) {
	urgent := len(p.queue) > 0
	if c.now.Sub(p.lastBorrow) < max(p.borrowBackoff, borrowInterval) || !urgent && c.now.Sub(p.lastBorrowCheck) < borrowInterval {
		return
	}
	p.lastBorrowCheck = c.now
	count := p.targetFree(c.now) - p.freeSlots(c.now) + len(p.queue)
	if count <= 0 {
		return
	}
	to, most := c.peerWithMostFree(p.serviceRegion)
	if most == 0 && urgent {
		to, most = c.nextEntry(p), 1
	}
	if to == "" {
		return
	}
	p.lastBorrow = c.now
	count = min(count, maxSlotsPerLoan, most)
	c.peer(to).free[p.serviceRegion] -= count
	c.commands = append(c.commands, Borrow{To: to, Service: p.service, Region: p.region, Count: count, Urgent: urgent})
}

// peerWithMostFree returns the entry that reported the most free slots, and
// that number; ties go to the lowest name.
func (c *Core) peerWithMostFree(key serviceRegion) (string, int) {
	best, most := "", 0
	for name, other := range c.peers {
		n := other.free[key]
		if n > most || n == most && n > 0 && name < best {
			best, most = name, n
		}
	}
	return best, most
}

// nextEntry returns the next of the other entries of the region, round-robin, or
// "" if there are none.
func (c *Core) nextEntry(p *pool) string {
	list := c.entriesByRegion[p.region]
	for range list {
		p.lastNeighbor++
		if name := list[p.lastNeighbor%len(list)]; name != c.self {
			return name
		}
	}
	return ""
}

// targetFree returns how many slots the pool should keep free for requests that
// may arrive before a loan does. It is zero for an idle pool.
func (p *pool) targetFree(now time.Time) int {
	if p.lastUsed.IsZero() || now.Sub(p.lastUsed) > idleAfter {
		return 0
	}
	return 1 + int(math.Sqrt(float64(p.inFlight))/2)
}

// LoanRequest returns the message to send for a Borrow command.
func (c *Core) LoanRequest(b Borrow) *LoanRequest {
	return &LoanRequest{Incarnation: c.incarnation, Service: b.Service, Region: b.Region, Count: uint32(b.Count), Urgent: b.Urgent}
}

// Lend answers a loan request of another entry. It first returns slots that
// were borrowed from that entry and then lends own ones.
func (c *Core) Lend(now time.Time, from string, req *LoanRequest) *Loan {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.checkIncarnation(other, req.Incarnation)
	p := c.pools[serviceRegion{req.Service, req.Region}]
	if p == nil {
		return c.newLoan(from, other, nil)
	}
	var parts []*ServerSlots
	if len(p.queue) == 0 {
		keep := p.targetFree(c.now)
		if req.Urgent {
			keep = 0
		}
		left := min(int(req.Count), p.freeSlots(c.now)-keep)
		left -= c.returnSlots(p, other, left)
		parts = c.lend(p, other, left)
	}
	if req.Urgent && len(parts) == 0 {
		p.addUnmet(from, c.now)
	}
	loan := c.newLoan(from, other, parts)
	loan.Service, loan.Region = p.service, p.region
	loan.Free = uint32(max(0, p.freeSlots(c.now)-p.targetFree(c.now)))
	return loan
}

// newLoan builds the next loan message. It includes what this entry has
// borrowed from the borrower.
func (c *Core) newLoan(to string, other *peer, parts []*ServerSlots) *Loan {
	if len(parts) > 0 {
		other.lentSequence++
		other.lentAt = c.now
	}
	return &Loan{Incarnation: c.incarnation, Sequence: other.lentSequence, Parts: parts, LenderBorrowed: c.borrowedFrom(to, other)}
}

// unmetRequest is a loan request that arrived when no slot was free.
type unmetRequest struct {
	// entry is the name of the entry that asked.
	entry string
	// at is the time of its latest request.
	at time.Time
}

// addUnmet records an unmet loan request, at most one for each entry.
func (p *pool) addUnmet(entry string, now time.Time) {
	for i := range p.unmet {
		if p.unmet[i].entry == entry {
			p.unmet[i].at = now
			return
		}
	}
	p.unmet = append(p.unmet, unmetRequest{entry, now})
}

// offer issues an Offer of a slot that has become free to the entry with the
// oldest unmet loan request, unless that request has expired.
func (c *Core) offer(p *pool) {
	for len(p.unmet) > 0 && len(p.queue) == 0 && p.freeSlots(c.now) > 0 {
		w := p.unmet[0]
		p.unmet = p.unmet[1:]
		other, ok := c.peers[w.entry]
		if !ok || c.now.Sub(w.at) > unmetRequestTTL {
			continue
		}
		restored := c.returnSlots(p, other, 1)
		parts := c.lend(p, other, 1-restored)
		if restored+len(parts) == 0 {
			return
		}
		loan := c.newLoan(w.entry, other, parts)
		loan.Service, loan.Region = p.service, p.region
		c.commands = append(c.commands, Offer{To: w.entry, Loan: loan})
	}
}

// returnSlots returns up to n slots that were borrowed from a peer, and reports
// how many.
func (c *Core) returnSlots(p *pool, other *peer, n int) int {
	done := 0
	for _, s := range p.allocations {
		back := min(other.borrowed[s], n-done, s.freeSlots(c.now))
		if back <= 0 {
			continue
		}
		s.borrowed -= back
		other.borrowed[s] -= back
		done += back
	}
	p.updateNetBorrowed()
	return done
}

// lend lends up to n free slots of the pool to a peer. It skips servers that
// are leaving, suspended or in slow start.
func (c *Core) lend(p *pool, other *peer, n int) []*ServerSlots {
	var parts []*ServerSlots
	for _, s := range p.allocations {
		if n <= 0 {
			break
		}
		if s.Leaving || s.suspended(c.now) || !s.addedAt.IsZero() && c.now.Sub(s.addedAt) < slowStartTime {
			continue
		}
		count := min(n, s.freeSlots(c.now), len(s.slotNumbers)-s.lent)
		if count <= 0 {
			continue
		}
		n -= count
		s.lent += count
		other.lent[s] += count
		parts = append(parts, &ServerSlots{Service: p.service, Region: p.region, Server: s.Name, Count: uint32(count)})
	}
	p.updateNetBorrowed()
	return parts
}

// HandleLoan processes the answer to a loan request, or an offer.
func (c *Core) HandleLoan(now time.Time, from string, l *Loan) {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.checkIncarnation(other, l.Incarnation)
	before := other.lentTotal()
	if l.Sequence > other.borrowedSequence {
		other.borrowedSequence = l.Sequence
		c.addBorrowed(other, l.Parts)
	}
	c.reconcileLoans(other, l.LenderBorrowed)
	p := c.pools[serviceRegion{l.Service, l.Region}]
	if p == nil {
		return
	}
	other.free[p.serviceRegion] = int(l.Free)
	if len(l.Parts) > 0 || other.lentTotal() < before {
		p.borrowBackoff = 0
	} else {
		p.borrowBackoff = min(max(2*p.borrowBackoff, borrowInterval), maxBorrowInterval)
	}
	c.dispatch(p)
}

func (p *peer) lentTotal() int {
	n := 0
	for _, count := range p.lent {
		n += count
	}
	return n
}

// addBorrowed adds the slots of a loan. It ignores slots of servers that are
// unknown or leaving.
func (c *Core) addBorrowed(other *peer, parts []*ServerSlots) {
	for _, part := range parts {
		p, s := c.pools[serviceRegion{part.Service, part.Region}], c.servers[part.Server]
		if p == nil || s == nil || s.Leaving {
			continue
		}
		alloc := p.allocation(p.allocations, s)
		if !p.contains(alloc) {
			p.allocations = append(p.allocations, alloc)
		}
		alloc.borrowed += int(part.Count)
		other.borrowed[alloc] += int(part.Count)
		p.updateNetBorrowed()
	}
}

// returnIdle returns one borrowed slot if the pool has had more than enough
// free slots for returnDelay.
func (c *Core) returnIdle(p *pool) {
	if p.freeSlots(c.now) <= 2*p.targetFree(c.now) {
		p.lastShort = c.now
		return
	}
	if c.now.Sub(p.lastShort) < returnDelay {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		if c.returnSlots(p, c.peers[name], 1) > 0 {
			return
		}
	}
}
