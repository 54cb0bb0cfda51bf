package yuccabalancer

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
)

const (
	// maxDeadlineShare is the fraction of the time until the deadline that
	// the expected latency of a queued request may reach.
	maxDeadlineShare = 0.7
	// slowStartFactor is how many times longer a request is assumed to run
	// on a server in slow start.
	slowStartFactor = 2
	// failingFactor is how many times longer a request is assumed to run on
	// a server that fails often.
	failingFactor = 4
	// crossDomainDelay is the assumed round-trip time to another failure
	// domain.
	crossDomainDelay = 3 * time.Millisecond
	// crossRegionDelay is the assumed round-trip time to another region.
	crossRegionDelay = 40 * time.Millisecond
	// longResponseDelay is the assumed transfer time of a long response from
	// another failure domain, in addition to the round trip.
	longResponseDelay = 30 * time.Millisecond
	// crowdingThreshold is the part of a region's slots in use above which
	// the extra slot time of a cold object counts as a cost, since other
	// requests wait for the slot.
	crowdingThreshold = 0.2
	// maxCrowdingWeight is the weight of the extra slot time when all slots
	// are in use.
	maxCrowdingWeight = 4
)

// candidate is a server with the estimated latency and cost of a request
// there.
type candidate struct {
	// server is the candidate's server; nil means no candidate.
	server *serverState
	// latency is the expected time to the response.
	latency time.Duration
	// queueWait is the part of latency before a slot is free.
	queueWait time.Duration
	// extraSlotTime is how much longer the request holds its slot than a
	// request for a warm object would.
	extraSlotTime time.Duration
	// cost is the latency plus the weighted extra slot time. The candidate
	// with the lowest cost is chosen.
	cost time.Duration
	// slotsInUse is the server's estimated load, at most its number of
	// slots.
	slotsInUse float64
	// full is set for a server that has just declined a request.
	full bool
	// preferred is set for the server with the object's affinity.
	preferred bool
}

// tooLate reports whether a request that has to wait for a slot should be
// rejected: when the wait alone exceeds its latency budget, so that all
// requests behind it would be late too, or when its expected latency exceeds
// maxDeadlineShare of the time until its deadline. A request that finds a
// free slot is never too late, unless the server has just declined another one.
func (o candidate) tooLate(p *pool, req yuccaadmission.Request) bool {
	if o.full {
		return true
	}
	if req.Deadline.IsZero() || o.queueWait == 0 {
		return false
	}
	if req.LatencyBudget > 0 && o.queueWait > p.classes.MaxWait(req.Priority, req.LatencyBudget) {
		return true
	}
	return float64(o.latency) > maxDeadlineShare*float64(req.Deadline.Sub(req.Now))
}

// bestServer returns the eligible server of a region with the lowest cost.
// The object is assumed to be warm on preferred, if that is not nil.
func (c *Core) bestServer(p *pool, region string, req yuccaadmission.Request, key uint64, preferred *serverState) candidate {
	p.candidates = p.candidates[:0]
	for _, s := range p.regions[region] {
		if c.eligible(s, req) {
			p.candidates = append(p.candidates, c.estimate(p, s, req, s == preferred))
		}
	}
	weight := crowdingWeight(p.candidates, c.parts.maxCrowdingWeight)
	var best candidate
	for _, o := range p.candidates {
		o.cost = o.latency + time.Duration(weight*float64(o.extraSlotTime))
		if best.server == nil || o.betterThan(best, key) {
			best = o
		}
	}
	return best
}

// bestServerElsewhere returns the best server of all the given regions, none of
// them the object's own. Only objects that this entry has recently sent there
// count as warm, since the object's other callers use its own region.
func (c *Core) bestServerElsewhere(p *pool, regions []string, req yuccaadmission.Request, key uint64) candidate {
	var best candidate
	for _, region := range regions {
		o := c.bestServer(p, region, req, key, nil)
		if best.server == nil || o.full == best.full && o.cost < best.cost || best.full && !o.full {
			best = o
		}
	}
	return best
}

// betterThan reports whether the candidate has the lower cost; the object's
// rendezvous score breaks ties.
func (o candidate) betterThan(other candidate, key uint64) bool {
	if o.full != other.full {
		return other.full
	}
	if o.cost != other.cost {
		return o.cost < other.cost
	}
	return o.server.score(key) > other.server.score(key)
}

// crowdingWeight returns the weight of the extra slot time for the
// candidates' utilization: zero up to crowdingThreshold, then rising
// linearly to most.
func crowdingWeight(candidates []candidate, most float64) float64 {
	busy, slots := 0.0, 0.0
	for _, o := range candidates {
		busy += o.slotsInUse
		slots += float64(o.server.Slots)
	}
	if slots == 0 {
		return 0
	}
	return most * max(0, busy/slots-crowdingThreshold) / (1 - crowdingThreshold)
}

// affinityServer returns the server of a region with the highest rendezvous score for the
// object, without those that fail often. If the service's responses are long, servers of
// the entry's own failure domain come first. It returns nil when there is none.
func (c *Core) affinityServer(p *pool, region string, req yuccaadmission.Request, key uint64) *serverState {
	var preferred *serverState
	local := false
	best := uint64(0)
	for _, s := range p.regions[region] {
		n := p.longResponses() && s.Domain == c.location.Domain
		score := s.score(key)
		if preferred != nil && (local && !n || n == local && score <= best) {
			continue
		}
		// The score is cheaper than these conditions, which few servers have to meet.
		if c.eligible(s, req) && !s.failsOften(req.Now) {
			preferred, local, best = s, n, score
		}
	}
	return preferred
}

// estimate returns the server as a candidate, with the expected latency and
// without the cost.
func (c *Core) estimate(p *pool, s *serverState, req yuccaadmission.Request, preferred bool) candidate {
	load := s.load(req.Now, p.latency.mean)
	o := candidate{server: s, full: s.isFull(req.Now), queueWait: s.queueWait(load, p.latency.mean), slotsInUse: min(load, float64(s.Slots)), preferred: preferred}
	slowness := s.slownessNow(req.Now)
	warm := float64(p.latency.warmLatency()) * s.slowdown(req.Now, p.latency.warm) * slowness
	slotTime := warm
	if req.Object != 0 && !preferred && !s.recent.has(req.Now, req.Object) {
		slotTime *= p.latency.coldRatio()
	}
	if s.inSlowStart(req.Now) {
		slotTime *= slowStartFactor
	}
	if s.failsOften(req.Now) {
		slotTime *= failingFactor
	}
	o.latency, o.extraSlotTime = o.queueWait+time.Duration(slotTime), time.Duration(slotTime-warm)
	if s.Domain != c.location.Domain {
		o.latency += crossDomainDelay
		if p.longResponses() {
			o.latency += longResponseDelay
		}
	}
	return o
}
