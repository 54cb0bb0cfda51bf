package yuccasim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// policy decides for one entry. It calls send or shed of the simulation, at
// once or later.
type policy interface {
	ask(r *request)
	done(r *request, o outcome)
	update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccamembership.View)
}

// request is one caller's request.
type request struct {
	arrived time.Duration
	sent    time.Duration
	entry   int
	server  *server
	avoid   []string
	dice    uint64
	// size is the random part of the work.
	size  float64
	state any
	// object is what the request is about, load what the server told with its
	// answer.
	object uint64
	load   yuccaadmission.Load
}

// outcome is what came of one try; its zero value is an answer.
type outcome struct {
	declined, unreachable, broken bool
}

// sim is one run.
type sim struct {
	clock
	set Setup
	// rand is for arrivals, which are the same for every policy; dice is for
	// what policies draw.
	rand     *rand.Rand
	dice     *rand.Rand
	rules    yuccarule.Rules
	plan     yuccaplan.Plan
	servers  []*server
	byName   map[string]*server
	policies []policy
	alive    [entryCount]bool
	lost     int
	leaving  map[string]bool

	idle [entryCount]map[string]int
	// begin and end bound what is measured.
	begin, end time.Duration
	result     Result
	histogram  *hdrhistogram.Histogram
	running    int
	area       float64
	changed    time.Duration
	flying     [regionCount]int
}

func newSim(set Setup) *sim {
	length := set.length()
	m := &sim{
		set:     set,
		rand:    rand.New(rand.NewPCG(set.Seed, 1)),
		dice:    rand.New(rand.NewPCG(set.Seed, 2)),
		byName:  map[string]*server{},
		lost:    -1,
		leaving: map[string]bool{},

		begin:     length / 20,
		end:       length * 9 / 10,
		histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	m.rules = makeRules()
	for i := range set.Service.Servers {
		m.addServer(i, fmt.Sprintf("s%02d", i))
	}
	for e := range entryCount {
		m.alive[e] = true
		m.idle[e] = map[string]int{}
		m.policies = append(m.policies, newPolicy(m, e))
	}
	return m
}

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

const serviceName = "s"

func (m *sim) addServer(i int, name string) *server {
	region := m.set.regionOf(i)
	s := &server{at: i, region: region, work: m.set.Service.Work}
	s.Instance = yuccastore.Instance{Name: name, Kind: yuccastore.KindServer, Addr: name, Region: regionName(region),
		Slots: m.set.Service.Slots, Conns: 300, Services: []string{serviceName}}
	if i < len(m.servers) {
		m.servers[i] = s
	} else {
		m.servers = append(m.servers, s)
	}
	m.byName[name] = s
	return s
}

// run carries the run out and returns its result.
func (m *sim) run() Result {
	length := m.set.length()
	m.publish(0)
	m.schedule(length)
	m.every(reportInterval, length, func() {
		for _, s := range m.servers {
			s.history = append(s.history, s.load())
		}
	})
	m.after(0, m.next)
	m.clock.run()
	return m.summary()
}

// next lets one request arrive and plans the one after it.
func (m *sim) next() {
	if m.now >= m.set.length() {
		return
	}
	m.caller()
	mean := float64(time.Second) / m.set.Service.rate(m.set.part(m.now))
	m.after(time.Duration(m.rand.ExpFloat64()*mean), m.next)
}

func (m *sim) caller() {
	region := m.rand.IntN(m.set.Service.Servers) % regionCount
	if m.set.Workload.Uneven {
		region = m.rand.IntN(regionCount)
	}
	r := &request{arrived: m.now, dice: m.rand.Uint64(), size: m.rand.ExpFloat64()}
	if n := m.set.Workload.Objects; n > 0 {
		r.object = uint64(m.rand.IntN(n)) + 1
	}
	var list []int
	for e := range entryCount {
		if entryRegion(e) == region {
			list = append(list, e)
		}
	}
	r.entry = list[m.rand.IntN(len(list))]
	m.after(callerDelay, func() { m.enter(r) })
}

// enter hands a request to its entry, or after a timeout to another one.
func (m *sim) enter(r *request) {
	if m.alive[r.entry] {
		m.policies[r.entry].ask(r)
		return
	}
	m.after(callerTimeout, func() {
		r.arrived = m.now - callerDelay
		for step := 1; step <= entryCount; step++ {
			e := (r.entry + step*regionCount) % entryCount
			if m.alive[e] {
				r.entry = e
				m.policies[e].ask(r)
				return
			}
		}
		m.shed(r)
	})
}

// send puts a request on its way to a server.
func (m *sim) send(r *request, s *server) {
	r.server, r.sent = s, m.now
	r.avoid = append(r.avoid, s.Name)
	d := delay(r.entry, s)
	if m.idle[r.entry][s.Name] > 0 {
		m.idle[r.entry][s.Name]--
	} else {
		d += connectDelay
	}
	m.flying[s.region]++
	m.after(d, func() { m.arrive(s, r) })
}

func delay(entry int, s *server) time.Duration {
	if entryRegion(entry) == s.region {
		return nearDelay
	}
	return farDelay
}

// reply takes the outcome back to the entry.
func (m *sim) reply(r *request, o outcome) {
	s := r.server
	m.after(delay(r.entry, s), func() {
		m.flying[s.region]--
		if !m.alive[r.entry] {
			m.fail(r)
			return
		}
		if !o.unreachable && !o.broken {
			m.idle[r.entry][s.Name]++
		}
		m.policies[r.entry].done(r, o)
		m.settle(r, o)
	})
}

func (m *sim) settle(r *request, o outcome) {
	switch {
	case o.broken:
		m.fail(r)
	case o.declined || o.unreachable:
		if len(r.avoid) >= maxTries {
			m.shed(r)
			return
		}
		r.dice = m.dice.Uint64()
		m.policies[r.entry].ask(r)
	default:
		m.answered(r)
	}
}
