package yuccabalancer

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaoverload"
	"yuccawell.example/core/yuccaquota"
	"yuccawell.example/core/yuccaswitch"
)

const (
	// minRetryAfter is the shortest delay after which a rejected caller is
	// asked to retry.
	minRetryAfter = yuccaoverload.MinReturn
	// maxRetryAfter is the longest delay after which a rejected caller is
	// asked to retry.
	maxRetryAfter = yuccaoverload.MaxReturn
	// maxShiftPerSecond is the greatest part of a region's requests that may
	// move to another region within a second.
	maxShiftPerSecond = 0.04
)

// Core chooses servers for requests and keeps the load and latency
// statistics that the choices depend on. It is not safe for concurrent use;
// see Picker. Make one with NewCore.
type Core struct {
	// location is where this entry is.
	location Location
	// topology is the last topology that Update received.
	topology Topology
	// servers holds the state of each server, by Server.key.
	servers map[string]*serverState
	// byName holds the states of each server by its name, one for each of its services.
	byName map[string][]*serverState
	// pools holds the servers and statistics of each service, by name.
	pools map[string]*pool
	// division divides the rates that hold for all entries together.
	division yuccaquota.Division
	// notices holds what servers say about themselves, by the name of the server.
	notices map[string]Notice
	// senders holds the other entries that have said that they are senders of a server
	// that names a limit, by the name of the server.
	senders map[string][]string
	// unlisted holds the hold-offs of servers that are not listed, by name.
	unlisted map[string]unlistedHoldOff
	// parts are the mechanisms that are in use.
	parts parts
}

// NewCore returns a Core that has no servers.
func NewCore(p Location) *Core { return NewCoreWithout(p, yuccaswitch.Set{}) }

// NewCoreWithout returns a Core that has no servers and does without the mechanisms that are
// off.
func NewCoreWithout(p Location, off yuccaswitch.Set) *Core {
	return &Core{
		parts:    newParts(off),
		location: p,
		servers:  map[string]*serverState{},
		pools:    map[string]*pool{},
		division: yuccaquota.New(p.Entry, nil),
		notices:  map[string]Notice{},
		senders:  map[string][]string{},
		unlisted: map[string]unlistedHoldOff{},
	}
}

// Choice is the result of Core.Choose. Its server is set unless the request was
// rejected.
type Choice struct {
	// server is the chosen server; nil if the request was rejected.
	server *serverState
	// Reason says why the server was chosen, or that the request was
	// rejected.
	Reason Reason
	// Kind says why the request was rejected; it is None when a server was
	// chosen.
	Kind yuccaerror.Kind
	// RetryAfter is how long a rejected caller should wait before a retry.
	RetryAfter time.Duration
	// Excluded counts, if no server was eligible, why none was.
	Excluded Exclusions
	// Warm says that this entry has recently sent a request for the same
	// object to the server.
	Warm bool
	// Queued says that the request was expected to wait for a slot.
	Queued bool
	// latencyBudget is the request's latency budget; zero means unknown.
	latencyBudget time.Duration
	// hasObject is set if the request was about an object.
	hasObject bool
}

// cacheState returns what was known about the object on the chosen server.
func (c Choice) cacheState() cacheState {
	switch {
	case !c.hasObject:
		return cacheUnused
	case c.Warm:
		return cacheWarm
	case c.Reason == ByObject:
		return cacheShared
	}
	return cacheCold
}

// Server returns the name of the chosen server. It must not be called on the
// choice of a rejected request.
func (c Choice) Server() string { return c.server.Name }

// Reason says how a server was chosen.
type Reason string

// The reasons for a choice.
const (
	// ByObject is the affinity server of the object: the one with the
	// highest rendezvous score among the healthy servers of its region.
	ByObject Reason = "object"
	// ByLoad is another server of the same region that costs less than the
	// affinity server, for example because that one is full.
	ByLoad Reason = "room"
	// BySpillover is a server of another region than the object's.
	BySpillover Reason = "overflow"
	// Refused means that the request was rejected.
	Refused Reason = "refused"
)

