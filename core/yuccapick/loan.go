package yuccapick

import (
	"time"

	"yuccawell.example/core/yuccaview"
)

const (
	// borrowInterval bounds how often a pool asks others for slots.
	borrowInterval = 5 * time.Millisecond
	// maxBorrow is the most slots that one wish names.
	maxBorrow = 4
	// keepFree is how many free slots an entry doesn't lend.
	keepFree = 1
	// returnAfter is how long slots must stay unused before they go back.
	returnAfter = 300 * time.Millisecond
	// LoanTimeout is how long a borrower waits for a loan; a later one is not
	// taken.
	LoanTimeout = 500 * time.Millisecond
	// settleTime is when a loan that the borrower doesn't know of is void.
	settleTime = 4 * LoanTimeout
)

// peer is what is known of another entry.
type peer struct {
	run  uint64
	free map[place]int
	// heldSequence is that of the last loan received; the borrowed slots are
	// in held.
	heldSequence uint64
	held         map[*seat]int
	// lentSequence is that of the last loan given, at lentAt.
	lentSequence uint64
	lentAt       time.Time
	lent         map[*seat]int
}

func (c *Core) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{free: map[place]int{}, held: map[*seat]int{}, lent: map[*seat]int{}}
		c.peers[name] = p
	}
	return p
}

// borrow asks the entry with the most free slots for some.
func (c *Core) borrow(p *pool) {
	if c.now.Sub(p.asked) < borrowInterval {
		return
	}
	best, most := "", 0
	for name, other := range c.peers {
		n := other.free[p.place]
		if n > most || n == most && n > 0 && name < best {
			best, most = name, n
		}
	}
	if most == 0 {
		return
	}
	p.asked = c.now
	count := min(len(p.waiting)+1, maxBorrow, most)
	c.peers[best].free[p.place] -= count
	c.out = append(c.out, Borrow{To: best, Service: p.service, Region: p.region, Count: count})
}

// Wish returns the message that carries a Borrow.
func (c *Core) Wish(b Borrow) *Wish {
	return &Wish{Run: c.run, Service: b.Service, Region: b.Region, Count: uint32(b.Count)}
}

// Lend answers another entry's wish. What is held of that entry goes back to it
// first.
func (c *Core) Lend(now time.Time, from string, w *Wish) *Loan {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.notice(other, w.Run)
	p := c.pools[place{w.Service, w.Region}]
	loan := &Loan{Run: c.run}
	if p != nil && len(p.waiting) == 0 {
		left := min(int(w.Count), p.free(c.now)-keepFree)
		left -= c.restore(p, other, left)
		loan.Parts = c.lend(p, other, left)
	}
	if len(loan.Parts) > 0 {
		other.lentSequence++
		other.lentAt = c.now
	}
	loan.Sequence = other.lentSequence
	loan.Held = c.heldOf(from, other)
	return loan
}

// restore gives up to n slots held of a peer back and returns how many.
func (c *Core) restore(p *pool, other *peer, n int) int {
	done := 0
	for s, held := range other.held {
		back := min(held, n-done, s.free(c.now))
		if s.pool != p || back <= 0 {
			continue
		}
		s.borrowed -= back
		other.held[s] -= back
		done += back
	}
	p.recount()
	return done
}

func (c *Core) lend(p *pool, other *peer, n int) []*Part {
	var parts []*Part
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
		parts = append(parts, &Part{Service: p.service, Region: p.region, Server: s.Name, Count: uint32(count)})
	}
	p.recount()
	return parts
}

// Borrowed takes the answer to a wish.
func (c *Core) Borrowed(now time.Time, from string, l *Loan) {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.notice(other, l.Run)
	if l.Sequence > other.heldSequence {
		other.heldSequence = l.Sequence
		c.receive(other, l.Parts)
	}
	if len(l.Parts) == 0 {
		clear(other.free)
	}
	c.settle(other, l.Held)
	for _, p := range c.order {
		c.dispatch(p)
	}
}

func (c *Core) receive(other *peer, parts []*Part) {
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

// Heard takes what another entry published.
func (c *Core) Heard(now time.Time, from string, b *Busy) {
	c.now = later(c.now, now)
	other := c.peer(from)
	c.notice(other, b.Run)
	clear(other.free)
	for _, s := range b.Spares {
		other.free[place{s.Service, s.Region}] = max(0, int(s.Free)-keepFree)
	}
	mine := &Held{Lender: c.self}
	for _, h := range b.Held {
		if h.Lender == c.self {
			mine = h
		}
	}
	c.settle(other, mine)
}

// settle takes the borrower's word on what it holds, once it has had every loan
// or can have no more of them.
func (c *Core) settle(other *peer, h *Held) {
	if h == nil || h.Sequence < other.lentSequence && c.now.Sub(other.lentAt) < settleTime {
		return
	}
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

func held(h *Held, s *seat) int {
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
	*other = peer{run: run, free: map[place]int{}, held: map[*seat]int{}, lent: map[*seat]int{}}
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
func (c *Core) dropPeers(view yuccaview.View) {
	for name, other := range c.peers {
		if _, ok := view.Entry(name); !ok {
			c.forgive(other)
			delete(c.peers, name)
		}
	}
}

// giveBack returns borrowed slots that have stayed unused.
func (c *Core) giveBack(p *pool) {
	if p.free(c.now) <= keepFree {
		p.lastShort = c.now
		return
	}
	if c.now.Sub(p.lastShort) < returnAfter {
		return
	}
	for _, other := range c.peers {
		if c.restore(p, other, 1) > 0 {
			return
		}
	}
}

// Busy returns what to publish to the other entries.
func (c *Core) Busy() *Busy {
	b := &Busy{Run: c.run}
	for _, p := range c.order {
		if n := p.free(c.now); n > 0 || len(p.waiting) > 0 {
			b.Spares = append(b.Spares, &Spare{Service: p.service, Region: p.region, Free: uint32(max(0, n)), Waiting: uint32(len(p.waiting))})
		}
	}
	for name, other := range c.peers {
		if other.heldSequence > 0 {
			b.Held = append(b.Held, c.heldOf(name, other))
		}
	}
	return b
}

func (c *Core) heldOf(name string, other *peer) *Held {
	h := &Held{Lender: name, Sequence: other.heldSequence}
	for s, n := range other.held {
		if n > 0 {
			h.Parts = append(h.Parts, &Part{Service: s.pool.service, Region: s.pool.region, Server: s.Name, Count: uint32(n)})
		}
	}
	return h
}
