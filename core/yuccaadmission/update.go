package yuccaadmission

import (
	"cmp"
	"slices"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// Update takes a new plan, new rules and a new view. What is in flight stays
// counted.
func (c *Core) Update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccamembership.View) {
	c.plan = plan
	c.lapsed = false
	c.step++
	c.updateServers(rules, view)
	c.dropPeers(view)
	c.entries = map[string][]string{}
	for _, e := range view.Entries() {
		c.entries[e.Region] = append(c.entries[e.Region], e.Name)
	}
	claims := gather(plan)
	old := c.pools
	c.pools = make(map[place]*pool, len(claims))
	c.order = c.order[:0]
	for at, list := range claims {
		p := old[at]
		if p == nil {
			p = &pool{place: at, typical: firstLatency}
		}
		c.deal(p, list, rules)
		c.pools[at] = p
		c.order = append(c.order, p)
	}
	slices.SortFunc(c.order, func(a, b *pool) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region))
	})
	for at, p := range old {
		if c.pools[at] == nil {
			c.close(p, rules)
		}
	}
	c.countOthers()
	c.lapse()
	for _, p := range c.order {
		c.dispatch(p)
	}
}

// close refuses what waits for a pool that the plan has no more. The pool stays
// while anything is in flight.
func (c *Core) close(p *pool, rules yuccarule.Rules) {
	for _, w := range p.waiting {
		c.out = append(c.out, Refuse{ID: w.id, Kind: yuccaerror.Shed})
	}
	p.waiting = nil
	c.deal(p, nil, rules)
	if p.busy > 0 || len(p.seats) > 0 {
		c.pools[p.place] = p
	}
}

func (c *Core) updateServers(rules yuccarule.Rules, view yuccamembership.View) {
	old := c.servers
	c.servers = make(map[string]*server, len(old))
	for _, i := range view.Servers() {
		i.Leaving = i.Leaving || rules.Drained(yuccarule.DrainServer, i.Addr)
		s := old[i.Name]
		if s == nil {
			s = &server{}
			if c.step > 1 && len(old) > 0 {
				s.since = c.now
			}
		}
		s.Instance = i
		c.servers[i.Name] = s
	}
}

// gather orders the plan's budgets by place.
func gather(plan yuccaplan.Plan) map[place][]yuccaplan.Budget {
	all := map[place][]yuccaplan.Budget{}
	for _, b := range plan.Budgets {
		at := place{b.Service, b.Region}
		all[at] = append(all[at], b)
	}
	return all
}

// deal gives the pool its seats.
func (c *Core) deal(p *pool, budgets []yuccaplan.Budget, rules yuccarule.Rules) {
	var claims []claim
	budget, rate := 0, 0.0
	p.reserve, p.floor, p.capacity = 0, 0, 0
	for _, b := range budgets {
		claims = append(claims, claim{b.Entry, b.Slots + b.Reserve})
		p.capacity += b.Slots
		if b.Entry == c.self {
			budget, p.reserve, p.floor, rate = b.Slots, b.Reserve, b.ExpiredSlots, b.Rate
		}
	}
	p.allow(budget, c.now)
	p.link.set(rate, c.now)
	p.weight = weight(rules, p.service)
	members := c.members(p.place)
	p.alive = len(members)
	old := p.seats
	p.seats = nil
	for _, d := range deal(c.self, members, claims) {
		s := p.seat(old, c.servers[d.server])
		s.units = d.units
		p.seats = append(p.seats, s)
	}
	for _, s := range old {
		if !slices.Contains(p.seats, s) {
			c.retire(p, s)
		}
	}
	p.recount()
}

// retire keeps a seat that the entry owns no slots of while it is in use, lent
// or borrowed.
func (c *Core) retire(p *pool, s *seat) {
	s.units = nil
	if c.servers[s.Name] != s.server || s.Leaving {
		for _, other := range c.peers {
			delete(other.held, s)
		}
		s.borrowed = 0
	}
	if s.borrowed > 0 || s.lent > 0 || s.busy > 0 {
		p.seats = append(p.seats, s)
	}
}

// members returns the servers of a place that may take work, ordered by name.
func (c *Core) members(at place) []yuccastore.Instance {
	var list []yuccastore.Instance
	for _, s := range c.servers {
		if s.Region == at.region && !s.Leaving && slices.Contains(s.Services, at.service) {
			list = append(list, s.Instance)
		}
	}
	slices.SortFunc(list, func(a, b yuccastore.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// weight returns a service's weight as a part of the highest.
func weight(rules yuccarule.Rules, service string) float64 {
	most, own := 1, 1
	for _, s := range rules.Services {
		most = max(most, s.Priority)
		if s.Name == service {
			own = max(1, s.Priority)
		}
	}
	return float64(own) / float64(most)
}
