package yuccasim

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccaretry"
	"yuccawell.example/core/yuccarule"
)

// demandInterval is the time between two demand reports of an entry.
const demandInterval = 500 * time.Millisecond

// placementPolicy runs yuccabalancer.Core for one entry, which places requests by
// object.
type placementPolicy struct {
	sim *sim
	// entry is the index of the entry.
	entry int
	core  *yuccabalancer.Core
	// demand is the last known mean number of requests in flight from each entry.
	demand []float64
}

// newPlacementPolicy returns the policy of an entry and schedules its demand
// reports. The reports of the entries are evenly spread over the interval.
func newPlacementPolicy(m *sim, entry int) *placementPolicy {
	location := yuccabalancer.Location{Entry: entryName(entry), Region: regionName(entryRegion(entry))}
	p := &placementPolicy{sim: m, entry: entry, demand: make([]float64, m.entries()), core: yuccabalancer.NewCoreWithout(location, m.setup.Off)}
	m.after(time.Duration(entry)*demandInterval/time.Duration(m.entries()), func() { m.every(demandInterval, m.setup.length(), p.shareDemand) })
	return p
}

// shareDemand reports the entry's demand to the other entries and rebalances the
// shares of the regions by the demand known here.
func (p *placementPolicy) shareDemand() {
	if !p.sim.alive[p.entry] {
		return
	}
	inFlight := p.core.MeanInFlight(p.sim.time())[serviceName]
	p.demand[p.entry] = inFlight
	for e := range p.sim.entries() {
		if peer, ok := p.sim.policies[e].(*placementPolicy); ok && e != p.entry {
			p.sim.after(farDelay, func() { peer.demand[p.entry] = inFlight })
		}
	}
	demand := yuccabalancer.Demand{}
	for e, v := range p.demand {
		if p.sim.alive[e] {
			demand[regionName(entryRegion(e))] += v
		}
	}
	p.core.Rebalance(map[string]yuccabalancer.Demand{serviceName: demand}, demandInterval)
}

func (p *placementPolicy) update(_ yuccaplan.Plan, _ yuccarule.Rules, view yuccamembership.View) {
	var topology yuccabalancer.Topology
	for _, i := range view.Servers() {
		topology.Servers = append(topology.Servers, yuccabalancer.Server{
			Name: i.Name, Service: serviceName, Region: i.Region, Addr: i.Addr, Slots: i.Slots, Draining: i.Leaving,
		})
	}
	for _, e := range view.Entries() {
		topology.Entries = append(topology.Entries, e.Name)
	}
	p.core.Update(topology)
}

func (p *placementPolicy) admit(r *request) {
	now := p.sim.time()
	choice := p.core.Choose(yuccaadmission.Request{
		Now:           now,
		Service:       serviceName,
		From:          regionName(entryRegion(p.entry)),
		Random:        r.random,
		AvoidServers:  r.avoid,
		Object:        objectHash(r.object),
		LatencyBudget: p.latencyBudget(r),
		LatencyTarget: r.class.Target,
		Deadline:      now.Add(p.timeLeft(r)),
		Priority:      r.class.Priority,
	})
	if choice.Kind != yuccaerror.None {
		r.retryAfter = choice.RetryAfter
		p.sim.updateRetries(p.entry, yuccaretry.Rejected)
		p.sim.reject(r)
		return
	}
	r.state = choice
	p.sim.send(r, p.sim.serversByName[choice.Server()])
}

// latencyBudget returns the time left of the latency target, as the entry knows it.
func (p *placementPolicy) latencyBudget(r *request) time.Duration {
	if !p.sim.setup.Workload.Returns {
		return r.class.Target
	}
	return max(1, r.class.Target-(p.sim.now-r.delivered))
}

// timeLeft returns how long the caller still waits, as the entry knows it.
func (p *placementPolicy) timeLeft(r *request) time.Duration {
	if !p.sim.setup.Workload.Returns {
		return r.timeout()
	}
	return r.timeout() - (p.sim.now - r.arrived)
}

func (p *placementPolicy) done(r *request, o outcome) {
	result := yuccaadmission.Result{Now: p.sim.time(), Declined: o.declined, NoResponse: o.unreachable || o.broken, TimeToHeader: p.sim.now - r.sent}
	result.Succeeded = !o.declined && !result.NoResponse
	if result.Succeeded || o.declined && p.sim.setup.Workload.hasClasses() {
		load := r.load
		result.Load = &load
	}
	p.core.Done(r.state.(yuccabalancer.Choice), result)
}

// hashPolicy ranks the servers by the rendezvous hash of the request's object and
// sends the request to the first one that was not attempted yet. Servers of the
// entry's region come before those of other regions.
type hashPolicy struct {
	sim *sim
	// entry is the index of the entry.
	entry int
	// freeSlotOnly skips a server if the entry's own requests fill all of its slots.
	// Without it, load is ignored.
	freeSlotOnly bool
	// servers are the servers that are not draining.
	servers []*server
	// inFlight counts the entry's requests in flight by server name.
	inFlight map[string]int
}

func (p *hashPolicy) update(_ yuccaplan.Plan, _ yuccarule.Rules, view yuccamembership.View) {
	p.servers = nil
	for _, i := range view.Servers() {
		if !i.Leaving {
			p.servers = append(p.servers, p.sim.serversByName[i.Name])
		}
	}
}

func (p *hashPolicy) admit(r *request) {
	var best *server
	var bestRank uint64
	for _, local := range []bool{true, false} {
		for _, s := range p.servers {
			sameRegion := s.region == entryRegion(p.entry)
			full := p.freeSlotOnly && p.inFlight[s.Name] >= s.Slots
			rank := objectHash(r.object ^ xxhash.Sum64String(s.Name))
			if sameRegion == local && !full && !wasAttempted(r, s) && (best == nil || rank > bestRank) {
				best, bestRank = s, rank
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		p.sim.recordShed(r)
		return
	}
	p.inFlight[best.Name]++
	p.sim.send(r, best)
}

// wasAttempted reports whether the request was already sent to the server.
func wasAttempted(r *request, s *server) bool {
	for _, name := range r.avoid {
		if name == s.Name {
			return true
		}
	}
	return false
}

func (p *hashPolicy) done(r *request, _ outcome) { p.inFlight[r.server.Name]-- }

// objectHash returns the hash of an object's number.
func objectHash(object uint64) uint64 { return xxhash.Sum64String(strconv.FormatUint(object, 16)) }
