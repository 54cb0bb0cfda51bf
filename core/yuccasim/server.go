package yuccasim

import (
	"cmp"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccastore"
)

// server is a fake backend server. Requests in excess of its slots wait in its
// queue; while the queue is full it declines requests.
type server struct {
	yuccastore.Instance
	// index is the server's index in sim.servers.
	index int
	// region is the index of the region.
	region int
	// running is the number of requests in slots.
	running int
	// queue holds the requests that wait for a slot, oldest first.
	queue []*request
	// meanWork is the mean time that a request takes with warm caches.
	meanWork time.Duration
	// coldLeft is the number of requests that cold caches still slow down.
	coldLeft int
	// cache holds the objects that the server has cached.
	cache objectCache
	// falseReports makes the server report a load of zero.
	falseReports bool
	// noisy is set while other work slows the server down.
	noisy   bool
	stopped bool
	// history holds one load sample per reportInterval, oldest first.
	history []int
	// leavingAt is the virtual time at which the server started to drain; zero means
	// never.
	leavingAt time.Duration
	// drainedAt is the virtual time at which the leaving server had no request left.
	drainedAt time.Duration
}

// load returns the number of running and queued requests.
func (s *server) load() int { return s.running + len(s.queue) }

// reportedLoad returns the load as it was age reports ago, or zero if there is no
// such report.
func (s *server) reportedLoad(age int) int {
	if s.falseReports || len(s.history) <= age {
		return 0
	}
	return s.history[len(s.history)-1-age]
}

// arrive handles the arrival of a request at a server.
func (m *sim) arrive(s *server, r *request) {
	switch {
	case s.stopped:
		m.reply(r, outcome{unreachable: true})
	case s.running < s.Slots:
		m.start(s, r)
	case len(s.queue) < cmp.Or(m.setup.Workload.QueuePerSlot, queuePerSlot)*s.Slots:
		s.queue = append(s.queue, r)
	default:
		r.load = m.reportLoad(s)
		m.countArrival(r, true)
		m.reply(r, outcome{declined: true})
	}
	m.recordExcess(s)
}

// countArrival counts an attempt that a server accepted or declined.
func (m *sim) countArrival(r *request, declined bool) {
	if !m.measured(r) {
		return
	}
	m.result.Sent++
	if declined {
		m.result.Declined++
	}
}

// reportLoad returns the load that a server reports.
func (m *sim) reportLoad(s *server) yuccaadmission.Load {
	load := yuccaadmission.Load{Running: s.running, Waiting: len(s.queue), Slots: s.Slots}
	if n := m.setup.Workload.Noise; n.Reported {
		load.Slowness = 1
		if s.noisy {
			load.Slowness = n.Factor
		}
	}
	return load
}

// start runs a request in a free slot.
func (m *sim) start(s *server, r *request) {
	m.countArrival(r, false)
	s.running++
	m.addRunning(1)
	m.after(m.serviceTime(s, r), func() { m.finish(s, r) })
}

// finish sends the response of a request and starts the next one in the queue.
func (m *sim) finish(s *server, r *request) {
	s.running--
	m.addRunning(-1)
	if s.stopped {
		m.reply(r, outcome{broken: true})
		return
	}
	r.load = m.reportLoad(s)
	m.reply(r, outcome{})
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		m.start(s, next)
	}
	if s.leavingAt > 0 && s.load() == 0 {
		s.drainedAt = m.now
	}
}

// serviceTime returns how long a request takes on a server: half of the mean is
// fixed, half is exponentially distributed. A cached object reduces the time, cold
// caches increase it.
func (m *sim) serviceTime(s *server, r *request) time.Duration {
	d := time.Duration((0.5 + 0.5*r.size) * float64(s.meanWork))
	if r.class.Work > 0 {
		d = time.Duration(float64(d) * float64(r.class.Work) / float64(m.setup.Service.Work))
	}
	if r.outlier {
		d = time.Duration(float64(d) * m.setup.Workload.Outliers.Factor)
	}
	if s.noisy {
		d = time.Duration(float64(d) * m.setup.Workload.Noise.Factor)
	}
	if m.setup.Workload.Objects > 0 && s.cache.touch(r.object, m.setup.Workload.CacheSize) {
		d = time.Duration(float64(d) * (1 - m.setup.Workload.CacheSaving))
	}
	if s.coldLeft > 0 {
		s.coldLeft--
		d *= coldFactor
	}
	return d
}

// kill stops a server. Its queued requests fail now, its running ones when they
// would have finished.
func (m *sim) kill(s *server) {
	s.stopped = true
	for _, r := range s.queue {
		m.reply(r, outcome{broken: true})
	}
	s.queue = nil
}
