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

// Update applies a new plan, new rules and a new view. Requests in flight stay
// counted.
func (c *Core) Update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccamembership.View) {
	c.plan = plan
	c.planExpired = false
	c.updates++
	c.updateServers(rules, view)
	c.dropPeers(view)
	c.entriesByRegion = map[string][]string{}
	for _, e := range view.Entries() {
		c.entriesByRegion[e.Region] = append(c.entriesByRegion[e.Region], e.Name)
	}
	budgets := budgetsByPool(plan)
	old := c.pools
	c.pools = make(map[serviceRegion]*pool, len(budgets))
	c.sortedPools = c.sortedPools[:0]
	for key, list := range budgets {
		p := old[key]
		if p == nil {
			p = &pool{serviceRegion: key, medianLatency: initialLatency}
		}
		c.allocate(p, list, rules)
		c.pools[key] = p
		c.sortedPools = append(c.sortedPools, p)
	}
	slices.SortFunc(c.sortedPools, func(a, b *pool) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region))
	})
	for key, p := range old {
		if c.pools[key] == nil {
			c.closePool(p, rules)
		}
	}
	c.countQueuedElsewhere()
	c.expirePlan()
	for _, p := range c.sortedPools {
		c.dispatch(p)
	}
}

// closePool refuses the queue of a pool that is not in the plan. The pool stays
// while it has requests in flight or loans.
func (c *Core) closePool(p *pool, rules yuccarule.Rules) {
	for _, w := range p.queue {
		c.commands = append(c.commands, Refuse{ID: w.id, Kind: yuccaerror.Shed})
	}
	p.queue = nil
	c.allocate(p, nil, rules)
	if p.inFlight > 0 || len(p.allocations) > 0 {
		c.pools[p.serviceRegion] = p
	}
}

// updateServers replaces the known servers by those of the view and marks the
// drained ones as leaving.
func (c *Core) updateServers(rules yuccarule.Rules, view yuccamembership.View) {
	old := c.servers
	c.servers = make(map[string]*server, len(old))
	for _, i := range view.Servers() {
		i.Leaving = i.Leaving || rules.Drained(yuccarule.DrainServer, i.Addr)
		s := old[i.Name]
		if s == nil {
			s = &server{}
			if c.updates > 1 && len(old) > 0 {
				s.addedAt = c.now
			}
		}
		s.Instance = i
		c.servers[i.Name] = s
	}
}

// budgetsByPool groups the budgets of the plan by pool.
func budgetsByPool(plan yuccaplan.Plan) map[serviceRegion][]yuccaplan.Budget {
	all := map[serviceRegion][]yuccaplan.Budget{}
	for _, b := range plan.Budgets {
		key := serviceRegion{b.Service, b.Region}
		all[key] = append(all[key], b)
	}
	return all
}

// allocate sets the budget of the pool and assigns its slots on each server.
func (c *Core) allocate(p *pool, budgets []yuccaplan.Budget, rules yuccarule.Rules) {
	var quotas []quota
	budget, rate := 0, 0.0
	p.reserve, p.expiredSlots, p.capacity = 0, 0, 0
	for _, b := range budgets {
		quotas = append(quotas, quota{b.Entry, b.Slots + b.Reserve})
		p.capacity += b.Slots
		if b.Entry == c.self {
			budget, p.reserve, p.expiredSlots, rate = b.Slots, b.Reserve, b.ExpiredSlots, b.Rate
		}
	}
	p.setBudget(budget, c.now)
	p.link.set(rate, c.now)
	p.weight = serviceWeight(rules, p.service)
	members := c.eligibleServers(p.serviceRegion)
	p.activeServers = len(members)
	old := p.allocations
	p.allocations = nil
	for _, d := range assignSlots(c.self, members, quotas) {
		s := p.allocation(old, c.servers[d.server])
		s.slotNumbers = d.slotNumbers
		p.allocations = append(p.allocations, s)
	}
	for _, s := range old {
		if !slices.Contains(p.allocations, s) {
			c.retireAllocation(p, s)
		}
	}
	p.updateNetBorrowed()
}

// retireAllocation keeps an allocation without own slots while it is in use,
// lent or borrowed.
func (c *Core) retireAllocation(p *pool, s *allocation) {
	s.slotNumbers = nil
	if c.servers[s.Name] != s.server || s.Leaving {
		for _, other := range c.peers {
			delete(other.borrowed, s)
		}
		s.borrowed = 0
	}
	if s.borrowed > 0 || s.lent > 0 || s.inFlight > 0 {
		p.allocations = append(p.allocations, s)
	}
}

// eligibleServers returns the servers that may receive requests of a pool, ordered
// by name.
func (c *Core) eligibleServers(key serviceRegion) []yuccastore.Instance {
	var list []yuccastore.Instance
	for _, s := range c.servers {
		if s.Region == key.region && !s.Leaving && slices.Contains(s.Services, key.service) {
			list = append(list, s.Instance)
		}
	}
	slices.SortFunc(list, func(a, b yuccastore.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// serviceWeight returns the priority of a service as a fraction of the highest
// one.
func serviceWeight(rules yuccarule.Rules, service string) float64 {
	most, own := 1, 1
	for _, s := range rules.Services {
		most = max(most, s.Priority)
		if s.Name == service {
			own = max(1, s.Priority)
		}
	}
	return float64(own) / float64(most)
}
