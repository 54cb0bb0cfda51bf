package yuccabalancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccawell.example/core/yuccaadmission"
)

const (
	// reportLife is how long a report of a server's load outweighs what is
	// usual for it.
	reportLife = 150 * time.Millisecond
	// usualWeight, paceWeight and failWeight are the weights of one answer in
	// the moving averages.
	usualWeight = 0.2
	paceWeight  = 0.1
	failWeight  = 0.2
	// firstBlock is how long a server is left alone after a failed connection.
	firstBlock = 250 * time.Millisecond
	maxBlock   = 4 * time.Second
	// foreignBlock is how long an address is left alone that has another server.
	foreignBlock = 2 * time.Second
	// failLimit is the share of failed answers from which a server is avoided,
	// reviewInterval how often it is asked all the same.
	failLimit      = 0.3
	reviewInterval = 500 * time.Millisecond
	// slowFactor is how many times the service's time a server must take to count
	// as slow, maxSpeed the most that is counted.
	slowFactor = 1.5
	maxSpeed   = 4
)

// seat is a server as this entry sees it.
type seat struct {
	Server
	hash uint64
	// busy is how many requests this entry has in flight there. Others is how
	// many the other entries had when the server was last heard, usual the mean
	// of that.
	busy   int
	others float64
	usual  float64
	heard  time.Time
	// pace is the mean time to an answer about an object that the server had,
	// without a wait for a slot, failing the share of failed answers.
	pace    time.Duration
	failing float64
	review  time.Time

	failures int
	blocked  time.Time
	cold     bucket
	recent   recent
}

func newSeat(s Server) *seat {
	return &seat{Server: s, hash: xxhash.Sum64String(s.Name), recent: recent{}}
}

// load estimates how many requests the server has in flight.
func (s *seat) load(now time.Time) float64 {
	age := max(0, now.Sub(s.heard))
	fresh := math.Exp(-float64(age) / float64(reportLife))
	return float64(s.busy) + s.usual + (s.others-s.usual)*fresh
}

// wait estimates how long a further request waits for a slot at a load.
func (s *seat) wait(load float64, pace time.Duration) time.Duration {
	over := load + 1 - float64(s.Slots)
	return time.Duration(max(0, over) / float64(max(1, s.Slots)) * float64(pace))
}

// doubtful reports whether the server fails much more often than it should. Now
// and then it is asked all the same.
func (s *seat) doubtful(now time.Time) bool {
	return s.failing > failLimit && now.Before(s.review)
}

// speed returns how many times the service's mean time the server takes. Lesser
// differences do not count: they are chance, and not worth a cold object.
func (s *seat) speed(pace time.Duration) float64 {
	if pace == 0 || float64(s.pace) < slowFactor*float64(pace) {
		return 1
	}
	return min(maxSpeed, float64(s.pace)/float64(pace))
}

func (s *seat) isCold(now time.Time) bool { return now.Before(s.SlowStartUntil) }

// take counts a request about an object that is given to the server.
func (s *seat) take(now time.Time, object uint64) {
	s.busy++
	s.recent.add(now, object)
	s.review = now.Add(reviewInterval)
	if s.isCold(now) {
		s.cold.take(now)
	}
}

// done counts what came of a request.
func (s *seat) done(r yuccaadmission.Result) {
	s.busy--
	if r.Load != nil {
		s.report(r.Now, *r.Load)
	}
	switch {
	case r.WrongServer:
		s.blocked = r.Now.Add(foreignBlock)
	case r.NoResponse:
		s.block(r.Now)
	case r.Declined:
		s.failing += (1 - s.failing) * failWeight
		s.shed(r)
	case r.Failed:
		s.failing += (1 - s.failing) * failWeight
	case r.Succeeded:
		s.failures, s.blocked = 0, time.Time{}
		s.failing -= s.failing * failWeight
	}
}

// report takes the load that the server tells, of which this entry's own share
// is known.
func (s *seat) report(now time.Time, l yuccaadmission.Load) {
	s.others = max(0, float64(l.Running+l.Waiting-s.busy))
	s.usual += (s.others - s.usual) * usualWeight
	s.heard = now
}

// shed makes a server that turned a request away without a report count as full
// for a while.
func (s *seat) shed(r yuccaadmission.Result) {
	if r.Load != nil {
		return
	}
	s.others = max(s.others, float64(s.Slots-s.busy))
	s.heard = r.Now
}

// block leaves a server alone whose connection failed, longer each time.
func (s *seat) block(now time.Time) {
	s.blocked = now.Add(min(maxBlock, firstBlock<<min(s.failures, 8)))
	s.failures++
}

func blend(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(float64(sample-mean)*weight)
}
