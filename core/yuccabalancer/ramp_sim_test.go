package yuccabalancer_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
)

const (
	simStep     = 2 * time.Millisecond
	simSlots    = 6
	simQueue    = 18
	simWarm     = 60 * time.Millisecond
	simCold     = 200 * time.Millisecond
	simTarget   = 500 * time.Millisecond
	simCached   = 28
	simObjects  = 400
	simColdRate = 12
)

// simServer is a server with simSlots slots, a queue that is first come, first served, and
// a cache of the objects that it used last.
type simServer struct {
	running, waiting []simRequest
	cached           []uint64
	// slowness returns how many times longer than usual work takes; nil means 1.
	slowness func(now time.Duration) float64
	// failing tells whether responses are failures; nil means that none is.
	failing func(now time.Duration) bool
	// took holds, by second, how many requests arrived and how many of these were late,
	// rejected or failed.
	took, late []int
}

// simRequest is a request on a server.
type simRequest struct {
	core   *yuccabalancer.Core
	choice yuccabalancer.Choice
	object uint64
	sent   time.Duration
	end    time.Duration
}

// rampSim is a number of entries that send requests for objects of uneven popularity to
// servers.
type rampSim struct {
	topology yuccabalancer.Topology
	cores    []*yuccabalancer.Core
	servers  map[string]*simServer
	random   *rand.Rand
	now      time.Duration
	length   time.Duration
	// rate is the number of requests a second of all entries.
	rate float64
	// refused is the number of requests for which the entries found no server.
	refused int
}

func newRampSim(entries, servers int, rate float64, length time.Duration) *rampSim {
	m := &rampSim{topology: topology(servers, simSlots, "a"), servers: map[string]*simServer{}, random: rand.New(rand.NewPCG(1, 2)), rate: rate, length: length}
	m.topology.SlowStartRates = map[string]float64{"s": simColdRate}
	m.topology.Entries = nil
	for i := range entries {
		name := string(rune('e' + i))
		m.topology.Entries = append(m.topology.Entries, name)
		m.cores = append(m.cores, yuccabalancer.NewCore(yuccabalancer.Location{Entry: name, Region: "a", Domain: "a1"}))
	}
	for _, s := range m.topology.Servers {
		m.replace(s.Name)
	}
	m.publish()
	return m
}

// replace gives a server an empty cache and queue.
func (m *rampSim) replace(name string) *simServer {
	seconds := int(m.length/time.Second) + 1
	s := &simServer{took: make([]int, seconds), late: make([]int, seconds)}
	if old := m.servers[name]; old != nil {
		for _, r := range append(old.running, old.waiting...) {
			r.core.Done(r.choice, yuccaadmission.Result{Now: start.Add(m.now), NoResponse: true})
		}
		s.took, s.late = old.took, old.late
	}
	m.servers[name] = s
	return s
}

// restart replaces the server with the index by a run that is in slow start for some time.
func (m *rampSim) restart(i int, slowStart time.Duration) *simServer {
	listed := &m.topology.Servers[i]
	s := m.replace(listed.Name)
	listed.Run++
	listed.SlowStartUntil = start.Add(m.now + slowStart)
	m.publish()
	return s
}

func (m *rampSim) publish() {
	for _, c := range m.cores {
		w := m.topology
		w.Servers = slices.Clone(w.Servers)
		c.Update(w)
	}
}

// runUntil sends requests until a time.
func (m *rampSim) runUntil(end time.Duration) {
	zipf := rand.NewZipf(m.random, 1.1, 20, simObjects-1)
	for ; m.now < end; m.now += simStep {
		for _, listed := range m.topology.Servers {
			m.serve(m.servers[listed.Name])
		}
		for due := m.rate * simStep.Seconds(); due > 0; due-- {
			if m.random.Float64() < due {
				m.send(m.cores[m.random.IntN(len(m.cores))], zipf.Uint64()+1)
			}
		}
	}
}

// send has an entry choose a server and sends it the request.
func (m *rampSim) send(core *yuccabalancer.Core, object uint64) {
	req := request(m.now, object)
	req.LatencyBudget, req.Deadline = simTarget, req.Now.Add(2*time.Second)
	choice := core.Choose(req)
	if choice.Kind != yuccaerror.None {
		m.refused++
		return
	}
	s := m.servers[choice.Server()]
	second := int(m.now / time.Second)
	s.took[second]++
	r := simRequest{core: core, choice: choice, object: object, sent: m.now}
	switch {
	case s.failing != nil && s.failing(m.now):
		s.late[second]++
		core.Done(choice, yuccaadmission.Result{Now: start.Add(m.now), Failed: true, TimeToHeader: simStep})
	case len(s.waiting) >= simQueue:
		s.late[second]++
		core.Done(choice, yuccaadmission.Result{Now: start.Add(m.now), Failed: true, Declined: true, Load: s.load()})
	default:
		s.waiting = append(s.waiting, r)
		m.serve(s)
	}
}

// serve ends requests and starts waiting ones.
func (m *rampSim) serve(s *simServer) {
	for i := 0; i < len(s.running); i++ {
		r := s.running[i]
		if r.end > m.now {
			continue
		}
		s.running = slices.Delete(s.running, i, i+1)
		i--
		if m.now-r.sent > simTarget {
			s.late[int(r.sent/time.Second)]++
		}
		r.core.Done(r.choice, yuccaadmission.Result{Now: start.Add(m.now), Succeeded: true, TimeToHeader: m.now - r.sent, Load: s.load()})
	}
	for len(s.waiting) > 0 && len(s.running) < simSlots {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		work := simCold
		if i := slices.Index(s.cached, r.object); i >= 0 {
			work = simWarm
			s.cached = slices.Delete(s.cached, i, i+1)
		}
		s.cached = append(s.cached, r.object)
		s.cached = s.cached[max(0, len(s.cached)-simCached):]
		if s.slowness != nil {
			work = time.Duration(float64(work) * s.slowness(m.now))
		}
		r.end = m.now + work
		s.running = append(s.running, r)
	}
}

func (s *simServer) load() *yuccaadmission.Load {
	return &yuccaadmission.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: simSlots}
}

// between returns how many requests arrived from one second to another, and how many of
// these were late, rejected or failed.
func (s *simServer) between(from, to int) (took, late int) {
	for second := from; second < to; second++ {
		took += s.took[second]
		late += s.late[second]
	}
	return took, late
}