// Update replaces the topology. Servers that keep their name and address
// keep their statistics and in-flight counts.
func (c *Core) Update(w Topology) {
	sameServers := w.Version != 0 && w.Version == c.topology.Version
	c.topology = w
	c.division = c.division.WithEntries(w.Entries).WithCandidates(w.Large)
	if sameServers {
		c.updateSharedRates()
	} else {
		c.replaceServers(w.Servers)
	}
	for _, p := range c.pools {
		c.updateSlots(p)
		if !p.used {
			p.near = initialSplit(c.location.Region, p.slots)
			p.common = evenSplit(p.slots)
		}
	}
}

// updateSharedRates updates this entry's part of the rates that it shares with other entries. A
// start of a large fleet changes its list of entries many times a second, and most servers
// have no such rate.
func (c *Core) updateSharedRates() {
	for _, s := range c.servers {
		if !s.SlowStartUntil.IsZero() {
			s.setServer(s.Server, c.slowStartRate(s.Server), c.parts.newPace)
		}
		if _, ok := c.notices[s.Name]; ok {
			c.applyNotice(s)
		}
	}
}

// replaceServers replaces the servers.
func (c *Core) replaceServers(all []Server) {
	servers := map[string]*serverState{}
	byName := map[string][]*serverState{}
	pools := map[string]*pool{}
	for _, s := range all {
		state := c.servers[s.key()]
		if state == nil || state.Addr != s.Addr || state.Run != s.Run {
			state = newServerState(s)
			state.holdOff = c.unlistedHoldOff(s)
			state.setPace(c.initialPace(s, c.servers[s.key()] != nil))
		}
		state.setServer(s, c.slowStartRate(s), c.parts.newPace)
		byName[s.Name] = append(byName[s.Name], state)
		c.applyNotice(state)
		servers[s.key()] = state
		p := pools[s.Service]
		if p == nil {
			p = c.poolWithoutServers(s.Service)
			pools[s.Service] = p
		}
		p.regions[s.Region] = append(p.regions[s.Region], state)
		state.region = p.regionLoad(s.Region)
	}
	c.keepHoldOffs(byName)
	c.servers, c.byName, c.pools = servers, byName, pools
}

// slowStartRate returns this entry's part of the request rate that a server receives
// during slow start, in requests a second.
func (c *Core) slowStartRate(s Server) float64 {
	if s.SlowStartUntil.IsZero() {
		return 0
	}
	return c.division.ToSenders("cold "+s.Name, c.topology.SlowStartRates[s.Service])
}

// key identifies the server of a service.
func (s Server) key() string { return s.Service + "/" + s.Name }

// poolWithoutServers returns a pool for the service without servers, with
// the statistics of its present pool if there is one.
func (c *Core) poolWithoutServers(service string) *pool {
	p := c.parts.newPool()
	if old := c.pools[service]; old != nil {
		*p = *old
		p.regions, p.slots = map[string][]*serverState{}, map[string]float64{}
	}
	return p
}

// acceptsRequests reports whether the server is neither draining, nor about to exit, nor
// in an evacuated failure domain.
func (c *Core) acceptsRequests(s *serverState) bool {
	return !s.Draining && !s.leaving && !c.topology.Evacuated[s.Domain]
}

// Rebalance moves each service's traffic split toward the one that the
// demand calls for, by no more than maxShiftPerSecond allows for the elapsed
// time. The demand is given by service.
func (c *Core) Rebalance(demand map[string]Demand, elapsed time.Duration) {
	for service, p := range c.pools {
		c.updateSlots(p)
		goal := Spread(c.location.Region, demand[service], p.slots)
		if len(goal) > 0 && p.used {
			step := c.parts.maxShiftPerSecond * elapsed.Seconds()
			p.near = p.near.Toward(goal, step)
			p.common = p.common.Toward(evenSplit(p.slots), step)
		}
	}
}

// MeanInFlight returns each service's mean number of in-flight requests
// since the last call. Requests that were rejected because all servers were too busy count
// for as long as they would have run, so that the demand of an overloaded region exceeds its
// slots, and others take a part of it.
func (c *Core) MeanInFlight(now time.Time) map[string]float64 {
	all := map[string]float64{}
	for name, p := range c.pools {
		all[name] = p.takeMeanInFlight(now)
	}
	return all
}

// Unblock ends the exclusion of all servers that could not be reached. See
// Picker.Unblock.
func (c *Core) Unblock() {
	for _, s := range c.servers {
		s.connectFailures, s.blockedUntil = 0, time.Time{}
	}
}

