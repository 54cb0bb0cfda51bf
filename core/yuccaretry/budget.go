// Package yuccaretry bounds the load that second tries of requests add. Each
// service has one Budget; retries, hedged requests and resumed downloads all
// draw on it.
//
//	b, ok := b.Update(now, yuccaretry.Retry)
//	if !ok {
//		// answer without another try
//	}
package yuccaretry

import "time"

// Message is something that happened to a service's requests.
type Message uint8

// The messages.
const (
	// Request says that a caller's request has arrived.
	Request Message = iota
	// Retry asks to send a failed request to another server.
	Retry
	// Hedge asks to send a request to a second server while the first works.
	Hedge
	// Served says that a server answered a request.
	Served
	// Rejected says that a server or the admission refused a request.
	Rejected
)

// Limits bound second tries. The zero value means the defaults.
type Limits struct {
	// RetryRatio is the part of the requests that may be retried.
	RetryRatio float64
	// Burst is how many second tries may come at once.
	Burst float64
	// Rate is how many a second are allowed to a service with few requests.
	Rate float64
	// HedgeRatio is the part of the requests that may be hedged.
	HedgeRatio float64
	// Overload is the part of the tries that may be refused before no second try
	// is made at all.
	Overload float64
}

// defaults are the limits of an entry of its own.
var defaults = Limits{RetryRatio: 0.10, Burst: 10, Rate: 1, HedgeRatio: 0.02, Overload: 0.10}

const (
	// overloadWeight is the weight of one outcome in the moving average.
	overloadWeight = 1.0 / 64
)

// Budget is the state of one service's second tries. The zero value is not
// useful; make one with New.
type Budget struct {
	limits          Limits
	retries, hedges float64
	refused         float64
	at              time.Time
}

// New returns a full budget.
func New(now time.Time) Budget { return NewWithLimits(now, defaults) }

// NewWithLimits returns a full budget with other limits than the defaults.
func NewWithLimits(now time.Time, l Limits) Budget {
	if l == (Limits{}) {
		l = defaults
	}
	b := Budget{limits: l, retries: l.Burst, at: now}
	if l.HedgeRatio > 0 {
		b.hedges = l.Burst
	}
	return b
}

// WithLimits returns the budget under other limits.
func (b Budget) WithLimits(l Limits) Budget {
	if l == (Limits{}) {
		l = defaults
	}
	b.limits = l
	b.retries, b.hedges = min(b.retries, l.Burst), min(b.hedges, l.Burst)
	if l.HedgeRatio == 0 {
		b.hedges = 0
	}
	return b
}

// Overloaded reports whether the service is overloaded, so that no second try is
// allowed.
func (b Budget) Overloaded() bool { return b.refused > b.limits.Overload }

// Update takes what happened and reports whether a Retry or Hedge is allowed.
// A Hedge draws on the tokens of retries too, so that both together stay within
// the share of retries.
func (b Budget) Update(now time.Time, m Message) (Budget, bool) {
	switch m {
	case Request:
		return b.deposit(now), true
	case Served:
		b.refused -= b.refused * overloadWeight
		return b, true
	case Rejected:
		b.refused += (1 - b.refused) * overloadWeight
		return b, true
	case Retry:
		if b.Overloaded() || b.retries < 1 {
			return b, false
		}
		b.retries--
		return b, true
	case Hedge:
		if b.Overloaded() || b.hedges < 1 || b.retries < 1 {
			return b, false
		}
		b.hedges--
		b.retries--
		return b, true
	}
	return b, false
}

func (b Budget) deposit(now time.Time) Budget {
	idle := max(0, now.Sub(b.at).Seconds()) * b.limits.Rate
	b.at = now
	b.retries = min(b.limits.Burst, b.retries+max(b.limits.RetryRatio, idle))
	b.hedges = min(b.limits.Burst, b.hedges+b.limits.HedgeRatio)
	return b
}
