package yuccasim

import (
	"slices"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

// newPolicy returns the run's policy for the entry with index entry; unknown names
// mean SlotLeasing.
func newPolicy(m *sim, entry int) policy {
	switch m.setup.Policy {
	case Random:
		return &pickPolicy{sim: m, entry: entry, pick: pickRandom, inFlight: map[string]int{}}
	case RoundRobin:
		return &pickPolicy{sim: m, entry: entry, pick: pickRoundRobin, inFlight: map[string]int{}}
	case LeastOutstanding:
		return &pickPolicy{sim: m, entry: entry, pick: pickLeast, inFlight: map[string]int{}}
	case TwoChoices:
		return &pickPolicy{sim: m, entry: entry, pick: pickTwoChoices, inFlight: map[string]int{}}
	case RendezvousHash:
		return &hashPolicy{sim: m, entry: entry, inFlight: map[string]int{}}
	case RendezvousFreeSlot:
		return &hashPolicy{sim: m, entry: entry, inFlight: map[string]int{}, freeSlotOnly: true}
	case ObjectPlacement:
		return newPlacementPolicy(m, entry)
	}
	return newLeasingPolicy(m, entry)
}

// pickPolicy admits every request, draws its region from the plan's route and
// picks one of that region's servers.
type pickPolicy struct {
	sim *sim
	// entry is the index of the entry.
	entry int
	plan  yuccaplan.Plan
	// servers are the servers that are not draining.
	servers []*server
	// pick returns one of the candidates, of which there is at least one.
	pick func(p *pickPolicy, candidates []*server) *server
	// inFlight counts the entry's requests in flight by server name.
	inFlight map[string]int
	// next is the number of round robin picks so far.
	next int
}

func (p *pickPolicy) update(plan yuccaplan.Plan, _ yuccarule.Rules, view yuccamembership.View) {
	p.plan = plan
	p.servers = nil
	for _, i := range view.Servers() {
		if !i.Leaving {
			p.servers = append(p.servers, p.sim.serversByName[i.Name])
		}
	}
}

func (p *pickPolicy) admit(r *request) {
	region := p.drawRegion(r)
	var candidates []*server
	for _, s := range p.servers {
		if s.Region == region && !slices.Contains(r.avoid, s.Name) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		p.sim.recordShed(r)
		return
	}
	s := p.pick(p, candidates)
	p.inFlight[s.Name]++
	p.sim.send(r, s)
}

// drawRegion returns a region with the probability of its share of the route, or ""
// if the draw falls outside of all shares.
func (p *pickPolicy) drawRegion(r *request) string {
	route, _ := p.plan.Route(serviceName, regionName(entryRegion(p.entry)))
	draw := float64(r.random>>11) / (1 << 53)
	for _, s := range route.Shares {
		if draw -= s.Fraction; draw < 0 {
			return s.Region
		}
	}
	return ""
}

func (p *pickPolicy) done(r *request, _ outcome) { p.inFlight[r.server.Name]-- }

// pickRandom returns a random candidate.
func pickRandom(p *pickPolicy, candidates []*server) *server {
	return candidates[p.sim.policyRand.IntN(len(candidates))]
}

// pickRoundRobin returns the candidates in turn.
func pickRoundRobin(p *pickPolicy, candidates []*server) *server {
	p.next++
	return candidates[p.next%len(candidates)]
}

// pickLeast returns the candidate with the fewest of the entry's own requests in
// flight. A random start position breaks ties.
func pickLeast(p *pickPolicy, candidates []*server) *server {
	start := p.sim.policyRand.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if p.inFlight[s.Name] < p.inFlight[best.Name] {
			best = s
		}
	}
	return best
}

// pickTwoChoices draws two candidates and returns the one with the lower reported
// load.
func pickTwoChoices(p *pickPolicy, candidates []*server) *server {
	a, b := pickRandom(p, candidates), pickRandom(p, candidates)
	age := int(reportAge / reportInterval)
	if p.sim.setup.Scenario == StaleReports {
		age = int(staleAge / reportInterval)
	}
	if b.reportedLoad(age) < a.reportedLoad(age) {
		return b
	}
	return a
}
