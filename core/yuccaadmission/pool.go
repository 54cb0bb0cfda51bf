package yuccaadmission

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccaerror"
)

const (
	// farCost is what a request to another region takes longer.
	farCost = 40 * time.Millisecond
	// enough is how many seats of typical latency the choice compares.
	enough = 10
	// raiseTime is how long a larger budget is not used yet.
	raiseTime = time.Second
	// similar2 is twice the factor within which latencies count as equal.
	similar2 = 3
	// coldCost is the cost of going beyond a new server's open slots, as a
	// multiple of the latency.
	coldCost = 2
	// burstTime and burstAnswers, in latencies, are how long a burst may last;
	// overloadPart divides the bound on waits after it.
	burstTime    = 30 * time.Millisecond
	burstAnswers = 2
	overloadPart = 5
	// minWait and maxWait bound the expected wait from both sides.
	minWait = 2 * time.Millisecond
	maxWait = 500 * time.Millisecond
	// lostAfter is how many connections refused in a row make a region lost.
	lostAfter = 6
	// lostProbe is the interval of requests that try a lost region.
	lostProbe = time.Second
)

type place struct{ service, region string }

// pool is a service in a region as one entry may use it.
type pool struct {
	place
	weight  float64
	budget  int
	reserve int
	// floor is the part of the budget that stays when the plan has lapsed.
	floor int
	// link books the bytes that come over links.
	link link
	// allowed is the part of the budget in use: a larger budget is used from
	// raise on, when entries whose budget shrank have had time to follow.
	allowed int
	raise   time.Time
	// capacity is the sum of all entries' budgets, others how many requests
	// wait at other entries.
	capacity int
	others   int
	seats    []*seat
	busy     int
	waiting  []waiter
	// wanted are other entries' wishes in vain.
	wanted []want
	// typical is the median of the servers' latencies.
	typical time.Duration
	// known is set when typical was measured; scratch is for its computation.
	known   bool
	scratch []time.Duration
	// refused counts failures to connect since the last answer.
	refused int
	probe   time.Time
	// asked is when other entries were last asked for slots, lastShort when
	// there were last too few.
	asked     time.Time
	lastShort time.Time
	// used is when a request was last sent. The pause between wishes grows
	// while they are in vain; turn is the neighbour asked last.
	used    time.Time
	checked time.Time
	pause   time.Duration
	turn    int
	// emptied is when no request waited last.
	emptied time.Time
	// loans is what is borrowed less what is lent.
	loans int
	// alive is how many servers of the region may take work.
	alive int
}

// waiter is a request that waits for a slot.
type waiter struct {
	id      uint64
	ask     Request
	expires time.Time
}

// firstLatency is taken for servers that have not answered yet.
const firstLatency = 20 * time.Millisecond

func (p *pool) lost() bool { return p.alive == 0 || p.refused >= lostAfter }

// tryLost reports whether a lost region is due for a trial request.
func (p *pool) tryLost(now time.Time) bool {
	if p.alive == 0 || len(p.seats) == 0 || now.Before(p.probe) {
		return false
	}
	p.probe = now.Add(lostProbe)
	return true
}

// limit returns how many requests the entry may have in flight.
func (p *pool) limit(spare bool) int {
	n := p.allowed + p.loans
	if spare {
		n += p.reserve
	}
	return n
}

// allow takes a new budget: at once when it is smaller or the first, after a
// while when it is larger.
func (p *pool) allow(budget int, now time.Time) {
	if budget > p.allowed && p.budget > 0 {
		p.raise = now.Add(raiseTime)
	} else {
		p.allowed = budget
	}
	p.budget = budget
}

// recount sums the loans up.
func (p *pool) recount() {
	p.loans = 0
	for _, s := range p.seats {
		p.loans += s.borrowed - s.lent
	}
}

