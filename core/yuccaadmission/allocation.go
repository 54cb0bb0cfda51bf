package yuccaadmission

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

const (
	// slowStartTime is how long it takes until all slots of a new server are
	// open.
	slowStartTime = 5 * time.Second
	// failuresToEject is the number of consecutive failures that eject a
	// server.
	failuresToEject = 3
	// firstEjectTime is the duration of the first ejection without jitter; each
	// further one takes twice as long.
	firstEjectTime = time.Second
	// maxEjectTime is the upper bound of that duration.
	maxEjectTime = 30 * time.Second
	// shedBackoff is how long a server gets no requests after it shed one, unless it asks
	// for a longer time.
	shedBackoff = 50 * time.Millisecond
	// maxHoldOff bounds the time that a server may ask for.
	maxHoldOff = 5 * time.Minute
	// latencyEWMAWeight is the weight of one response in the moving average of
	// the latency.
	latencyEWMAWeight = 0.1
	// latencyDecayTime is the time constant with which the average latency of
	// an unused server moves towards the median of its pool.
	latencyDecayTime = 10 * time.Second
)

// server is what an entry knows about one backend server.
type server struct {
	yuccastore.Instance
	// addedAt is the time when the server was first seen; zero, which means no
	// slow start, if no server was known before that.
	addedAt time.Time
	// latency is the moving average of the latency; zero means not measured.
	latency time.Duration
	// measuredAt is the time of the last measurement.
	measuredAt time.Time
	// failures counts the failures since the last response.
	failures int
	// ejections counts the consecutive ejections.
	ejections int
	// suspendedUntil is the end of a suspension; a server is suspended after it
	// was ejected or shed a request.
	suspendedUntil time.Time
	// ejected is set from an ejection until the next response.
	ejected bool
}

// allocation holds the slots of one server that an entry may use for one
// service.
type allocation struct {
	*server
	// pool is the pool that the allocation belongs to.
	pool *pool
	// slotNumbers are the numbers, on the server, of the slots that the entry
	// owns.
	slotNumbers []int
	// lent is the number of slots lent to other entries.
	lent int
	// borrowed is the number of slots borrowed from other entries.
	borrowed int
	// inFlight is the number of requests in flight.
	inFlight int
}

// openSlots returns how many slots may be used now. In slow start, the slots of
// a server open one after the other, in the same order on every entry.
func (s *allocation) openSlots(now time.Time) int {
	own := len(s.slotNumbers)
	if !s.addedAt.IsZero() {
		if age := now.Sub(s.addedAt); age < slowStartTime {
			own = s.slowStartSlots(age)
		}
	}
	return own - s.lent + s.borrowed
}

// slowStartSlots returns how many own slots are open on a server of the given
// age.
func (s *allocation) slowStartSlots(age time.Duration) int {
	n := 0
	for _, number := range s.slotNumbers {
		if time.Duration(number)*slowStartTime <= age*time.Duration(s.Slots) {
			n++
		}
	}
	return n
}

// totalSlots returns the number of slots, open or not.
func (s *allocation) totalSlots() int { return len(s.slotNumbers) - s.lent + s.borrowed }

// freeSlots returns the number of open slots not in use; it can be negative.
func (s *allocation) freeSlots(now time.Time) int { return s.openSlots(now) - s.inFlight }

func (s *server) suspended(now time.Time) bool { return now.Before(s.suspendedUntil) }

// recordResult updates the failure count and latency of the server. A response
// ends an ejection; shedding suspends the server for a short time.
func (s *server) recordResult(started time.Time, r Result) {
	switch {
	case r.Declined:
		// The entries return together; their slots bound what the server gets then.
		s.suspendedUntil = later(s.suspendedUntil, r.Now.Add(min(max(shedBackoff, r.HoldOff), maxHoldOff)))
	case r.Kind == yuccaerror.Unreachable || r.Kind == yuccaerror.ConnectionLost:
		s.failures++
	default:
		s.failures, s.ejections, s.ejected = 0, 0, false
		s.addLatency(r.Now, r.Now.Sub(started))
	}
}

func (s *server) addLatency(now time.Time, took time.Duration) {
	if took < 0 {
		return
	}
	s.measuredAt = now
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyEWMAWeight * float64(took-s.latency))
}

// eject suspends the server, for longer each time. Random jitter spreads the
// times at which the entries use it again.
func (s *server) eject(now time.Time, random uint64) {
	d := min(firstEjectTime<<min(s.ejections, 5), maxEjectTime)
	s.ejections++
	s.failures = failuresToEject - 1
	s.ejected = true
	s.suspendedUntil = later(s.suspendedUntil, now.Add(d+time.Duration(random%uint64(d/2))))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// decayLatency moves the average latency of an unused server towards the
// median, so that a server that was slow once is tried again.
func (s *server) decayLatency(now time.Time, median time.Duration, passed time.Duration) {
	if s.latency == 0 || now.Sub(s.measuredAt) < passed {
		return
	}
	s.latency += time.Duration(float64(median-s.latency) * float64(passed) / float64(latencyDecayTime))
}

// eligible reports whether a request may be sent to the server now. Slots that
// slow start has not opened yet count as usable.
func (s *allocation) eligible(now time.Time, avoid []string) bool {
	return s.inFlight < s.totalSlots() && !s.Leaving && !s.suspended(now) && !slices.Contains(avoid, s.Name)
}
