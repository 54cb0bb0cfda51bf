package yuccaadmission

import "yuccawell.example/core/yuccaplan"

// maxSpills is how many spilled requests a route may save up.
const maxSpills = 1

// earn counts a request of a route towards what the route may spill, so that
// the spilled part of its requests stays within SpillPart.
func (c *Core) earn(route yuccaplan.Route) {
	at := place{route.Service, route.From}
	saved := c.spills[at]
	if saved == nil {
		saved = new(float64)
		c.spills[at] = saved
	}
	*saved = min(*saved+route.SpillPart, maxSpills)
}

// spill looks for a slot in the regions that the route may spill to. Nothing
// moves beyond the part that the plan allows, since that would break a cap.
func (c *Core) spill(route yuccaplan.Route, first *pool, ask Request) *seat {
	saved := c.spills[place{route.Service, route.From}]
	if saved == nil || *saved < 1-shareError {
		return nil
	}
	for _, region := range route.Spill {
		p := c.pools[place{route.Service, region}]
		if p == nil || p == first || p.lost() {
			continue
		}
		if s := c.choose(p, ask, true, farCost); s != nil {
			*saved--
			return s
		}
	}
	return nil
}

// lapse takes back what the plan gives only for its lifetime, once that is
// over.
func (c *Core) lapse() {
	if c.lapsed || !c.plan.Lapsed(c.now) {
		return
	}
	c.lapsed = true
	for _, p := range c.order {
		p.allow(p.floor, c.now)
	}
}