// seat returns the seat of a server among list, a new one if there is none.
func (p *pool) seat(list []*seat, sv *server) *seat {
	for _, s := range list {
		if s.server == sv {
			return s
		}
	}
	return &seat{server: sv, pool: p}
}

func (p *pool) has(s *seat) bool { return slices.Contains(p.seats, s) }

// reachable reports whether a slot could come free for the request.
func (p *pool) reachable(ask Request) bool {
	for _, s := range p.seats {
		if !s.Leaving && !slices.Contains(ask.Avoid, s.Name) {
			return true
		}
	}
	return p.alive > 0 && len(p.seats) == 0
}

// free returns how many requests could be sent at once.
func (p *pool) free(now time.Time) int {
	n := 0
	for _, s := range p.seats {
		if !s.Leaving && !s.resting(now) {
			n += max(0, s.free(now))
		}
	}
	return min(n, p.limit(false)-p.busy)
}

// best returns the seat with the lowest cost and that cost as a latency. It
// starts at a random seat and stops when enough good ones were compared.
func (p *pool) best(now time.Time, dice uint64, avoid []string) (*seat, time.Duration) {
	var found *seat
	var cost time.Duration
	fill := 0.0
	n := len(p.seats)
	if n == 0 {
		return nil, 0
	}
	at := int(dice % uint64(n))
	good := 0
	for range n {
		s := p.seats[at]
		if at++; at == n {
			at = 0
		}
		if !s.usable(now, avoid) {
			continue
		}
		open := s.open(now)
		c, f := p.cost(s), float64(s.busy)/float64(s.all())
		if s.busy >= open {
			c = max(c, coldCost*p.typical)
		}
		if found == nil || c < cost || c == cost && f < fill {
			found, cost, fill = s, c, f
		}
		if c == p.typical {
			if good++; good == enough {
				break
			}
		}
	}
	return found, cost
}

// cost is the expected latency of a server; those near the typical one count as
// equal to it.
func (p *pool) cost(s *seat) time.Duration {
	if !p.known || 2*s.latency <= similar2*p.typical {
		return p.typical
	}
	return s.latency
}

// wait returns how long a request that starts to wait now may expect to, as the
// region's slots come free for the requests that wait at any entry.
func (p *pool) wait(extra int) time.Duration {
	n := max(1, p.capacity, p.limit(false))
	return time.Duration(len(p.waiting)+p.others+extra) * p.typical / time.Duration(n)
}

// patience bounds the expected wait; services of less weight get less. It is
// long for a burst and short once requests have waited all the time for longer
// than a burst lasts.
func (p *pool) patience(now time.Time) time.Duration {
	d := time.Duration(p.weight * float64(p.typical))
	if len(p.waiting) > 0 && now.Sub(p.emptied) > burstTime+burstAnswers*p.typical {
		d /= overloadPart
	}
	return min(max(d, minWait), maxWait)
}

func (p *pool) learn(r Result) {
	switch r.Kind {
	case yuccaerror.Unreachable:
		p.refused++
	case yuccaerror.None:
		p.refused = 0
	}
}

// refresh recomputes the typical latency.
func (p *pool) refresh(now time.Time, passed time.Duration) {
	if !now.Before(p.raise) {
		p.allowed = p.budget
	}
	all := p.scratch[:0]
	for _, s := range p.seats {
		if s.latency > 0 {
			all = append(all, s.latency)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	p.scratch = all
	p.known = true
	p.typical = all[(len(all)-1)/2]
	for _, s := range p.seats {
		s.forget(now, p.typical, passed)
	}
}

// mayEject reports whether one more server may be ejected: never more than a
// third of them.
func (p *pool) mayEject(now time.Time) bool {
	out := 0
	for _, s := range p.seats {
		if s.ejected && s.resting(now) {
			out++
		}
	}
	return (out+1)*ejectShare <= len(p.seats)
}

// ejectShare is the inverse of the share of servers that may be ejected.
const ejectShare = 3
