package yuccaadmission

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccaerror"
)

const (
	// crossRegionLatency is the additional latency of a request to another
	// region.
	crossRegionLatency = 40 * time.Millisecond
	// maxComparedServers is the number of servers of typical latency after
	// which the search for a server stops.
	maxComparedServers = 10
	// budgetRaiseDelay is the delay before an increased budget is used.
	budgetRaiseDelay = time.Second
	// twiceSimilarFactor is twice the multiple of the median latency up to which
	// a latency counts as equal to the median: 3 means 1.5 times the median.
	twiceSimilarFactor = 3
	// slowStartCostFactor is the cost of using a server in slow start above its
	// open slots, as a multiple of the median latency.
	slowStartCostFactor = 2
	// burstBaseTime is the fixed part of the time for which a queue counts as a
	// burst, not as overload.
	burstBaseTime = 30 * time.Millisecond
	// burstLatencies is the variable part of that time, in median latencies.
	burstLatencies = 2
	// overloadWaitDivisor divides the wait limit of a pool in overload.
	overloadWaitDivisor = 5
	// minWaitLimit is the lower bound of the wait limit.
	minWaitLimit = 2 * time.Millisecond
	// maxWaitLimit is the upper bound of the wait limit.
	maxWaitLimit = 500 * time.Millisecond
	// failuresToMarkDown is the number of consecutive failed connections after
	// which a pool is down.
	failuresToMarkDown = 6
	// probeInterval is the interval at which a request probes a pool that is
	// down.
	probeInterval = time.Second
)

// serviceRegion identifies a pool by its service and region, or a route by its
// service and the region where the requests arrive.
type serviceRegion struct {
	// service is the name of the service.
	service string
	// region is the name of the region.
	region string
}

// pool holds what one entry may use of the servers of a service in a region.
type pool struct {
	serviceRegion
	// weight is the priority of the service as a fraction of the highest one.
	weight float64
	// budget is the number of slots that the plan assigns to this entry.
	budget int
	// reserve is the number of additional slots for spilled requests.
	reserve int
	// expiredSlots is the part of the budget that remains after the plan has
	// expired.
	expiredSlots int
	// link limits the bytes received over inter-region links.
	link linkBudget
	// activeBudget is the part of the budget in use. An increased budget is
	// used from raiseAt on, so that entries with a reduced budget have time to
	// follow.
	activeBudget int
	// raiseAt is the time from which the whole budget is used.
	raiseAt time.Time
	// capacity is the sum of the budgets of all entries.
	capacity int
	// queuedElsewhere is the number of requests queued at other entries.
	queuedElsewhere int
	// allocations holds the slots that this entry may use, by server.
	allocations []*allocation
	// inFlight is the number of requests in flight.
	inFlight int
	// queue holds the requests that wait for a slot, the oldest first.
	queue []queuedRequest
	// unmet holds the loan requests of other entries that found no free slot.
	unmet []unmetRequest
	// medianLatency is the median of the average latencies of the servers.
	medianLatency time.Duration
	// measured is set once medianLatency is computed from measurements.
	measured bool
	// scratch is a buffer for computing the median.
	scratch []time.Duration
	// connectFailures counts the failed connections since the last response.
	connectFailures int
	// nextProbe is the earliest time of the next probe while the pool is down.
	nextProbe time.Time
	// lastBorrow is the time of the last loan request.
	lastBorrow time.Time
	// lastShort is the time when the pool last had no excess of free slots.
	lastShort time.Time
	// lastUsed is the time when a request was last sent.
	lastUsed time.Time
	// lastBorrowCheck is the time when the need for a loan was last checked.
	lastBorrowCheck time.Time
	// borrowBackoff is the shortest time between two loan requests; it grows
	// while they bring no slots.
	borrowBackoff time.Duration
	// lastNeighbor is the round-robin counter that selects the entry of the
	// region to ask for a loan.
	lastNeighbor int
	// queuedSince is the time since which the queue has not been empty.
	queuedSince time.Time
	// netBorrowed is the number of borrowed slots less the lent ones.
	netBorrowed int
	// activeServers is the number of servers in the region that may receive
	// requests.
	activeServers int
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	// id identifies the request in commands.
	id uint64
	// request is the request itself.
	request Request
	// expires is the time when the wait ends.
	expires time.Time
}

// initialLatency is the median latency of a pool before any server has
// responded.
const initialLatency = 20 * time.Millisecond

// down reports whether the region has no active server or refuses connections.
func (p *pool) down() bool { return p.activeServers == 0 || p.connectFailures >= failuresToMarkDown }

// tryProbe reports whether a request may probe a pool that is down, and
// schedules the next probe.
func (p *pool) tryProbe(now time.Time) bool {
	if p.activeServers == 0 || len(p.allocations) == 0 || now.Before(p.nextProbe) {
		return false
	}
	p.nextProbe = now.Add(probeInterval)
	return true
}

// inFlightLimit returns how many requests the entry may have in flight.
func (p *pool) inFlightLimit(withReserve bool) int {
	n := p.activeBudget + p.netBorrowed
	if withReserve {
		n += p.reserve
	}
	return n
}

