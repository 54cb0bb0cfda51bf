package yuccabalancer

import (
	"math"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccapace"
)

const (
	// minFailedConns is how many connections in a row must have failed for the server to
	// count as recovering. Fewer are mostly a fault of the network that leaves its objects
	// warm.
	minFailedConns = 3
	// minPause is how long a hold-off must have lasted for the server to count as recovering. A short one is a full
	// queue, and the objects are worth more where they are.
	minPause = time.Second
)

// initialPace returns the pace of a server that is new to this entry, or that has replaced
// another run. A server that is new and not in slow start gets its full part, as this
// entry itself may be what has just started.
func (c *Core) initialPace(s Server, replaced bool) yuccapace.Pace {
	if s.SlowStartUntil.IsZero() && !replaced {
		return yuccapace.Pace{}
	}
	return c.parts.newPace(s.SlowStartUntil)
}

// setServer replaces what is listed about the server. The rate is this entry's part of the
// rate during slow start, and newPace returns the pace of a server that has started.
func (s *serverState) setServer(next Server, rate float64, newPace func(time.Time) yuccapace.Pace) {
	if !s.ramping && !next.SlowStartUntil.IsZero() && !next.SlowStartUntil.Equal(s.SlowStartUntil) {
		s.setPace(newPace(next.SlowStartUntil))
	}
	s.setPace(s.pace.WithSlowUntil(next.SlowStartUntil))
	s.Server = next
	s.slowStartRate = rate
	s.slowStart = s.slowStart.WithRate(rate * s.pace.Fraction())
}

// setPace replaces the server's pace.
func (s *serverState) setPace(p yuccapace.Pace) { s.pace, s.ramping = p, p.Active() }

// withinPace updates the server's pace and reports whether its slow start leaves room for a
// request of this entry. After slow start the pace is only part of the score.
func (s *serverState) withinPace(now time.Time) bool {
	s.setPace(s.pace.At(now))
	if !s.inSlowStart(now) {
		return true
	}
	s.slowStart = s.slowStart.WithRate(s.slowStartRate * s.pace.Fraction())
	return s.slowStart.Allows(now)
}

// score returns the server's rendezvous score for the object with the given key. A server
// with a fraction f of its part has the highest score for f times as many objects as it
// would otherwise have, and those stay with it as f rises.
func (s *serverState) score(key uint64) uint64 {
	if !s.ramping {
		return mixHashes(key, s.hash)
	}
	return scaleScore(mixHashes(key, s.hash), s.pace.Fraction())
}

// scaleScore returns the score of a server with the given fraction of its part.
func scaleScore(score uint64, fraction float64) uint64 {
	// scale is the largest float64 below 1<<64, so that the result fits.
	const scale = 1<<64 - 1<<11
	return uint64(math.Pow(float64(score)/(1<<64), 1/fraction) * scale)
}

// recovers reports whether a result, which has not been recorded yet, ends a time in which
// this entry avoided the server.
func (s *serverState) recovers(r yuccaadmission.Result) bool {
	if !r.Succeeded {
		return false
	}
	h := s.holdOff
	heldOff := h.probing && !r.Now.Before(h.until) && h.until.Sub(h.since) >= minPause
	return heldOff || s.connectFailures >= minFailedConns || s.failing && s.failureRate*(1-failureWeight) <= maxFailureRate
}

// updatePace applies a recorded result to the pace of its server, which begins when the
// server recovers.
func (c *Core) updatePace(choice Choice, r yuccaadmission.Result, recovers bool) {
	s := choice.server
	switch {
	case r.Failed && !r.Declined && s.failureRate > maxFailureRate:
		s.failing = true
	case recovers:
		s.failing = false
		s.setPace(c.parts.newPace(time.Time{}).At(r.Now))
		return
	}
	p := c.pools[s.Service]
	if !s.ramping || p == nil {
		return
	}
	sample := yuccapace.Sample{Refused: r.Declined || r.Failed || r.NoResponse}
	if r.Load != nil {
		sample.Waiting, sample.Slots = r.Load.Waiting, r.Load.Slots
	}
	if r.Succeeded && !choice.Queued {
		sample.Latency, sample.Usual = r.TimeToHeader, p.latency.usual(choice.cacheState())
		s.observeRamp(p, sample, choice.cacheState())
	}
	if sample.Distress() && !c.roomElsewhere(p, s, r.Now) {
		sample = yuccapace.Sample{Refused: r.NoResponse || r.Failed && !r.Declined}
	}
	s.setPace(s.pace.With(r.Now, sample))
}

// roomElsewhere reports whether another server of the region that gets its full part has a
// free slot. Where none has, as when all of a region start at once, requests that one of
// them does not get would be rejected or late elsewhere too.
func (c *Core) roomElsewhere(p *pool, s *serverState, now time.Time) bool {
	for _, other := range p.regions[s.Region] {
		if other != s && !other.ramping && c.acceptsRequests(other) && other.load(now, p.latency.mean)+1 <= float64(other.Slots) {
			return true
		}
	}
	return false
}

// observeRamp counts a response for an object that is not warm in the server's latency, in
// proportion. While the server is ramping few of its objects are warm, and a server that
// stays slow must be recognized as slow when the ramp ends.
func (s *serverState) observeRamp(p *pool, sample yuccapace.Sample, state cacheState) {
	if state == cacheWarm || sample.Usual <= 0 {
		return
	}
	equivalent := float64(p.latency.warm) * float64(sample.Latency) / float64(sample.Usual)
	s.warmLatency = ewma(s.warmLatency, time.Duration(equivalent), latencyWeight)
}

// usual returns the service's latency without queueing for an object of the same kind, zero
// if it is unknown. A shared object counts as cold, as a server that has started has not had
// it from other entries either.
func (w *latencyStats) usual(state cacheState) time.Duration {
	switch {
	case state == cacheUnused:
		return w.mean
	case state == cacheWarm:
		return w.warm
	case w.cold > 0:
		return max(w.cold, time.Duration(minColdRatio*float64(w.warm)))
	}
	return defaultColdRatio * w.warm
}

// ramping returns how many servers of the pool get less than their full part, and the mean
// fraction that they get, 1 if there are none.
func (p *pool) ramping() (int, float64) {
	n, sum := 0, 0.0
	for _, servers := range p.regions {
		for _, s := range servers {
			if s.ramping {
				n++
				sum += s.pace.Fraction()
			}
		}
	}
	if n == 0 {
		return 0, 1
	}
	return n, sum / float64(n)
}
