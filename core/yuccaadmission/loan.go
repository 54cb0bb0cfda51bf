package yuccaadmission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// borrowInterval bounds how often a pool asks others for slots.
	borrowInterval = 5 * time.Millisecond
	// maxBorrowInterval is its bound after wishes in vain, each of which doubles
	// it.
	maxBorrowInterval = 40 * time.Millisecond
	// maxBorrow is the most slots that one wish names.
	maxBorrow = 8
	// wantTime is how long a wish in vain is remembered.
	wantTime = 50 * time.Millisecond
	// activeTime is how long after its last use a pool keeps free slots back.
	activeTime = time.Second
	// returnAfter is how long slots must stay unused before they go back.
	returnAfter = 2 * time.Second
	// LoanTimeout is how long a borrower waits for a loan; a later one is not
	// taken.
	LoanTimeout = 500 * time.Millisecond
	// settleTime is when a loan that the borrower hasn't told of becomes void.
	settleTime = 2 * LoanTimeout
)

// borrow asks another entry for slots when few are free: the one that has the
// most, or while requests wait, the region's own entries in turn.
func (c *Core) borrow(p *pool) {
	urgent := len(p.waiting) > 0
	if c.now.Sub(p.asked) < max(p.pause, borrowInterval) || !urgent && c.now.Sub(p.checked) < borrowInterval {
		return
	}
	p.checked = c.now
	count := p.spare(c.now) - p.free(c.now) + len(p.waiting)
	if count <= 0 {
		return
	}
	to, most := c.richest(p.place)
	if most == 0 && urgent {
		to, most = c.neighbour(p), 1
	}
	if to == "" {
		return
	}
	p.asked = c.now
	count = min(count, maxBorrow, most)
	c.peer(to).free[p.place] -= count
	c.out = append(c.out, Borrow{To: to, Service: p.service, Region: p.region, Count: count, Urgent: urgent})
}

// richest returns the entry that told of the most free slots.
func (c *Core) richest(at place) (string, int) {
	best, most := "", 0
	for name, other := range c.peers {
		n := other.free[at]
		if n > most || n == most && n > 0 && name < best {
			best, most = name, n
		}
	}
	return best, most
}

// neighbour returns one of the region's entries, another one each time.
func (c *Core) neighbour(p *pool) string {
	list := c.entries[p.region]
	for range list {
		p.turn++
		if name := list[p.turn%len(list)]; name != c.self {
			return name
		}
	}
	return ""
}

// spare is how many free slots the pool should have for what may arrive while a
// wish is under way.
func (p *pool) spare(now time.Time) int {
	if p.used.IsZero() || now.Sub(p.used) > activeTime {
		return 0
	}
	return 1 + int(math.Sqrt(float64(p.busy))/2)
}

// LoanRequest returns the message that carries a Borrow.
func (c *Core) LoanRequest(b Borrow) *LoanRequest {
	return &LoanRequest{Incarnation: c.run, Service: b.Service, Region: b.Region, Count: uint32(b.Count), Urgent: b.Urgent}
}

// Lend answers another entry's wish. What is held of that entry goes back to it
// first.
func (c *Core) Lend(now time.Time, from string, w *LoanRequest) *Loan {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.notice(other, w.Incarnation)
	p := c.pools[place{w.Service, w.Region}]
	if p == nil {
		return c.loan(from, other, nil)
	}
	var parts []*ServerSlots
	if len(p.waiting) == 0 {
		keep := p.spare(c.now)
		if w.Urgent {
			keep = 0
		}
		left := min(int(w.Count), p.free(c.now)-keep)
		left -= c.restore(p, other, left)
		parts = c.lend(p, other, left)
	}
	if w.Urgent && len(parts) == 0 {
		p.remember(from, c.now)
	}
	loan := c.loan(from, other, parts)
	loan.Service, loan.Region = p.service, p.region
	loan.Free = uint32(max(0, p.free(c.now)-p.spare(c.now)))
	return loan
}

