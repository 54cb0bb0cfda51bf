package yuccabalancer

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
)

const (
	// minReturn and maxReturn bound what a refused caller is told to wait.
	minReturn = 50 * time.Millisecond
	maxReturn = 2 * time.Second
	// shareStep is how much of a region's requests may change region in a
	// second.
	shareStep = 0.04
)

// Core decides where requests run. Make one with NewCore.
type Core struct {
	place Location
	world Topology
	seats map[string]*seat
	pools map[string]*pool
}

// NewCore returns a core that knows no server.
func NewCore(p Location) *Core {
	return &Core{place: p, seats: map[string]*seat{}, pools: map[string]*pool{}}
}

// Choice is what Core makes of an Ask.
type Choice struct {
	seat *seat
	// Reason says why the server was chosen.
	Reason Reason
	// Kind is why the request was refused, None otherwise.
	Kind yuccaerror.Kind
	// After is when a refused request may be served.
	After time.Duration
	// Warm says that the server has lately had the object from this entry.
	Warm bool
	// Queued says that the request was expected to wait for a slot.
	Queued bool
	// goal is the time in which the answer is of full use, zero when not known.
	goal time.Duration
}

// Server returns the name of the chosen server.
func (c Choice) Server() string { return c.seat.Name }

// Reason says why a server was chosen.
type Reason string

// The reasons.
const (
	// ByObject is the first server of the object's order.
	ByObject Reason = "object"
	// ByLoad is a later server of the order, since earlier ones are full.
	ByLoad Reason = "room"
	// ByOverflow is a server of another region than the object's.
	ByOverflow Reason = "overflow"
	// Refused means that no server was chosen.
	Refused Reason = "refused"
)

// Update takes what is known of the world. What is in flight stays counted.
func (c *Core) Update(w Topology) {
	c.world = w
	seats := map[string]*seat{}
	pools := map[string]*pool{}
	for _, s := range w.Servers {
		seat := c.seats[s.key()]
		if seat == nil || seat.Addr != s.Addr {
			seat = newSeat(s)
		}
		seat.Server = s
		seat.cold = seat.cold.with(c.coldRate(s))
		seats[s.key()] = seat
		p := pools[s.Service]
		if p == nil {
			p = c.keepPool(s.Service)
			pools[s.Service] = p
		}
		p.regions[s.Region] = append(p.regions[s.Region], seat)
		if c.open(seat) {
			p.slots[s.Region] += float64(s.Slots)
		}
	}
	c.seats, c.pools = seats, pools
	for _, p := range pools {
		if !p.used {
			p.shares = initial(c.place.Region, p.slots)
		}
	}
}

func (s Server) key() string { return s.Service + "/" + s.Name }

// keepPool returns the pool of a service without its servers.
func (c *Core) keepPool(service string) *pool {
	p := newPool()
	if old := c.pools[service]; old != nil {
		*p = *old
		p.regions, p.slots = map[string][]*seat{}, map[string]float64{}
	}
	return p
}

// open reports whether the server takes new requests at all.
func (c *Core) open(s *seat) bool { return !s.Draining && !c.world.Evacuated[s.Domain] }

// Rebalance moves the shares of every service toward what the demand asks for.
func (c *Core) Rebalance(demand map[string]Demand, elapsed time.Duration) {
	for service, p := range c.pools {
		goal := Spread(c.place.Region, demand[service], p.slots)
		if len(goal) > 0 && p.used {
			p.shares = p.shares.Toward(goal, shareStep*elapsed.Seconds())
		}
	}
}

// MeanInFlight returns the mean number of requests in flight of each service since the
// last call.
func (c *Core) MeanInFlight(now time.Time) map[string]float64 {
	all := map[string]float64{}
	for name, p := range c.pools {
		all[name] = p.cut(now)
	}
	return all
}

// Ask chooses a server for a request and counts it there.
func (c *Core) Ask(ask yuccaadmission.Request) Choice {
	p := c.pools[ask.Service]
	if p == nil {
		return Choice{Reason: Refused, Kind: yuccaerror.NoServer, After: maxReturn}
	}
	choice := c.choose(p, ask)
	p.chosen[choice.Reason]++
	if choice.seat != nil {
		choice.Warm = choice.seat.recent.has(ask.Now, ask.Object)
		choice.seat.take(ask.Now, ask.Object)
		p.count(ask.Now, 1)
		p.used = true
	}
	return choice
}

// choose takes the best server of the object's region, one of another region
// when it would be late there and may leave, and none when it would be too late
// everywhere.
func (c *Core) choose(p *pool, ask yuccaadmission.Request) Choice {
	key := ask.Object
	if key == 0 {
		key = ask.Random
	}
	usable := func(s *seat) bool { return c.usable(s, ask) }
	regions := p.order(ask, key, usable)
	if len(regions) == 0 {
		return Choice{Reason: Refused, Kind: yuccaerror.NoServer, After: maxReturn}
	}
	p.overflow = min(overflowBurst, p.overflow+overflowShare)
	best := c.best(p, regions[0], ask, key)
	reason := ByObject
	if !best.first {
		reason = ByLoad
	}
	if p.overflow >= 1 && ask.LatencyBudget > 0 && best.took > ask.LatencyBudget {
		for _, region := range regions[1:] {
			if o := c.best(p, region, ask, key); o.cost+regionWay < best.cost {
				best, reason = o, ByOverflow
			}
		}
	}
	if best.tooLate(ask) {
		return Choice{Reason: Refused, Kind: yuccaerror.Shed, After: min(maxReturn, max(minReturn, best.wait))}
	}
	if reason == ByOverflow {
		p.overflow--
	}
	return Choice{seat: best.seat, Reason: reason, Queued: best.wait > 0, goal: ask.LatencyBudget}
}

// usable reports whether the server may get the request at all.
func (c *Core) usable(s *seat, ask yuccaadmission.Request) bool {
	if !c.open(s) || slices.Contains(ask.Avoid, s.Name) || ask.Now.Before(s.blocked) {
		return false
	}
	return !s.isCold(ask.Now) || s.cold.ready(ask.Now)
}

// Done counts what came of a request.
func (c *Core) Done(choice Choice, r yuccaadmission.Result) {
	s := choice.seat
	s.done(r)
	if r.Succeeded && choice.Warm && !choice.Queued {
		s.pace = blend(s.pace, r.Took, paceWeight)
	}
	if p := c.pools[s.Service]; p != nil {
		p.count(r.Now, -1)
		p.learn(r, choice)
		if cause := c.late(choice, r); cause != "" {
			p.late[cause]++
		}
	}
}
