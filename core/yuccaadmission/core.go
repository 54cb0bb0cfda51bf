package yuccaadmission

import (
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaplan"
)

// Core admits requests and chooses their servers. It is not safe for concurrent
// use. Create one with NewCore.
type Core struct {
	// self is the name of this entry.
	self string
	// incarnation distinguishes this start of the entry from earlier ones.
	incarnation uint64
	// updates counts the calls of Update. Servers of the first call are used
	// without slow start.
	updates int
	// plan is the plan in force.
	plan yuccaplan.Plan
	// servers holds the known backend servers by name.
	servers map[string]*server
	// entriesByRegion holds the names of the entries of each region.
	entriesByRegion map[string][]string
	// pools holds the pools by service and region.
	pools map[serviceRegion]*pool
	// sortedPools holds the same pools ordered by service and region.
	sortedPools []*pool
	// peers holds the state of the other entries by name.
	peers map[string]*peer
	// lastID is the ID of the request that was queued last.
	lastID uint64
	// commands collects what the caller must carry out.
	commands []Command
	// now is the latest time seen; it never goes back.
	now time.Time
	// planExpired is set when the lifetime of the plan has ended.
	planExpired bool
	// spillCredit is the number of requests that each route may send to another
	// region now.
	spillCredit map[serviceRegion]*float64
	// lastMaintenance is the time when maintain last ran.
	lastMaintenance time.Time
}

// NewCore returns the core of the entry named self. The run number is the
// incarnation of the entry and must differ at each start.
func NewCore(self string, run uint64) *Core {
	return &Core{self: self, incarnation: run, servers: map[string]*server{}, pools: map[serviceRegion]*pool{}, peers: map[string]*peer{}, spillCredit: map[serviceRegion]*float64{}}
}

// Commands returns the commands issued since the last call. The slice is valid
// until the next call of any method.
func (c *Core) Commands() []Command {
	out := c.commands
	c.commands = c.commands[:0]
	return out
}

// Admit admits, queues or refuses a request. The kind of a refusal is
// UnknownService when the plan has no route for the request, NoServer when no
// server can handle it and Shed when the budget of this entry is used up.
func (c *Core) Admit(req Request) Decision {
	c.now = later(c.now, req.Now)
	c.maintain()
	route, ok := c.plan.Route(req.Service, req.From)
	if !ok {
		return Decision{Kind: yuccaerror.UnknownService}
	}
	c.addSpillCredit(route)
	preferred := c.drawRegion(route, req.Random)
	if preferred == nil || preferred.down() && !preferred.tryProbe(c.now) {
		return c.spillOrRefuse(route, preferred, req)
	}
	if s := c.chooseServer(preferred, req, false, 0); s != nil {
		return c.startRequest(s, req)
	}
	wait := preferred.expectedWait(1)
	if wait > crossRegionLatency || wait > preferred.waitLimit(c.now) {
		if s := c.spillOver(route, preferred, req); s != nil {
			return c.startRequest(s, req)
		}
	}
	if wait > preferred.waitLimit(c.now) || !preferred.hasCandidate(req) {
		return Decision{Kind: c.refusalKind(route)}
	}
	return c.enqueue(preferred, req)
}

// spillOrRefuse handles a request without a usable region: its region is down,
// or the plan assigns it none.
func (c *Core) spillOrRefuse(route yuccaplan.Route, preferred *pool, req Request) Decision {
	if s := c.spillOver(route, preferred, req); s != nil {
		return c.startRequest(s, req)
	}
	return Decision{Kind: c.refusalKind(route)}
}

// drawRegion picks a region at random in proportion to the shares of the route.
// It returns nil for the part of the requests that no share covers and for a
// region in which this entry has no pool.
func (c *Core) drawRegion(route yuccaplan.Route, random uint64) *pool {
	fraction := randomFraction(random)
	var last *pool
	for _, share := range route.Shares {
		last = c.pools[serviceRegion{route.Service, share.Region}]
		if fraction < share.Fraction {
			return last
		}
		fraction -= share.Fraction
	}
	if fraction < shareError {
		return last
	}
	return nil
}

// shareError is the tolerance for rounding errors in shares that add up to one.
const shareError = 1e-9

// randomFraction maps random bits to a number in [0, 1). It mixes the bits
// first because the choice of a server uses the same ones.
func randomFraction(random uint64) float64 {
	random *= 0x9e3779b97f4a7c15
	return float64(random>>11) / (1 << 53)
}

// chooseServer returns the slots to use in the pool. It returns nil when the
// in-flight limit or the link rate is reached, when no server is eligible and
// when waiting in the queue is expected to be faster. If withReserve is set, the
// reserve of the pool counts towards the in-flight limit. The extra duration is
// added to the cost of each server.
func (c *Core) chooseServer(p *pool, req Request, withReserve bool, extra time.Duration) *allocation {
	if p.inFlight >= p.inFlightLimit(withReserve) || !p.link.admits(c.now) {
		return nil
	}
	s, cost := p.cheapest(c.now, req.Random, req.AvoidServers)
	if s == nil {
		return nil
	}
	if cost+extra > p.medianLatency+max(p.expectedWait(1), extra, minWaitLimit) && p.expectedWait(1) <= p.waitLimit(c.now) {
		return nil
	}
	return s
}

