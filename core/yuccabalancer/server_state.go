package yuccabalancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccapace"
	"yuccawell.example/core/yuccaquota"
)

const (
	// latencyWeight is the weight of one response in the moving averages of
	// a server's and a service's latency.
	latencyWeight = 0.1
	// failureWeight is the weight of one result in the moving average of a
	// server's failure rate.
	failureWeight = 0.2
	// minBlock is how long a server gets no requests after the first failed
	// connection. The time doubles with each further failure.
	minBlock = 250 * time.Millisecond
	// maxBlock is the longest time without requests after failed
	// connections.
	maxBlock = 4 * time.Second
	// wrongServerBlock is how long a server gets no requests after another
	// server answered at its address.
	wrongServerBlock = 2 * time.Second
	// maxFailureRate is the share of failed requests above which a server is
	// avoided.
	maxFailureRate = 0.3
	// probeInterval is how long after the last request a server that fails
	// often is avoided. After that it may get a request, so that a recovery
	// is noticed.
	probeInterval = 500 * time.Millisecond
	// minSlowdown is the lowest ratio of a server's latency to that of the
	// service at which the server counts as slow.
	minSlowdown = 1.5
	// maxSlowdown is the upper bound of the ratio that is used.
	maxSlowdown = 4
	// slowdownDecay is the time constant with which a server that gets no requests
	// ceases to count as slow, so that a recovery is noticed.
	slowdownDecay = 3 * time.Second
)

// serverState is a server with this entry's statistics about it.
type serverState struct {
	Server
	// hash is the hash of the server's name, for rendezvous scores.
	hash uint64
	// ramping is pace.Active(), which would copy the pace for each server of a choice.
	ramping bool
	// inFlight is how many requests this entry has in flight on the server.
	inFlight int
	// otherInFlight is how many requests of other entries the last load
	// report implied.
	otherInFlight float64
	// meanOtherInFlight is the moving average of otherInFlight.
	meanOtherInFlight float64
	// reportedAt is when otherInFlight was last updated.
	reportedAt time.Time
	// fullUntil is until when the server counts as full after it declined a request.
	fullUntil time.Time
	// slowness is what the server last reported, at reportedAt; zero means unknown.
	slowness float64
	// region is the load of the servers of the same service and region; nil means none.
	region *regionLoad
	// warmLatency is the moving average of the time to a response for a warm
	// object, without queueing.
	warmLatency time.Duration
	// assignedAt is when this entry last sent a request to the server.
	assignedAt time.Time
	// failureRate is the moving average of the share of failed requests, 0
	// to 1.
	failureRate float64
	// probeAt is when a server that fails often may get a request again.
	probeAt time.Time

	// connectFailures is the number of failed connections since the last
	// success.
	connectFailures int
	// blockedUntil is when the server may get requests again.
	blockedUntil time.Time
	// slowStart limits this entry's requests during slow start.
	slowStart yuccaquota.Bucket
	// slowStartRate is this entry's part of the rate during slow start, in requests a
	// second.
	slowStartRate float64
	// pace is how much of its part the server gets after a start or a recovery.
	pace yuccapace.Pace
	// failing is set from the time at which responses that are failures make the server
	// one that is avoided until it is not avoided any longer.
	failing bool
	// limiter limits this entry's requests while the server names a limit.
	limiter rateLimiter
	// leaving is set when this run of the server has said that it is about to exit.
	leaving bool
	// holdOff keeps requests from the server when it asks for that.
	holdOff holdOff
	// recent holds the objects that this entry recently sent to the server.
	recent recentObjects
}

// newServerState returns the state of a server without any statistics.
func newServerState(s Server) *serverState {
	return &serverState{Server: s, hash: xxhash.Sum64String(s.Name), slowStart: yuccaquota.Full(), recent: recentObjects{}}
}

// failsOften reports whether the server is to be avoided because of its
// failure rate. It is false once probeInterval has passed since the last
// request.
func (s *serverState) failsOften(now time.Time) bool {
	return s.failureRate > maxFailureRate && now.Before(s.probeAt)
}

// slowdown returns the server's latency as a multiple of the service's warm
// latency. Differences below minSlowdown count as 1: they are noise, and not
// worth moving an object to a server where it is cold.
func (s *serverState) slowdown(now time.Time, meanLatency time.Duration) float64 {
	latency := s.currentLatency(now, meanLatency)
	if meanLatency == 0 || float64(latency) < minSlowdown*float64(meanLatency) {
		return 1
	}
	return min(maxSlowdown, float64(latency)/float64(meanLatency))
}

// currentLatency returns warmLatency, closer to the service's mean the longer the
// server has had no requests.
func (s *serverState) currentLatency(now time.Time, meanLatency time.Duration) time.Duration {
	idle := max(0, now.Sub(s.assignedAt))
	if s.warmLatency <= meanLatency || s.assignedAt.IsZero() {
		return s.warmLatency
	}
	weight := math.Exp(-float64(idle) / float64(slowdownDecay))
	return meanLatency + time.Duration(float64(s.warmLatency-meanLatency)*weight)
}

// inSlowStart reports whether the server is still in slow start.
func (s *serverState) inSlowStart(now time.Time) bool { return now.Before(s.SlowStartUntil) }

// assign records that a request for the object is sent to the server, at the mean
// latency of its service.
func (s *serverState) assign(now time.Time, object uint64, meanLatency time.Duration) {
	s.inFlight++
	s.warmLatency, s.assignedAt = s.currentLatency(now, meanLatency), now
	s.recent.add(now, object)
	s.probeAt = now.Add(probeInterval)
	if s.inSlowStart(now) {
		s.slowStart.Take(now)
	}
	s.limiter.take(now)
}

// finish records the result of a request, at the mean latency of its service.
func (s *serverState) finish(r yuccaadmission.Result, meanLatency time.Duration) {
	s.inFlight--
	if r.Load != nil {
		s.applyReport(r.Now, *r.Load)
	}
	switch {
	case r.WrongServer:
		s.blockedUntil = r.Now.Add(wrongServerBlock)
	case r.NoResponse:
		s.block(r.Now)
	case r.Declined:
		s.failureRate += (1 - s.failureRate) * failureWeight
		s.markFull(r, meanLatency)
	case r.Failed:
		s.failureRate += (1 - s.failureRate) * failureWeight
	case r.Succeeded:
		s.holdOff = s.holdOff.withAnswer(r.Now)
		s.connectFailures, s.blockedUntil = 0, time.Time{}
		s.failureRate -= s.failureRate * failureWeight
	}
}

// block stops requests to a server after a failed connection, with
// exponential backoff.
func (s *serverState) block(now time.Time) {
	s.blockedUntil = now.Add(min(maxBlock, minBlock<<min(s.connectFailures, 8)))
	s.connectFailures++
}

// ewma adds a sample to an exponentially weighted moving average. A mean of
// zero means that there is none yet.
func ewma(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(float64(sample-mean)*weight)
}