// Choose chooses a server for a request and counts the request as in flight
// there. Each choice with a server must be passed to Done once.
func (c *Core) Choose(req yuccaadmission.Request) Choice {
	req = c.parts.request(req)
	p := c.pools[req.Service]
	if p == nil {
		return Choice{Reason: Refused, Kind: yuccaerror.NoServer, RetryAfter: maxRetryAfter}
	}
	choice := c.choose(p, req)
	p.chosen[choice.Reason]++
	if choice.server != nil {
		choice.Warm = choice.server.recent.has(req.Now, req.Object)
		choice.server.assign(req.Now, req.Object, p.latency.warm)
		p.addInFlight(req.Now, 1)
		p.used = true
	}
	return choice
}

// choose returns the best server of the object's region, or one of another
// region if spillover finds it. When the request would be too late on that
// server, it is rejected.
func (c *Core) choose(p *pool, req yuccaadmission.Request) Choice {
	key := req.Object
	if key == 0 {
		key = req.Random
	}
	usable := func(s *serverState) bool { return c.eligible(s, req) }
	regions := p.regionOrder(req, key, usable)
	if len(regions) == 0 {
		return Choice{Reason: Refused, Kind: yuccaerror.NoServer, RetryAfter: c.retryAfter(p, req), Excluded: c.exclusions(p, req)}
	}
	p.spilloverTokens = min(c.parts.spilloverBurst, p.spilloverTokens+spilloverRatio)
	best := c.bestServer(p, regions[0], req, key, c.affinityServer(p, regions[0], req, key))
	reason := ByObject
	if !best.preferred {
		reason = ByLoad
	}
	if o, ok := c.spillover(p, regions[1:], req, key, best); ok {
		best, reason = o, BySpillover
	}
	tooLate := best.tooLate(p, req)
	if req.LatencyBudget > 0 {
		p.classes.Add(req.Now, req.Priority, !tooLate, req.LatencyBudget-best.latency+best.queueWait)
	}
	if tooLate {
		p.addRejected()
		return Choice{Reason: Refused, Kind: yuccaerror.Shed, RetryAfter: p.returnAfter(req, best)}
	}
	if reason == BySpillover {
		p.spilloverTokens--
	}
	return Choice{server: best.server, Reason: reason, Queued: best.queueWait > 0, latencyBudget: req.LatencyBudget, hasObject: req.Object != 0}
}

// spillover returns the best server of the other regions if the best one of the object's
// region has just declined a request or would exceed the latency budget, a spillover token
// is available, and the other server costs less. A rejection counts as another
// latency budget, which is about how long a rejected caller waits.
func (c *Core) spillover(p *pool, others []string, req yuccaadmission.Request, key uint64, best candidate) (candidate, bool) {
	if p.spilloverTokens < 1 || req.LatencyBudget <= 0 || !best.full && best.latency <= req.LatencyBudget {
		return candidate{}, false
	}
	limit := best.cost
	if best.tooLate(p, req) {
		limit += req.LatencyBudget
	}
	o := c.bestServerElsewhere(p, others, req, key)
	return o, o.server != nil && !o.full && o.cost+crossRegionDelay < limit
}

// Done records the result of a request and removes it from the in-flight
// count.
func (c *Core) Done(choice Choice, r yuccaadmission.Result) {
	r = c.parts.result(r)
	s := choice.server
	p := c.pools[s.Service]
	if p == nil {
		p = c.parts.newPool()
	}
	recovers := s.recovers(r)
	s.finish(r, p.latency.mean)
	c.updatePace(choice, r, recovers)
	if r.HoldOff > 0 {
		c.holdOffRun(r.Now, s, r.HoldOff)
	}
	if r.Succeeded && choice.cacheState() == cacheWarm && !choice.Queued {
		s.warmLatency = ewma(s.warmLatency, usualTime(r.TimeToHeader, r.Load), latencyWeight)
	}
	p.addInFlight(r.Now, -1)
	usual := r
	usual.TimeToHeader = usualTime(r.TimeToHeader, r.Load)
	p.observe(usual, choice)
	if cause := c.lateCause(choice, r); cause != "" {
		p.late[cause]++
	}
}