// refusalKind returns Shed when a region of the route has active servers, else
// NoServer.
func (c *Core) refusalKind(route yuccaplan.Route) yuccaerror.Kind {
	for _, share := range route.Shares {
		if p := c.pools[serviceRegion{route.Service, share.Region}]; p != nil && p.activeServers > 0 {
			return yuccaerror.Shed
		}
	}
	return yuccaerror.NoServer
}

// startRequest assigns a slot to the request and returns the ticket for it.
func (c *Core) startRequest(s *allocation, req Request) Decision {
	p := s.pool
	s.inFlight++
	p.inFlight++
	p.lastUsed = c.now
	c.borrow(p)
	return Decision{Ticket: Ticket{Service: p.service, Region: p.region, Server: s.Name, Addr: s.Addr, Started: req.Now, allocation: s, reservedBytes: p.link.reserve()}}
}

// enqueue adds the request to the queue of the pool until its wait limit or its
// deadline.
func (c *Core) enqueue(p *pool, req Request) Decision {
	c.lastID++
	if len(p.queue) == 0 {
		p.queuedSince = c.now
	}
	expires := c.now.Add(p.waitLimit(c.now) + minWaitLimit)
	if !req.Deadline.IsZero() && req.Deadline.Before(expires) {
		expires = req.Deadline
	}
	p.queue = append(p.queue, queuedRequest{id: c.lastID, request: req, expires: expires})
	c.borrow(p)
	return Decision{Waiting: true, ID: c.lastID, Until: expires}
}

// Done releases the slot of a ticket and records the result of the attempt. It
// ignores the zero Ticket.
func (c *Core) Done(t Ticket, r Result) {
	c.now = later(c.now, r.Now)
	s := t.allocation
	if s == nil {
		return
	}
	s.inFlight--
	s.pool.inFlight--
	s.pool.link.settle(t.reservedBytes, r.Bytes)
	s.recordResult(t.Started, r)
	s.pool.recordResult(r)
	if s.failures >= failuresToEject && !s.suspended(c.now) && s.pool.canEject(c.now) {
		s.eject(c.now, uint64(c.now.UnixNano())*0x9e3779b97f4a7c15>>8)
	}
	c.dispatch(s.pool)
	c.offer(s.pool)
}

// dispatch assigns free slots to queued requests, the oldest first.
func (c *Core) dispatch(p *pool) {
	for len(p.queue) > 0 {
		w := p.queue[0]
		s := c.chooseServer(p, w.request, false, 0)
		if s == nil {
			return
		}
		p.queue = p.queue[1:]
		w.request.Now = c.now
		c.commands = append(c.commands, Grant{ID: w.id, Ticket: c.startRequest(s, w.request).Ticket})
	}
}

const (
	// TickInterval is the interval at which Tick must be called.
	TickInterval = 10 * time.Millisecond
	// maintenanceInterval is the interval at which maintain does its work.
	maintenanceInterval = 100 * time.Millisecond
)

// Tick advances the time: it ends waits that have expired, lets latency
// averages decay and returns idle loans.
func (c *Core) Tick(now time.Time) {
	c.now = later(c.now, now)
	for _, p := range c.sortedPools {
		c.expireQueue(p)
		c.dispatch(p)
		if len(p.queue) > 0 {
			c.borrow(p)
		}
	}
	c.maintain()
}

// maintain runs the periodic work once every maintenanceInterval: it reduces the
// budgets of an expired plan, refreshes the latencies and returns idle loans.
func (c *Core) maintain() {
	passed := c.now.Sub(c.lastMaintenance)
	if passed < maintenanceInterval {
		return
	}
	c.lastMaintenance = c.now
	c.expirePlan()
	for _, p := range c.sortedPools {
		p.refresh(c.now, min(passed, time.Second))
		c.returnIdle(p)
	}
}

// expireQueue ends the wait of requests that have waited too long. Each gets a
// slot in another region or any free slot of its own region; if there is none,
// it is refused.
func (c *Core) expireQueue(p *pool) {
	kept := p.queue[:0]
	for _, w := range p.queue {
		if c.now.Before(w.expires) {
			kept = append(kept, w)
			continue
		}
		route, _ := c.plan.Route(w.request.Service, w.request.From)
		s := c.spillOver(route, p, w.request)
		if s == nil && p.inFlight < p.inFlightLimit(false) {
			s, _ = p.cheapest(c.now, w.request.Random, w.request.AvoidServers)
		}
		if s != nil {
			w.request.Now = c.now
			c.commands = append(c.commands, Grant{ID: w.id, Ticket: c.startRequest(s, w.request).Ticket})
			continue
		}
		c.commands = append(c.commands, Refuse{ID: w.id, Kind: c.refusalKind(route)})
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}
