package yuccaadmission

import (
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaplan"
)

// Core decides which requests are admitted and where they go. It is not safe
// for several goroutines. Make one with NewCore.
type Core struct {
	self string
	run  uint64
	// step counts updates; servers of the first are taken to be warm.
	step    int
	plan    yuccaplan.Plan
	servers map[string]*server
	// entries holds the names of entries by region.
	entries map[string][]string
	pools   map[place]*pool
	order   []*pool
	peers   map[string]*peer
	nextID  uint64
	out     []Command
	now     time.Time
	// lapsed is set when the plan has lapsed.
	lapsed bool
	// spills holds what each route may still spill, in requests.
	spills map[place]*float64
	tidied time.Time
}

// NewCore returns the core of the named entry. The run tells this start of the
// entry from earlier ones.
func NewCore(self string, run uint64) *Core {
	return &Core{self: self, run: run, servers: map[string]*server{}, pools: map[place]*pool{}, peers: map[string]*peer{}, spills: map[place]*float64{}}
}

// Commands returns what has to be done since the last call. The slice is valid
// until the next call of any method.
func (c *Core) Commands() []Command {
	out := c.out
	c.out = c.out[:0]
	return out
}

// Admit admits a request, lets it wait or refuses it. The kind of a refusal is
// Unknown when the plan has no route for it, Empty when no server can take it
// and Shed when what the entry may use is used up.
func (c *Core) Admit(ask Request) Decision {
	c.now = later(c.now, ask.Now)
	c.tidy()
	route, ok := c.plan.Route(ask.Service, ask.From)
	if !ok {
		return Decision{Kind: yuccaerror.UnknownService}
	}
	c.earn(route)
	first := c.region(route, ask.Random)
	if first == nil || first.lost() && !first.tryLost(c.now) {
		return c.elsewhere(route, first, ask)
	}
	if s := c.choose(first, ask, false, 0); s != nil {
		return c.take(s, ask)
	}
	wait := first.wait(1)
	if wait > farCost || wait > first.patience(c.now) {
		if s := c.spill(route, first, ask); s != nil {
			return c.take(s, ask)
		}
	}
	if wait > first.patience(c.now) || !first.reachable(ask) {
		return Decision{Kind: c.refusal(route)}
	}
	return c.enqueue(first, ask)
}

// elsewhere answers a request whose region is lost or that the plan has held.
func (c *Core) elsewhere(route yuccaplan.Route, first *pool, ask Request) Decision {
	if s := c.spill(route, first, ask); s != nil {
		return c.take(s, ask)
	}
	return Decision{Kind: c.refusal(route)}
}

// region draws the region by the route's shares, nil for the remainder and for
// a region that the plan gives this entry nothing of.
func (c *Core) region(route yuccaplan.Route, dice uint64) *pool {
	at := unit(dice)
	var last *pool
	for _, share := range route.Shares {
		last = c.pools[place{route.Service, share.Region}]
		if at < share.Part {
			return last
		}
		at -= share.Part
	}
	if at < shareError {
		return last
	}
	return nil
}

// shareError covers the rounding of shares that add up to one.
const shareError = 1e-9

// unit turns random bits into a number from 0 up to 1. The bits are mixed, as
// the choice of a server uses them too.
func unit(dice uint64) float64 {
	dice *= 0x9e3779b97f4a7c15
	return float64(dice>>11) / (1 << 53)
}

// choose returns the seat to use, nil when there is none or waiting is better.
func (c *Core) choose(p *pool, ask Request, spare bool, extra time.Duration) *seat {
	if p.busy >= p.limit(spare) || !p.link.admits(c.now) {
		return nil
	}
	s, cost := p.best(c.now, ask.Random, ask.Avoid)
	if s == nil {
		return nil
	}
	if cost+extra > p.typical+max(p.wait(1), extra, minWait) && p.wait(1) <= p.patience(c.now) {
		return nil
	}
	return s
}

func (c *Core) refusal(route yuccaplan.Route) yuccaerror.Kind {
	for _, share := range route.Shares {
		if p := c.pools[place{route.Service, share.Region}]; p != nil && p.alive > 0 {
			return yuccaerror.Shed
		}
	}
	return yuccaerror.NoServer
}

func (c *Core) take(s *seat, ask Request) Decision {
	p := s.pool
	s.busy++
	p.busy++
	p.used = c.now
	c.borrow(p)
	return Decision{Ticket: Ticket{Service: p.service, Region: p.region, Server: s.Name, Addr: s.Addr, Started: ask.Now, seat: s, booked: p.link.book()}}
}

func (c *Core) enqueue(p *pool, ask Request) Decision {
	c.nextID++
	if len(p.waiting) == 0 {
		p.emptied = c.now
	}
	expires := c.now.Add(p.patience(c.now) + minWait)
	if !ask.Deadline.IsZero() && ask.Deadline.Before(expires) {
		expires = ask.Deadline
	}
	p.waiting = append(p.waiting, waiter{id: c.nextID, ask: ask, expires: expires})
	c.borrow(p)
	return Decision{Waiting: true, ID: c.nextID, Until: expires}
}

// Done takes a ticket back.
func (c *Core) Done(t Ticket, r Result) {
	c.now = later(c.now, r.Now)
	s := t.seat
	if s == nil {
		return
	}
	s.busy--
	s.pool.busy--
	s.pool.link.settle(t.booked, r.Bytes)
	s.learn(t.Started, r)
	s.pool.learn(r)
	if s.failures >= failuresToEject && !s.resting(c.now) && s.pool.mayEject(c.now) {
		s.eject(c.now, uint64(c.now.UnixNano())*0x9e3779b97f4a7c15>>8)
	}
	c.dispatch(s.pool)
	c.offer(s.pool)
}

// dispatch gives free slots to waiting requests, the oldest first.
func (c *Core) dispatch(p *pool) {
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		s := c.choose(p, w.ask, false, 0)
		if s == nil {
			return
		}
		p.waiting = p.waiting[1:]
		w.ask.Now = c.now
		c.out = append(c.out, Grant{ID: w.id, Ticket: c.take(s, w.ask).Ticket})
	}
}

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 10 * time.Millisecond
	tidyInterval = 100 * time.Millisecond
)

// Tick moves time on: waits end, averages age and idle loans go back.
func (c *Core) Tick(now time.Time) {
	c.now = later(c.now, now)
	for _, p := range c.order {
		c.expire(p)
		c.dispatch(p)
		if len(p.waiting) > 0 {
			c.borrow(p)
		}
	}
	c.tidy()
}

// tidy does what is due every tidyInterval.
func (c *Core) tidy() {
	passed := c.now.Sub(c.tidied)
	if passed < tidyInterval {
		return
	}
	c.tidied = c.now
	c.lapse()
	for _, p := range c.order {
		p.refresh(c.now, min(passed, time.Second))
		c.giveBack(p)
	}
}

// expire refuses requests that have waited too long, after a try elsewhere.
func (c *Core) expire(p *pool) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if c.now.Before(w.expires) {
			kept = append(kept, w)
			continue
		}
		route, _ := c.plan.Route(w.ask.Service, w.ask.From)
		s := c.spill(route, p, w.ask)
		if s == nil && p.busy < p.limit(false) {
			s, _ = p.best(c.now, w.ask.Random, w.ask.Avoid)
		}
		if s != nil {
			w.ask.Now = c.now
			c.out = append(c.out, Grant{ID: w.id, Ticket: c.take(s, w.ask).Ticket})
			continue
		}
		c.out = append(c.out, Refuse{ID: w.id, Kind: c.refusal(route)})
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}