// loan numbers a loan and adds what is held of the borrower.
func (c *Core) loan(to string, other *peer, parts []*ServerSlots) *Loan {
	if len(parts) > 0 {
		other.lentSequence++
		other.lentAt = c.now
	}
	return &Loan{Incarnation: c.run, Sequence: other.lentSequence, Parts: parts, LenderBorrowed: c.heldOf(to, other)}
}

// want is a wish that came when nothing was free.
type want struct {
	entry string
	at    time.Time
}

// remember notes a wish in vain, one for each entry.
func (p *pool) remember(entry string, now time.Time) {
	for i := range p.wanted {
		if p.wanted[i].entry == entry {
			p.wanted[i].at = now
			return
		}
	}
	p.wanted = append(p.wanted, want{entry, now})
}

// offer gives a slot that has come free to the entry that has wanted one for
// longest, if its wish is not too old.
func (c *Core) offer(p *pool) {
	for len(p.wanted) > 0 && len(p.waiting) == 0 && p.free(c.now) > 0 {
		w := p.wanted[0]
		p.wanted = p.wanted[1:]
		other, ok := c.peers[w.entry]
		if !ok || c.now.Sub(w.at) > wantTime {
			continue
		}
		restored := c.restore(p, other, 1)
		parts := c.lend(p, other, 1-restored)
		if restored+len(parts) == 0 {
			return
		}
		loan := c.loan(w.entry, other, parts)
		loan.Service, loan.Region = p.service, p.region
		c.out = append(c.out, Offer{To: w.entry, Loan: loan})
	}
}

// restore gives up to n slots held of a peer back and returns how many.
func (c *Core) restore(p *pool, other *peer, n int) int {
	done := 0
	for _, s := range p.seats {
		back := min(other.held[s], n-done, s.free(c.now))
		if back <= 0 {
			continue
		}
		s.borrowed -= back
		other.held[s] -= back
		done += back
	}
	p.recount()
	return done
}

func (c *Core) lend(p *pool, other *peer, n int) []*ServerSlots {
	var parts []*ServerSlots
	for _, s := range p.seats {
		if n <= 0 {
			break
		}
		if s.Leaving || s.resting(c.now) || !s.since.IsZero() && c.now.Sub(s.since) < warmTime {
			continue
		}
		count := min(n, s.free(c.now), len(s.units)-s.lent)
		if count <= 0 {
			continue
		}
		n -= count
		s.lent += count
		other.lent[s] += count
		parts = append(parts, &ServerSlots{Service: p.service, Region: p.region, Server: s.Name, Count: uint32(count)})
	}
	p.recount()
	return parts
}

// HandleLoan takes the answer to a wish, or an offer.
func (c *Core) HandleLoan(now time.Time, from string, l *Loan) {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.notice(other, l.Incarnation)
	before := other.lentTotal()
	if l.Sequence > other.heldSequence {
		other.heldSequence = l.Sequence
		c.receive(other, l.Parts)
	}
	c.settle(other, l.LenderBorrowed)
	p := c.pools[place{l.Service, l.Region}]
	if p == nil {
		return
	}
	other.free[p.place] = int(l.Free)
	if len(l.Parts) > 0 || other.lentTotal() < before {
		p.pause = 0
	} else {
		p.pause = min(max(2*p.pause, borrowInterval), maxBorrowInterval)
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

func (c *Core) receive(other *peer, parts []*ServerSlots) {
	for _, part := range parts {
		p, s := c.pools[place{part.Service, part.Region}], c.servers[part.Server]
		if p == nil || s == nil || s.Leaving {
			continue
		}
		seat := p.seat(p.seats, s)
		if !p.has(seat) {
			p.seats = append(p.seats, seat)
		}
		seat.borrowed += int(part.Count)
		other.held[seat] += int(part.Count)
		p.recount()
	}
}

// giveBack returns borrowed slots that have stayed unused.
func (c *Core) giveBack(p *pool) {
	if p.free(c.now) <= 2*p.spare(c.now) {
		p.lastShort = c.now
		return
	}
	if c.now.Sub(p.lastShort) < returnAfter {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		if c.restore(p, c.peers[name], 1) > 0 {
			return
		}
	}
}
