package yuccabalancer

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
)

const (
	// patience is the part of the time left that a request may spend waiting
	// for a slot and being worked on.
	patience = 0.7
	// coldFactor and doubtFactor are how many times longer a request is taken to
	// last at a cold server and at one that fails often.
	coldFactor, doubtFactor = 2, 4
	// domainWay and regionWay are the ways there and back to another failure
	// domain and to another region, bulkWay what a long answer's is worth beyond
	// that.
	domainWay = 3 * time.Millisecond
	regionWay = 40 * time.Millisecond
	bulkWay   = 30 * time.Millisecond
	// crowdedFrom is the part of a region's slots in use from which the time that
	// a cold object takes longer counts for more, crowdedPrice how much more
	// when all are: others wait for the slot.
	crowdedFrom  = 0.2
	crowdedPrice = 4
)

// offer is a server and what a request is expected to take there.
type offer struct {
	seat *seat
	// took is the expected time, wait the part of it before a slot is free.
	took, wait time.Duration
	// extra is how much longer the slot is held than with a warm object.
	extra time.Duration
	// cost is what is compared: the time and what it costs others.
	cost time.Duration
	// busy is the server's load, up to its slots.
	busy float64
	// first is set for the first server of the object's order.
	first bool
}

// tooLate reports whether a request would wait for a slot longer than its goal, so
// that all that follow would be late too, or take too much of the time that it
// has. One that finds a slot free is always tried.
func (o offer) tooLate(ask yuccaadmission.Request) bool {
	if ask.Deadline.IsZero() || o.wait == 0 {
		return false
	}
	if ask.LatencyBudget > 0 && o.wait > ask.LatencyBudget {
		return true
	}
	return float64(o.took) > patience*float64(ask.Deadline.Sub(ask.Now))
}

// best returns the server of a region with the least cost. The first of the
// object's order is taken to have the object.
func (c *Core) best(p *pool, region string, ask yuccaadmission.Request, key uint64) offer {
	home := c.home(p, region, ask, key)
	p.offers = p.offers[:0]
	for _, s := range p.regions[region] {
		if c.usable(s, ask) {
			p.offers = append(p.offers, c.price(p, s, ask, s == home))
		}
	}
	price := crowding(p.offers)
	var best offer
	for _, o := range p.offers {
		o.cost = o.took + time.Duration(price*float64(o.extra))
		if best.seat == nil || o.before(best, key) {
			best = o
		}
	}
	return best
}

// before reports whether an offer is better than another for an object.
func (o offer) before(other offer, key uint64) bool {
	if o.cost != other.cost {
		return o.cost < other.cost
	}
	return mix(key, o.seat.hash) > mix(key, other.seat.hash)
}

// crowding returns the price of a slot's time by how many slots are in use.
func crowding(offers []offer) float64 {
	busy, slots := 0.0, 0.0
	for _, o := range offers {
		busy += o.busy
		slots += float64(o.seat.Slots)
	}
	if slots == 0 {
		return 0
	}
	return crowdedPrice * max(0, busy/slots-crowdedFrom) / (1 - crowdedFrom)
}

// home returns the first server of the object's order in a region. Where answers
// are long, the servers of the entry's own failure domain come first.
func (c *Core) home(p *pool, region string, ask yuccaadmission.Request, key uint64) *seat {
	var home *seat
	near := false
	for _, s := range p.regions[region] {
		if !c.usable(s, ask) || s.isCold(ask.Now) || s.doubtful(ask.Now) {
			continue
		}
		n := p.bulk() && s.Domain == c.place.Domain
		if home == nil || n && !near || n == near && mix(key, s.hash) > mix(key, home.hash) {
			home, near = s, n
		}
	}
	return home
}

// price estimates what a request takes at a server.
func (c *Core) price(p *pool, s *seat, ask yuccaadmission.Request, home bool) offer {
	load := s.load(ask.Now)
	o := offer{seat: s, wait: s.wait(load, p.work.mean()), busy: min(load, float64(s.Slots)), first: home}
	warm := float64(p.work.ofWarm()) * s.speed(p.work.warm)
	work := warm
	if ask.Object != 0 && !home && !s.recent.has(ask.Now, ask.Object) {
		work *= p.work.ratio()
	}
	if s.isCold(ask.Now) {
		work *= coldFactor
	}
	if s.doubtful(ask.Now) {
		work *= doubtFactor
	}
	o.took, o.extra = o.wait+time.Duration(work), time.Duration(work-warm)
	if s.Domain != c.place.Domain {
		o.took += domainWay
		if p.bulk() {
			o.took += bulkWay
		}
	}
	return o
}
