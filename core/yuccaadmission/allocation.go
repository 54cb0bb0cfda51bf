package yuccaadmission

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

const (
	// warmTime is how long a new server takes to get all of its slots used.
	warmTime = 5 * time.Second
	// failuresToEject is how many failures in a row eject a server.
	failuresToEject = 3
	// ejectTime is how long the first ejection lasts; each further one doubles.
	ejectTime    = time.Second
	maxEjectTime = 30 * time.Second
	// declineTime is how long a server that shed a request is left alone.
	declineTime = 50 * time.Millisecond
	// latencyGain is the weight of one answer in the moving average.
	latencyGain = 0.1
	// forgetTime is the half-life of the distance between a server's average
	// and that of its pool while the server is not used.
	forgetTime = 10 * time.Second
)

// server is what an entry knows of one backend server.
type server struct {
	yuccastore.Instance
	// since is when the server was first seen; zero when it was there first.
	since   time.Time
	latency time.Duration
	measure time.Time
	// failures counts failures since the last answer, ejections those in a row.
	failures  int
	ejections int
	// until is when a server that failed or shed may be used again.
	until   time.Time
	ejected bool
}

// seat is an entry's part of one server for one service.
type seat struct {
	*server
	pool *pool
	// units are the slots that the entry owns.
	units []int
	// lent and borrowed are the slots given to and taken from other entries.
	lent, borrowed int
	busy           int
}

// open returns how many slots may be used now. A new server's slots open one
// after the other, in the same order on every entry.
func (s *seat) open(now time.Time) int {
	own := len(s.units)
	if !s.since.IsZero() {
		if age := now.Sub(s.since); age < warmTime {
			own = s.warm(age)
		}
	}
	return own - s.lent + s.borrowed
}

func (s *seat) warm(age time.Duration) int {
	n := 0
	for _, unit := range s.units {
		if time.Duration(unit)*warmTime <= age*time.Duration(s.Slots) {
			n++
		}
	}
	return n
}

// all returns how many slots there are, open or not.
func (s *seat) all() int { return len(s.units) - s.lent + s.borrowed }

func (s *seat) free(now time.Time) int { return s.open(now) - s.busy }

func (s *server) resting(now time.Time) bool { return now.Before(s.until) }

// learn takes the result of one request.
func (s *server) learn(started time.Time, r Result) {
	switch {
	case r.Declined:
		s.until = later(s.until, r.Now.Add(declineTime))
	case r.Kind == yuccaerror.Unreachable || r.Kind == yuccaerror.Broken:
		s.failures++
	default:
		s.failures, s.ejections, s.ejected = 0, 0, false
		s.average(r.Now, r.Now.Sub(started))
	}
}

func (s *server) average(now time.Time, took time.Duration) {
	if took < 0 {
		return
	}
	s.measure = now
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyGain * float64(took-s.latency))
}

// eject takes the server out of use, longer each time. Entries spread their
// returns by the dice.
func (s *server) eject(now time.Time, dice uint64) {
	d := min(ejectTime<<min(s.ejections, 5), maxEjectTime)
	s.ejections++
	s.failures = failuresToEject - 1
	s.ejected = true
	s.until = later(s.until, now.Add(d+time.Duration(dice%uint64(d/2))))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forget moves the averages of unused servers towards the pool's, so that a
// server that was slow once is tried again.
func (s *server) forget(now time.Time, typical time.Duration, passed time.Duration) {
	if s.latency == 0 || now.Sub(s.measure) < passed {
		return
	}
	s.latency += time.Duration(float64(typical-s.latency) * float64(passed) / float64(forgetTime))
}

func (s *seat) usable(now time.Time, avoid []string) bool {
	return s.busy < s.all() && !s.Leaving && !s.resting(now) && !slices.Contains(avoid, s.Name)
}