// setBudget sets the budget. The first budget and a smaller one take effect at
// once, a larger one after budgetRaiseDelay.
func (p *pool) setBudget(budget int, now time.Time) {
	if budget > p.activeBudget && p.budget > 0 {
		p.raiseAt = now.Add(budgetRaiseDelay)
	} else {
		p.activeBudget = budget
	}
	p.budget = budget
}

func (p *pool) updateNetBorrowed() {
	p.netBorrowed = 0
	for _, s := range p.allocations {
		p.netBorrowed += s.borrowed - s.lent
	}
}

// allocation returns the allocation of a server in the list, or a new one if
// there is none.
func (p *pool) allocation(list []*allocation, sv *server) *allocation {
	for _, s := range list {
		if s.server == sv {
			return s
		}
	}
	return &allocation{server: sv, pool: p}
}

func (p *pool) contains(s *allocation) bool { return slices.Contains(p.allocations, s) }

// hasCandidate reports whether a slot could become free, or be borrowed, for the
// request.
func (p *pool) hasCandidate(req Request) bool {
	for _, s := range p.allocations {
		if !s.Leaving && !slices.Contains(req.AvoidServers, s.Name) {
			return true
		}
	}
	return p.activeServers > 0 && len(p.allocations) == 0
}

// freeSlots returns how many requests could be sent now.
func (p *pool) freeSlots(now time.Time) int {
	n := 0
	for _, s := range p.allocations {
		if !s.Leaving && !s.suspended(now) {
			n += max(0, s.freeSlots(now))
		}
	}
	return min(n, p.inFlightLimit(false)-p.inFlight)
}

// cheapest returns the allocation with the lowest cost, and that cost. Among
// equals it prefers the lowest utilization. The search starts at a random
// server and stops after maxComparedServers of median cost.
func (p *pool) cheapest(now time.Time, random uint64, avoid []string) (*allocation, time.Duration) {
	var found *allocation
	var cost time.Duration
	utilization := 0.0
	n := len(p.allocations)
	if n == 0 {
		return nil, 0
	}
	i := int(random % uint64(n))
	compared := 0
	for range n {
		s := p.allocations[i]
		if i++; i == n {
			i = 0
		}
		if !s.eligible(now, avoid) {
			continue
		}
		open := s.openSlots(now)
		c, f := p.cost(s), float64(s.inFlight)/float64(s.totalSlots())
		if s.inFlight >= open {
			c = max(c, slowStartCostFactor*p.medianLatency)
		}
		if found == nil || c < cost || c == cost && f < utilization {
			found, cost, utilization = s, c, f
		}
		if c == p.medianLatency {
			if compared++; compared == maxComparedServers {
				break
			}
		}
	}
	return found, cost
}

// cost returns the expected latency of a server. Latencies close to the median
// or below it count as equal to it.
func (p *pool) cost(s *allocation) time.Duration {
	if !p.measured || 2*s.latency <= twiceSimilarFactor*p.medianLatency {
		return p.medianLatency
	}
	return s.latency
}

// expectedWait returns the wait to expect after extra more requests are queued.
// Slots of the region become free for the requests queued at all entries.
func (p *pool) expectedWait(extra int) time.Duration {
	n := max(1, p.capacity, p.inFlightLimit(false))
	return time.Duration(len(p.queue)+p.queuedElsewhere+extra) * p.medianLatency / time.Duration(n)
}

// waitLimit returns the longest expected wait at which requests are queued. It
// is shorter for services of lower priority and once the queue has lasted
// longer than a burst.
func (p *pool) waitLimit(now time.Time) time.Duration {
	d := time.Duration(p.weight * float64(p.medianLatency))
	if len(p.queue) > 0 && now.Sub(p.queuedSince) > burstBaseTime+burstLatencies*p.medianLatency {
		d /= overloadWaitDivisor
	}
	return min(max(d, minWaitLimit), maxWaitLimit)
}

// recordResult counts consecutive connection failures.
func (p *pool) recordResult(r Result) {
	switch r.Kind {
	case yuccaerror.Unreachable:
		p.connectFailures++
	case yuccaerror.None:
		p.connectFailures = 0
	}
}

// refresh puts a raised budget into use when it is due, recomputes the median
// latency and lets the latency averages of unused servers decay.
func (p *pool) refresh(now time.Time, passed time.Duration) {
	if !now.Before(p.raiseAt) {
		p.activeBudget = p.budget
	}
	latencies := p.scratch[:0]
	for _, s := range p.allocations {
		if s.latency > 0 {
			latencies = append(latencies, s.latency)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	p.scratch = latencies
	p.measured = true
	p.medianLatency = latencies[(len(latencies)-1)/2]
	for _, s := range p.allocations {
		s.decayLatency(now, p.medianLatency, passed)
	}
}

// canEject reports whether another server may be ejected: at most a third of
// them may be out of use at a time.
func (p *pool) canEject(now time.Time) bool {
	ejected := 0
	for _, s := range p.allocations {
		if s.ejected && s.suspended(now) {
			ejected++
		}
	}
	return (ejected+1)*serversPerEjection <= len(p.allocations)
}

// serversPerEjection is the number of servers that a pool must have for each
// ejected one.
const serversPerEjection = 3
