package yuccasim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccaretry"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// policy chooses servers for the requests of one entry. For each request it calls
// send or recordShed of the simulation, immediately or later.
type policy interface {
	// admit handles a new request or a retry.
	admit(r *request)
	// done handles the outcome of an attempt.
	done(r *request, o outcome)
	// update applies a new plan, the rules and the list of instances.
	update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccamembership.View)
}

// request is one caller's request.
type request struct {
	// arrived is when the caller sent the request.
	arrived time.Duration
	// delivered is when the request came to its entry, the last time if it came back.
	delivered time.Duration
	// sent is when the entry sent the last attempt.
	sent time.Duration
	// entry is the index of the entry.
	entry int
	// server is the server of the last attempt.
	server *server
	// avoid holds the names of the servers of all attempts.
	avoid []string
	// random is the random number for the policy's choice; each retry gets a new one.
	random uint64
	// size is the exponentially distributed part of the work, with a mean of 1.
	size float64
	// state is the policy's data for the current attempt.
	state any
	// object is the number of the object that the request refers to, or 0.
	object uint64
	// class is the class of the request.
	class Class
	// classIndex is the index of class.
	classIndex int
	// outlier is set for a request that takes longer.
	outlier bool
	// returned is set once the caller has come back after a rejection.
	returned bool
	// retryAfter is how long the caller was last told to wait.
	retryAfter time.Duration
	// load is the load that the server reported with its response.
	load yuccaadmission.Load
}

// outcome is the result of one attempt. The zero value means success.
type outcome struct {
	declined    bool // the server's queue was full
	unreachable bool // the server was stopped when the request arrived
	broken      bool // the server stopped while it had the request
}

// sim is one run of the simulation.
type sim struct {
	clock
	setup Setup
	// arrivalRand generates the requests, which are the same for every policy.
	arrivalRand *rand.Rand
	// policyRand generates the random numbers of the policies and retries.
	policyRand *rand.Rand
	rules      yuccarule.Rules
	plan       yuccaplan.Plan
	// servers holds the current servers by index.
	servers []*server
	// serversByName also holds servers that have been replaced.
	serversByName map[string]*server
	// policies holds the policy of each entry.
	policies []policy
	// alive is true for each entry that is running.
	alive []bool
	// lostRegion is the index of the lost region, or -1.
	lostRegion int
	// leaving holds the names of the draining servers.
	leaving map[string]bool

	// idleConns counts the idle connections of each entry by server name.
	idleConns []map[string]int
	// measureFrom is the virtual time from which requests are measured.
	measureFrom time.Duration
	// measureUntil is the virtual time at which the measurement ends.
	measureUntil time.Duration
	result       Result
	// histogram holds the measured latencies in microseconds.
	histogram *hdrhistogram.Histogram
	// retries bounds the additional attempts of each entry.
	retries []yuccaretry.Budget
	// classRand generates the classes and outliers and the noise of the servers.
	classRand *rand.Rand
	// running is the number of requests running on all servers.
	running int
	// runningTime is the integral of running over the measured time, in nanoseconds.
	runningTime float64
	// runningSince is the virtual time at which running last changed.
	runningSince time.Duration
	// inFlight counts the requests sent to each region and not yet answered.
	inFlight [regionCount]int
}

