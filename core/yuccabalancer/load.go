package yuccabalancer

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
)

const (
	// minReportDecay is the least time constant with which a load report loses its
	// weight and the estimate returns to the means of earlier reports.
	minReportDecay = 150 * time.Millisecond
	// reportDecayLatencies is that time constant in mean latencies of the service, since
	// a queue shrinks no faster than requests complete.
	reportDecayLatencies = 2
	// ownLoadDecay is the time constant with which the mean of a server's own reports
	// loses its weight to the mean of its region.
	ownLoadDecay = 4 * time.Second
	// slownessDecay is the time constant with which the reported slowness loses its
	// weight: 14% are left after half a second.
	slownessDecay = 250 * time.Millisecond
	// inFlightWeight is the weight of one report in the moving average of
	// the load from other entries.
	inFlightWeight = 0.2
	// regionLoadWeight is the weight of one report in the mean load of a region.
	regionLoadWeight = 0.05
	// negligibleAge is the age, in time constants, at which a weight counts as zero.
	negligibleAge = 8
)

// regionLoad is the load of the servers of one service in one region. It addresses the
// case in which many entries each send few requests to a server, so that the last report
// of most servers is older than their queues.
type regionLoad struct {
	// perSlot is the moving average of the requests of other entries per slot.
	perSlot float64
}

// load estimates how many requests of all entries the server has in flight, at a mean
// latency of the service. The last load report counts fully at first. After that the
// server's own mean counts, and the older the report the more the mean of the region,
// of which this entry gets more reports.
func (s *serverState) load(now time.Time, meanLatency time.Duration) float64 {
	age := max(0, now.Sub(s.reportedAt))
	mean := s.meanOtherInFlight
	if s.region != nil {
		mean += (s.region.perSlot*float64(s.Slots) - mean) * (1 - decayWeight(age, ownLoadDecay))
	}
	weight := decayWeight(age, max(minReportDecay, reportDecayLatencies*meanLatency))
	return float64(s.inFlight) + mean + (s.otherInFlight-mean)*weight
}

// decayWeight returns the weight of a sample of some age, from 1 down to 0. It is close to
// an exponential decay, but is computed for every server of each choice, and so without
// math.Exp.
func decayWeight(age, constant time.Duration) float64 {
	if age >= negligibleAge*constant {
		return 0
	}
	x := float64(age) / float64(constant)
	return 1 / (1 + x*(1+x/2*(1+x/3)))
}

// slownessNow returns how long work is expected to take on the server's machine, as a
// multiple of what is usual. What the server reported loses its weight quickly, since it
// shares its machine with work that comes and goes. The wait in a queue is not scaled by
// it: the machine changes before a queue has run.
func (s *serverState) slownessNow(now time.Time) float64 {
	if s.slowness <= 0 {
		return 1
	}
	bounded := min(maxSlowdown, max(1.0/maxSlowdown, s.slowness))
	return 1 + (bounded-1)*decayWeight(max(0, now.Sub(s.reportedAt)), slownessDecay)
}

// usualTime returns how long a response would usually have taken that took some time and
// carried a load report, nil if none.
func usualTime(took time.Duration, l *yuccaadmission.Load) time.Duration {
	if l == nil || l.Slowness <= 1 {
		return took
	}
	return time.Duration(float64(took) / min(maxSlowdown, l.Slowness))
}

// queueWait estimates how long one more request waits for a slot, at a load
// and a mean latency.
func (s *serverState) queueWait(load float64, meanLatency time.Duration) time.Duration {
	excess := load + 1 - float64(s.Slots)
	return time.Duration(max(0, excess) / float64(max(1, s.Slots)) * float64(meanLatency))
}

// isFull reports whether the server has declined a request and its queue has not had the
// time to shrink since.
func (s *serverState) isFull(now time.Time) bool { return now.Before(s.fullUntil) }

// applyReport records the load that the server reported, less this entry's
// own in-flight requests.
func (s *serverState) applyReport(now time.Time, l yuccaadmission.Load) {
	s.otherInFlight = max(0, float64(l.Running+l.Waiting-s.inFlight))
	s.meanOtherInFlight += (s.otherInFlight - s.meanOtherInFlight) * inFlightWeight
	s.reportedAt, s.slowness = now, l.Slowness
	if s.region != nil {
		s.region.perSlot += (s.otherInFlight/float64(max(1, s.Slots)) - s.region.perSlot) * regionLoadWeight
	}
}

// markFull records that the server declined a request. It counts as full for as long as
// half of its queue needs to run, at the mean latency; a queue of unknown length counts
// as one request for each slot. Without a load report all slots count as used.
func (s *serverState) markFull(r yuccaadmission.Result, meanLatency time.Duration) {
	waiting := s.Slots
	if r.Load != nil {
		waiting = r.Load.Waiting
	} else {
		s.otherInFlight = max(s.otherInFlight, float64(s.Slots-s.inFlight))
		s.reportedAt, s.slowness = r.Now, 0
	}
	s.fullUntil = r.Now.Add(time.Duration(float64(waiting) / 2 / float64(max(1, s.Slots)) * float64(meanLatency)))
}
