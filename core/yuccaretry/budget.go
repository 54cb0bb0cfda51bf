// Package yuccaretry limits the load that additional attempts of requests
// put on backend servers. An attempt is one send of a request to a backend
// server. Retries, hedged requests and resumed downloads are additional
// attempts.
//
// Each service has one Budget, a pair of token buckets that each request
// refills a little. When servers or the admission control reject too many
// attempts, the budget allows no additional attempt at all. Latency holds
// the latencies of a service, for example to choose the delay before a
// hedge. Tracker holds the Budget and the Latency of each service and is
// safe for concurrent use.
//
//	b, ok := b.Update(now, yuccaretry.Retry)
//	if !ok {
//		// Return the error without a retry.
//	}
package yuccaretry

import (
	"math"
	"time"
)

// Event is an event of a service's requests that a Budget records.
type Event uint8

// The events of a service.
const (
	// Request says that a caller's request has arrived.
	Request Event = iota
	// Retry asks for permission to send a failed request to another server.
	Retry
	// Unused says that an allowed Retry was not made, because no server had a free slot.
	Unused
	// Hedge asks for permission to send a request to a second server while
	// the first attempt is in flight.
	Hedge
	// Served says that a server answered an attempt.
	Served
	// Rejected says that a server or the admission control rejected an
	// attempt.
	Rejected
)

// Limits bound the additional attempts of a service. The zero value means
// the defaults: retry ratio 0.10, burst 10, rate 1, hedge ratio 0.02,
// overload 0.10.
type Limits struct {
	// RetryRatio is the part of the requests that may be retried.
	RetryRatio float64
	// Burst is how many additional attempts may be made at once.
	Burst float64
	// Rate is how many additional attempts a second are allowed even if the
	// service has few requests.
	Rate float64
	// HedgeRatio is the part of the requests that may be hedged; 0 allows no
	// hedge.
	HedgeRatio float64
	// Overload is the share of rejected attempts above which no additional
	// attempt is allowed.
	Overload float64
}

// defaults are the limits that replace the zero Limits.
var defaults = Limits{RetryRatio: 0.10, Burst: 10, Rate: 1, HedgeRatio: 0.02, Overload: 0.10}

const (
	// rejectionWeight is the weight of one result in the moving average of
	// the share of rejected attempts.
	rejectionWeight = 1.0 / 64
	// rejectionHalfLife is the time without a result after which the share of rejected
	// attempts counts half.
	rejectionHalfLife = time.Second
)

// Budget holds the token buckets of one service's additional attempts. Its
// methods return the changed budget. The zero value is not usable; make one
// with New.
type Budget struct {
	// limits bound the additional attempts.
	limits Limits
	// retryTokens is how many additional attempts, retries and hedges
	// together, are allowed now.
	retryTokens float64
	// hedgeTokens is how many hedges are allowed now. A hedge uses one of
	// the retryTokens too.
	hedgeTokens float64
	// rejectionRate is the moving average of the share of rejected attempts.
	rejectionRate float64
	// fadedAt is the time of the last result, or when rejectionRate was last halved.
	fadedAt time.Time
	// refilledAt is when the allowance by time was last added.
	refilledAt time.Time
}

// New returns a full budget with the default limits.
func New(now time.Time) Budget { return NewWithLimits(now, defaults) }

// NewWithLimits returns a full budget with the given limits.
func NewWithLimits(now time.Time, l Limits) Budget {
	if l == (Limits{}) {
		l = defaults
	}
	b := Budget{limits: l, retryTokens: l.Burst, fadedAt: now, refilledAt: now}
	if l.HedgeRatio > 0 {
		b.hedgeTokens = l.Burst
	}
	return b
}

// WithLimits returns the budget with other limits. Tokens above the new
// burst are dropped.
func (b Budget) WithLimits(l Limits) Budget {
	if l == (Limits{}) {
		l = defaults
	}
	b.limits = l
	b.retryTokens, b.hedgeTokens = min(b.retryTokens, l.Burst), min(b.hedgeTokens, l.Burst)
	if l.HedgeRatio == 0 {
		b.hedgeTokens = 0
	}
	return b
}

// Overloaded reports whether the share of rejected attempts exceeds the
// limit, so that no additional attempt is allowed.
func (b Budget) Overloaded() bool { return b.rejectionRate > b.limits.Overload }

// Update records an event. For Retry and Hedge the second result says
// whether the attempt is allowed, and an allowed one uses its tokens; for
// other events it is true. A Hedge uses a retry token too, so that retries
// and hedges together stay within the retry ratio.
func (b Budget) Update(now time.Time, m Event) (Budget, bool) {
	switch m {
	case Request:
		return b.refill(now), true
	case Served:
		return b.addResult(now, 0), true
	case Rejected:
		return b.addResult(now, 1), true
	case Retry:
		b = b.accrue(now).fade(now)
		if b.Overloaded() || b.retryTokens < 1 {
			return b, false
		}
		b.retryTokens--
		return b, true
	case Unused:
		b.retryTokens = min(b.limits.Burst, b.retryTokens+1)
		return b, true
	case Hedge:
		b = b.accrue(now).fade(now)
		if b.Overloaded() || b.hedgeTokens < 1 || b.retryTokens < 1 {
			return b, false
		}
		b.hedgeTokens--
		b.retryTokens--
		return b, true
	}
	return b, false
}

// addResult adds a result to the share of rejected attempts: 1 for a rejected attempt, 0
// for a served one.
func (b Budget) addResult(now time.Time, rejected float64) Budget {
	b = b.fade(now)
	b.rejectionRate += (rejected - b.rejectionRate) * rejectionWeight
	b.fadedAt = now
	return b
}

// fade halves the share of rejected attempts for each rejectionHalfLife without a result.
// While it forbids additional attempts, they bring no results that could lower it.
func (b Budget) fade(now time.Time) Budget {
	halvings := now.Sub(b.fadedAt) / rejectionHalfLife
	if halvings <= 0 {
		return b
	}
	b.rejectionRate *= math.Exp2(-float64(halvings))
	b.fadedAt = b.fadedAt.Add(halvings * rejectionHalfLife)
	return b
}

// refill adds the tokens for one request: those by ratio or those by time, whichever are
// more.
func (b Budget) refill(now time.Time) Budget {
	before := b.retryTokens
	b = b.accrue(now)
	b.retryTokens = max(b.retryTokens, min(b.limits.Burst, before+b.limits.RetryRatio))
	b.hedgeTokens = min(b.limits.Burst, b.hedgeTokens+b.limits.HedgeRatio)
	return b
}

// accrue adds the tokens for the time that has passed. Attempts need them while no
// request arrives.
func (b Budget) accrue(now time.Time) Budget {
	accrued := max(0, now.Sub(b.refilledAt).Seconds()) * b.limits.Rate
	b.refilledAt = now
	b.retryTokens = min(b.limits.Burst, b.retryTokens+accrued)
	return b
}