// newSim returns a run that is ready to start.
func newSim(set Setup) *sim {
	length := set.length()
	m := &sim{
		setup:         set,
		arrivalRand:   rand.New(rand.NewPCG(set.Seed, 1)),
		policyRand:    rand.New(rand.NewPCG(set.Seed, 2)),
		serversByName: map[string]*server{},
		lostRegion:    -1,
		leaving:       map[string]bool{},

		measureFrom:  length / 20,
		measureUntil: length * 9 / 10,
		histogram:    hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	m.classRand = rand.New(rand.NewPCG(set.Seed, 3))
	m.rules = makeRules()
	for i := range set.Service.Servers {
		m.addServer(i, fmt.Sprintf("s%02d", i))
	}
	for e := range set.entries() {
		m.alive = append(m.alive, true)
		m.idleConns = append(m.idleConns, map[string]int{})
		m.retries = append(m.retries, yuccaretry.New(virtualStart))
		m.policies = append(m.policies, newPolicy(m, e))
	}
	return m
}

// makeRules returns rules with all regions and one service that runs in each.
func makeRules() yuccarule.Rules {
	r := yuccarule.Rules{}
	var names []string
	for i := range regionCount {
		names = append(names, regionName(i))
		r.Regions = append(r.Regions, yuccarule.Region{Name: regionName(i), Domains: []string{regionName(i) + "1"}})
	}
	r.Services = []yuccarule.Service{{Name: serviceName, Hosts: []string{serviceName}, Regions: names, Priority: 1}}
	return r
}

// serviceName is the name of the only service in the rules.
const serviceName = "s"

// addServer adds a server with index i, or replaces the one that has this index.
func (m *sim) addServer(i int, name string) *server {
	region := m.setup.regionOf(i)
	s := &server{index: i, region: region, meanWork: m.setup.Service.Work}
	s.Instance = yuccastore.Instance{Name: name, Kind: yuccastore.KindServer, Addr: name, Region: regionName(region),
		Slots: m.setup.Service.Slots, Conns: 300, Services: []string{serviceName}}
	if i < len(m.servers) {
		m.servers[i] = s
	} else {
		m.servers = append(m.servers, s)
	}
	m.serversByName[name] = s
	return s
}

// run simulates the run and returns its result.
func (m *sim) run() Result {
	length := m.setup.length()
	m.publishView(0)
	m.scheduleFaults(length)
	m.every(reportInterval, length, func() {
		for _, s := range m.servers {
			s.history = append(s.history, s.load())
		}
	})
	if n := m.setup.Workload.Noise; n.Interval > 0 {
		m.every(n.Interval, length, func() {
			for _, s := range m.servers {
				s.noisy = m.classRand.Float64() < n.Share
			}
		})
	}
	m.after(0, m.nextArrival)
	m.clock.run()
	return m.summary()
}

// nextArrival generates one request and schedules the next one.
func (m *sim) nextArrival() {
	if m.now >= m.setup.length() {
		return
	}
	m.newRequest()
	mean := float64(time.Second) / m.setup.Service.rate(m.setup.utilization(m.now))
	m.after(time.Duration(m.arrivalRand.ExpFloat64()*mean), m.nextArrival)
}

// newRequest generates a request in a random region and delivers it to an entry of
// that region.
func (m *sim) newRequest() {
	region := m.callerRegion()
	r := &request{class: Class{Target: m.setup.Workload.LatencyTarget, Value: 1}, arrived: m.now, random: m.arrivalRand.Uint64(), size: m.arrivalRand.ExpFloat64()}
	if n := m.setup.Workload.Objects; n > 0 {
		r.object = m.drawObject(n)
	}
	if m.setup.Workload.hasClasses() {
		m.setClass(r)
	}
	var entries []int
	for e := range m.entries() {
		if entryRegion(e) == region {
			entries = append(entries, e)
		}
	}
	r.entry = entries[m.arrivalRand.IntN(len(entries))]
	m.after(callerDelay, func() { m.deliver(r) })
}

// callerRegion returns a random region for a request.
func (m *sim) callerRegion() int {
	w := m.setup.Workload
	even := m.arrivalRand.IntN(m.setup.Service.Servers) % regionCount
	if w.Swing.Period > 0 {
		at, sum := m.arrivalRand.Float64()*regionCount, 0.0
		for r := range regionCount {
			if sum += w.Swing.weight(r, m.now); at < sum {
				return r
			}
		}
	}
	if w.UnevenRegions {
		return m.arrivalRand.IntN(regionCount)
	}
	return even
}

// drawObject returns the number of a random object out of n.
func (m *sim) drawObject(n int) uint64 {
	if skew := m.setup.Workload.Skew; skew > 0 {
		return uint64(float64(n)*math.Pow(m.arrivalRand.Float64(), skew)) + 1
	}
	return uint64(m.arrivalRand.IntN(n)) + 1
}

// setClass draws the class of a request and whether it is an outlier.
func (m *sim) setClass(r *request) {
	draw := m.classRand.Float64()
	for i, c := range m.setup.Workload.Classes {
		if r.classIndex, r.class = i, c; draw < c.Share {
			break
		}
		draw -= c.Share
	}
	r.outlier = m.classRand.Float64() < m.setup.Workload.Outliers.Share
}

// timeout returns how long the caller waits for the response.
func (r *request) timeout() time.Duration { return timeoutTargets * r.class.Target }

// reject ends a request that was rejected, or lets its caller come back.
func (m *sim) reject(r *request) {
	left := r.timeout() - (m.now - r.arrived)
	if !m.setup.Workload.Returns || r.returned || left <= 0 {
		m.recordShed(r)
		return
	}
	r.returned, r.avoid = true, nil
	r.random = m.policyRand.Uint64()
	if m.measured(r) {
		m.result.Returned++
	}
	wait := min(cmp.Or(r.retryAfter, defaultReturn), time.Duration(returnShare*float64(left)))
	r.retryAfter = 0
	m.after(2*callerDelay+wait, func() { m.deliver(r) })
}

// mayRetry reports whether a declined request may be sent to another server.
func (m *sim) mayRetry(r *request) bool {
	if len(r.avoid) >= maxAttempts {
		return false
	}
	if !m.setup.Workload.Returns {
		return true
	}
	var ok bool
	m.retries[r.entry], ok = m.retries[r.entry].Update(m.time(), yuccaretry.Retry)
	return ok
}

// updateRetries passes an event to the retry budget of an entry.
func (m *sim) updateRetries(e int, event yuccaretry.Event) {
	m.retries[e], _ = m.retries[e].Update(m.time(), event)
}

// deliver passes a request to its entry, or after callerTimeout to another one if
// that entry is stopped. Its latency then counts from the second attempt of the
// caller.
func (m *sim) deliver(r *request) {
	r.delivered = m.now
	m.updateRetries(r.entry, yuccaretry.Request)
	if m.alive[r.entry] {
		m.policies[r.entry].admit(r)
		return
	}
	m.after(callerTimeout, func() {
		r.arrived = m.now - callerDelay
		for step := 1; step <= m.entries(); step++ {
			e := (r.entry + step*regionCount) % m.entries()
			if m.alive[e] {
				r.entry = e
				m.policies[e].admit(r)
				return
			}
		}
		m.recordShed(r)
	})
}

// send sends a request to a server. A new connection adds connectDelay.
func (m *sim) send(r *request, s *server) {
	r.server, r.sent = s, m.now
	r.avoid = append(r.avoid, s.Name)
	d := networkDelay(r.entry, s)
	if m.idleConns[r.entry][s.Name] > 0 {
		m.idleConns[r.entry][s.Name]--
	} else {
		d += connectDelay
	}
	m.inFlight[s.region]++
	m.after(d, func() { m.arrive(s, r) })
}

// networkDelay returns the one-way network delay between an entry and a server.
func networkDelay(entry int, s *server) time.Duration {
	if entryRegion(entry) == s.region {
		return nearDelay
	}
	return farDelay
}

// reply sends the outcome of an attempt back to the entry. The request fails if the
// entry is stopped by then.
func (m *sim) reply(r *request, o outcome) {
	s := r.server
	m.after(networkDelay(r.entry, s), func() {
		m.inFlight[s.region]--
		if !m.alive[r.entry] {
			m.recordFailure(r)
			return
		}
		if !o.unreachable && !o.broken {
			m.idleConns[r.entry][s.Name]++
		}
		m.policies[r.entry].done(r, o)
		m.finishAttempt(r, o)
	})
}

// finishAttempt records the result of a request or retries it. A declined or
// unreachable request is retried up to maxAttempts; one that may have run is not.
func (m *sim) finishAttempt(r *request, o outcome) {
	switch {
	case o.broken:
		m.recordFailure(r)
	case o.declined || o.unreachable:
		m.updateRetries(r.entry, yuccaretry.Rejected)
		if !m.mayRetry(r) {
			m.reject(r)
			return
		}
		r.random = m.policyRand.Uint64()
		m.policies[r.entry].admit(r)
	default:
		m.updateRetries(r.entry, yuccaretry.Served)
		m.recordAnswer(r)
	}
}

// entries returns the number of entries.
func (m *sim) entries() int { return m.setup.entries() }
