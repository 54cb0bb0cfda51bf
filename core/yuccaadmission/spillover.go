package yuccaadmission

import "yuccawell.example/core/yuccaplan"

// maxSpillCredit is the largest number of spilled requests for which a route
// can accumulate credit.
const maxSpillCredit = 1

// addSpillCredit credits a route with SpilloverFraction for one request, so that the
// spilled fraction of its requests stays within SpilloverFraction.
func (c *Core) addSpillCredit(route yuccaplan.Route) {
	key := serviceRegion{route.Service, route.From}
	credit := c.spillCredit[key]
	if credit == nil {
		credit = new(float64)
		c.spillCredit[key] = credit
	}
	*credit = min(*credit+route.SpilloverFraction, maxSpillCredit)
}

// spillOver looks for a slot in the spillover regions of the route. It returns
// nil if the route has no credit: more spilled requests than the plan allows
// could move more of the traffic than the shift limit of the service permits.
func (c *Core) spillOver(route yuccaplan.Route, preferred *pool, req Request) *allocation {
	credit := c.spillCredit[serviceRegion{route.Service, route.From}]
	if credit == nil || *credit < 1-shareError {
		return nil
	}
	for _, region := range route.SpilloverRegions {
		p := c.pools[serviceRegion{route.Service, region}]
		if p == nil || p == preferred || p.down() {
			continue
		}
		if s := c.chooseServer(p, req, true, crossRegionLatency); s != nil {
			*credit--
			return s
		}
	}
	return nil
}

// expirePlan reduces the budgets to their expired slots once the lifetime of
// the plan has ended.
func (c *Core) expirePlan() {
	if c.planExpired || !c.plan.Expired(c.now) {
		return
	}
	c.planExpired = true
	for _, p := range c.sortedPools {
		p.setBudget(p.expiredSlots, c.now)
	}
}
