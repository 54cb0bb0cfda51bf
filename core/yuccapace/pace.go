// Package yuccapace decides how much of its part of the requests a server gets after it
// has started or recovered. It avoids two faults: a server with a cold cache or processor
// that gets its full part at once responds late, and a fixed ramp holds back a server that
// is already warm.
//
// A Pace is the state of one server at one entry, a proxy instance of the system. Its
// Fraction rises with time, faster while responses are normal, and is halved when one
// shows that the server cannot take more:
//
//	pace := yuccapace.New(slowStartUntil)
//	pace = pace.At(now).With(now, sample)
//	weight := pace.Fraction()
//
// The package has no clock and does no I/O.
package yuccapace

import "time"

const (
	// initialFraction is the fraction of a server's part at the start of its ramp. A server
	// that is cold still does useful work. With a lower fraction, the other servers of a
	// busy service lack the slots.
	initialFraction = 0.5
	// minFraction is the lowest fraction, so that responses keep arriving and a recovery
	// is noticed.
	minFraction = 0.05
	// quietIncrease is how much the fraction rises per second without recent responses, as
	// at one of many entries, which sees few of them.
	quietIncrease = 0.1
	// goodIncrease is how much the fraction rises per second while responses are normal.
	goodIncrease = 0.4
	// goodAge is how long after a normal response the fraction rises by goodIncrease.
	goodAge = time.Second
	// decrease is the factor of the fraction when a response shows distress.
	decrease = 0.5
	// decreaseInterval is the least time between two decreases. The requests that are
	// already on their way show the same distress again.
	decreaseInterval = 500 * time.Millisecond
	// maxLatencyRatio is the latency, as a multiple of the usual one, above which a
	// response shows distress.
	maxLatencyRatio = 2
	// maxRamp is how long a ramp lasts at most. A server that is not warm by then is a
	// slow one.
	maxRamp = 20 * time.Second
)

// Pace is how much of its part a server gets. It is immutable; the zero value is that of
// a server that gets its full part. Create one with New.
type Pace struct {
	// active is set until the server gets its full part.
	active bool
	// fraction is the fraction of the configured rate until slowUntil, and of the
	// server's part after that.
	fraction float64
	// slowUntil is when slow start ends; zero means that the ramp has begun.
	slowUntil time.Time
	// begunAt is when the ramp has begun, zero before the first call of At.
	begunAt time.Time
	// at is when fraction was last updated.
	at time.Time
	// goodUntil is until when fraction rises by goodIncrease rather than quietIncrease.
	goodUntil time.Time
	// decreasedAt is when fraction was last halved.
	decreasedAt time.Time
}

// Sample is what the result of one request tells of its server.
type Sample struct {
	// Refused is set if the server rejected the request, failed it or could not be reached.
	Refused bool
	// Latency is the time to the response; zero means unknown.
	Latency time.Duration
	// Usual is the latency of other servers for an object of the same kind; zero means
	// unknown.
	Usual time.Duration
	// Waiting is the length of the server's queue, and Slots how many requests it runs at
	// once; both are zero if the server reported no load.
	Waiting, Slots int
}

// New returns the pace of a server that starts. Until slowUntil it is a fraction of the
// configured rate; zero means that the server is not in slow start and its ramp begins
// with the first call of At.
func New(slowUntil time.Time) Pace {
	p := Pace{active: true, slowUntil: slowUntil, fraction: initialFraction}
	if !slowUntil.IsZero() {
		p.fraction = 1
	}
	return p
}

// WithSlowUntil returns the pace with another end of slow start, as long as the ramp has
// not begun. A zero time means that slow start has ended.
func (p Pace) WithSlowUntil(t time.Time) Pace {
	switch {
	case !p.active || p.slowUntil.IsZero():
		return p
	case t.IsZero() && p.at.IsZero():
		return New(t)
	case t.IsZero():
		p.slowUntil = p.at
		return p
	}
	p.slowUntil = t
	return p
}

// Active reports whether the server gets less than its full part.
func (p Pace) Active() bool { return p.active }

// Fraction returns the fraction of the configured rate in slow start, and of the server's
// part after that, as of the last call of At: above 0 and at most 1.
func (p Pace) Fraction() float64 {
	if !p.active {
		return 1
	}
	return p.fraction
}

// At returns the pace at a time: the fraction rises, the ramp begins when slow start ends,
// and it ends with the full part or after maxRamp.
func (p Pace) At(now time.Time) Pace {
	switch {
	case !p.active:
		return p
	case !p.slowUntil.IsZero() && now.Before(p.slowUntil):
		p.fraction = p.raised(now)
		p.at = now
		return p
	case !p.slowUntil.IsZero():
		p.fraction = max(minFraction, initialFraction*p.raised(p.slowUntil))
		p.at, p.begunAt, p.slowUntil = p.slowUntil, p.slowUntil, time.Time{}
	case p.begunAt.IsZero():
		p.at, p.begunAt = now, now
	}
	p.fraction = p.raised(now)
	p.at = now
	if p.fraction >= 1 || now.Sub(p.begunAt) >= maxRamp {
		p.active = false
	}
	return p
}

// raised returns the fraction after the time since the last update.
func (p Pace) raised(now time.Time) float64 {
	if p.at.IsZero() {
		return p.fraction
	}
	elapsed := max(0, now.Sub(p.at))
	good := min(elapsed, max(0, p.goodUntil.Sub(p.at)))
	return min(1, p.fraction+goodIncrease*good.Seconds()+quietIncrease*(elapsed-good).Seconds())
}

// With returns the pace after the result of a request.
func (p Pace) With(now time.Time, s Sample) Pace {
	p = p.At(now)
	if !p.active {
		return p
	}
	if !s.Distress() {
		p.goodUntil = now.Add(goodAge)
		return p
	}
	p.goodUntil = now
	if p.decreasedAt.IsZero() || now.Sub(p.decreasedAt) >= decreaseInterval {
		p.fraction, p.decreasedAt = max(minFraction, decrease*p.fraction), now
	}
	return p
}

// Distress reports whether the result shows that the server cannot take more.
func (s Sample) Distress() bool {
	slow := s.Latency > 0 && s.Usual > 0 && s.Latency > maxLatencyRatio*s.Usual
	return s.Refused || slow || s.Waiting > s.Slots
}
