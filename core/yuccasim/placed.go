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
	"yuccawell.example/core/yuccarule"
)

// demandInterval is how often entries tell what their callers ask for.
const demandInterval = 500 * time.Millisecond

// placed runs yuccabalancer.Core for one entry.
type placed struct {
	sim   *sim
	entry int
	core  *yuccabalancer.Core
	// heard is what each entry's callers asked for last.
	heard [entryCount]float64
}

func newPlaced(m *sim, entry int) *placed {
	p := &placed{sim: m, entry: entry, core: yuccabalancer.NewCore(yuccabalancer.Location{Entry: entryName(entry), Region: regionName(entryRegion(entry))})}
	m.after(time.Duration(entry)*demandInterval/entryCount, func() { m.every(demandInterval, m.set.length(), p.tell) })
	return p
}

// tell tells the other entries what the own callers ask for, and moves the
// shares of the regions.
func (p *placed) tell() {
	if !p.sim.alive[p.entry] {
		return
	}
	busy := p.core.MeanInFlight(p.sim.time())[serviceName]
	p.heard[p.entry] = busy
	for e := range entryCount {
		if to, ok := p.sim.policies[e].(*placed); ok && e != p.entry {
			p.sim.after(farDelay, func() { to.heard[p.entry] = busy })
		}
	}
	demand := yuccabalancer.Demand{}
	for e, v := range p.heard {
		if p.sim.alive[e] {
			demand[regionName(entryRegion(e))] += v
		}
	}
	p.core.Rebalance(map[string]yuccabalancer.Demand{serviceName: demand}, demandInterval)
}

func (p *placed) update(_ yuccaplan.Plan, _ yuccarule.Rules, view yuccamembership.View) {
	var w yuccabalancer.Topology
	for _, i := range view.Servers() {
		w.Servers = append(w.Servers, yuccabalancer.Server{
			Name: i.Name, Service: serviceName, Region: i.Region, Addr: i.Addr, Slots: i.Slots, Draining: i.Leaving,
		})
	}
	for _, e := range view.Entries() {
		w.Entries = append(w.Entries, e.Name)
	}
	p.core.Update(w)
}

func (p *placed) ask(r *request) {
	now := p.sim.time()
	choice := p.core.Ask(yuccaadmission.Request{
		Now:           now,
		Service:       serviceName,
		From:          regionName(entryRegion(p.entry)),
		Random:        r.dice,
		Avoid:         r.avoid,
		Object:        objectHash(r.object),
		LatencyBudget: p.sim.set.Workload.LatencyTarget,
		Deadline:      now.Add(4 * p.sim.set.Workload.LatencyTarget),
	})
	if choice.Kind != yuccaerror.None {
		p.sim.shed(r)
		return
	}
	r.state = choice
	p.sim.send(r, p.sim.byName[choice.Server()])
}

func (p *placed) done(r *request, o outcome) {
	result := yuccaadmission.Result{Now: p.sim.time(), Declined: o.declined, NoResponse: o.unreachable || o.broken, Took: p.sim.now - r.sent}
	result.Succeeded = !o.declined && !result.NoResponse
	if result.Succeeded {
		load := r.load
		result.Load = &load
	}
	p.core.Done(r.state.(yuccabalancer.Choice), result)
}

// hashed is a policy that takes the servers of the own region in the object's
// order, without regard to load or, with room, the first that has a slot free as
// far as the entry knows.
type hashed struct {
	sim   *sim
	entry int
	room  bool
	list  []*server
	busy  map[string]int
}

func (p *hashed) update(_ yuccaplan.Plan, _ yuccarule.Rules, view yuccamembership.View) {
	p.list = nil
	for _, i := range view.Servers() {
		if !i.Leaving {
			p.list = append(p.list, p.sim.byName[i.Name])
		}
	}
}

func (p *hashed) ask(r *request) {
	var best *server
	var top uint64
	for _, own := range []bool{true, false} {
		for _, s := range p.list {
			near := s.region == entryRegion(p.entry)
			full := p.room && p.busy[s.Name] >= s.Slots
			rank := objectHash(r.object ^ xxhash.Sum64String(s.Name))
			if near == own && !full && !tried(r, s) && (best == nil || rank > top) {
				best, top = s, rank
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		p.sim.shed(r)
		return
	}
	p.busy[best.Name]++
	p.sim.send(r, best)
}

func tried(r *request, s *server) bool {
	for _, name := range r.avoid {
		if name == s.Name {
			return true
		}
	}
	return false
}

func (p *hashed) done(r *request, _ outcome) { p.busy[r.server.Name]-- }

func objectHash(object uint64) uint64 { return xxhash.Sum64String(strconv.FormatUint(object, 16)) }
