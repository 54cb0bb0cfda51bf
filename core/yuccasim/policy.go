package yuccasim

import (
	"slices"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

func newPolicy(m *sim, entry int) policy {
	switch m.set.Policy {
	case Random:
		return &simple{sim: m, entry: entry, pick: pickRandom, busy: map[string]int{}}
	case RoundRobin:
		return &simple{sim: m, entry: entry, pick: pickNext, busy: map[string]int{}}
	case Least:
		return &simple{sim: m, entry: entry, pick: pickLeast, busy: map[string]int{}}
	case TwoChoices:
		return &simple{sim: m, entry: entry, pick: pickTwo, busy: map[string]int{}}
	case RendezvousHash:
		return &hashed{sim: m, entry: entry, busy: map[string]int{}}
	case RendezvousFreeSlot:
		return &hashed{sim: m, entry: entry, busy: map[string]int{}, room: true}
	case ObjectPlacement:
		return newPlaced(m, entry)
	}
	return newOurs(m, entry)
}

// simple is a policy that admits everything and picks one of the servers of the
// route's region.
type simple struct {
	sim   *sim
	entry int
	plan  yuccaplan.Plan
	list  []*server
	pick  func(p *simple, list []*server) *server
	busy  map[string]int
	turn  int
}

func (p *simple) update(plan yuccaplan.Plan, _ yuccarule.Rules, view yuccamembership.View) {
	p.plan = plan
	p.list = nil
	for _, i := range view.Servers() {
		if !i.Leaving {
			p.list = append(p.list, p.sim.byName[i.Name])
		}
	}
}

func (p *simple) ask(r *request) {
	region := p.region(r)
	var list []*server
	for _, s := range p.list {
		if s.Region == region && !slices.Contains(r.avoid, s.Name) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		p.sim.shed(r)
		return
	}
	s := p.pick(p, list)
	p.busy[s.Name]++
	p.sim.send(r, s)
}

func (p *simple) region(r *request) string {
	route, _ := p.plan.Route(serviceName, regionName(entryRegion(p.entry)))
	at := float64(r.dice>>11) / (1 << 53)
	for _, s := range route.Shares {
		if at -= s.Part; at < 0 {
			return s.Region
		}
	}
	return ""
}

func (p *simple) done(r *request, _ outcome) { p.busy[r.server.Name]-- }

func pickRandom(p *simple, list []*server) *server { return list[p.sim.dice.IntN(len(list))] }

func pickNext(p *simple, list []*server) *server {
	p.turn++
	return list[p.turn%len(list)]
}

func pickLeast(p *simple, list []*server) *server {
	at := p.sim.dice.IntN(len(list))
	best := list[at]
	for i := range list {
		s := list[(at+i)%len(list)]
		if p.busy[s.Name] < p.busy[best.Name] {
			best = s
		}
	}
	return best
}

func pickTwo(p *simple, list []*server) *server {
	a, b := pickRandom(p, list), pickRandom(p, list)
	ago := int(reportAge / reportInterval)
	if p.sim.set.Scenario == Stale {
		ago = int(staleAge / reportInterval)
	}
	if b.report(ago) < a.report(ago) {
		return b
	}
	return a
}
