package yuccasim

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccastore"
)

// server is a fake backend server: requests beyond its slots wait, and those
// beyond its queue are declined.
type server struct {
	yuccastore.Instance
	at      int
	region  int
	running int
	queue   []*request
	work    time.Duration
	// cold is how many requests are still slowed by cold caches.
	cold  int
	kept  kept
	lying bool
	dead  bool
	// history holds the load over time for reports that lag.
	history []int
	leaving time.Duration
	drained time.Duration
}

func (s *server) load() int { return s.running + len(s.queue) }

// report returns the number of busy slots as it was some reports ago.
func (s *server) report(ago int) int {
	if s.lying || len(s.history) <= ago {
		return 0
	}
	return s.history[len(s.history)-1-ago]
}

// arrive takes a request that has come over the network.
func (m *sim) arrive(s *server, r *request) {
	switch {
	case s.dead:
		m.reply(r, outcome{unreachable: true})
	case s.running < s.Slots:
		m.start(s, r)
	case len(s.queue) < queuePerSlot*s.Slots:
		s.queue = append(s.queue, r)
	default:
		m.reply(r, outcome{declined: true})
	}
	m.peak(s)
}

func (m *sim) start(s *server, r *request) {
	s.running++
	m.count(1)
	m.after(m.draw(s, r), func() { m.finish(s, r) })
}

func (m *sim) finish(s *server, r *request) {
	s.running--
	m.count(-1)
	if s.dead {
		m.reply(r, outcome{broken: true})
		return
	}
	r.load = yuccaadmission.Load{Running: s.running, Waiting: len(s.queue), Slots: s.Slots}
	m.reply(r, outcome{})
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		m.start(s, next)
	}
	if s.leaving > 0 && s.load() == 0 {
		s.drained = m.now
	}
}

// draw returns how long a request takes: half is fixed, half is exponential.
func (m *sim) draw(s *server, r *request) time.Duration {
	d := time.Duration((0.5 + 0.5*r.size) * float64(s.work))
	if m.set.Workload.Objects > 0 && s.kept.touch(r.object, m.set.Workload.CacheSize) {
		d = time.Duration(float64(d) * (1 - m.set.Workload.Gain))
	}
	if s.cold > 0 {
		s.cold--
		d *= coldFactor
	}
	return d
}

// kill ends a server and everything on it.
func (m *sim) kill(s *server) {
	s.dead = true
	for _, r := range s.queue {
		m.reply(r, outcome{broken: true})
	}
	s.queue = nil
}
