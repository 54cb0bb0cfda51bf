package yuccaoverload

import (
	"math"
	"time"
)

const (
	// MinReturn is the shortest time after which a rejected caller is asked to return.
	MinReturn = 50 * time.Millisecond
	// MaxReturn is the longest time after which a rejected caller is asked to return.
	MaxReturn = 2 * time.Second
	// maxLeftShare is the part of the time left to the caller that it may be asked to
	// wait, since callers do not wait for longer.
	maxLeftShare = 1.0 / 3
	// returnSpread is the part of a wait by which it differs at most between callers, to
	// either side.
	returnSpread = 0.25
	// completionWindow is the time constant with which completed requests lose their
	// weight.
	completionWindow = 2 * time.Second
)

// Line is a virtual line of rejected callers: each is told to return after the one before
// it, at the rate at which requests complete. The zero value is an empty line. It addresses
// the case in which many callers are rejected at one moment, and would all return at
// another one and be rejected again.
type Line struct {
	// completed is the decayed number of completed requests.
	completed float64
	// at is when completed last decayed.
	at time.Time
	// end is when the last caller in line returns.
	end time.Time
}

// Complete records that a request has completed.
func (l *Line) Complete(now time.Time) {
	l.decay(now)
	l.completed++
}

// Join returns how long a rejected caller should wait. There is room at the earliest
// after the time soonest. The wait is at most MaxReturn, and at most a
// third of left, the time until the caller gives up, where zero means unknown. A caller who
// finds the line longer than that gets a random place in it, since all at its end would
// return too late to be in time.
func (l *Line) Join(now time.Time, soonest, left time.Duration, random uint64) time.Duration {
	l.decay(now)
	limit := maxWait(left)
	fraction := float64(random>>11) / (1 << 53)
	position := max(MinReturn, soonest, l.end.Sub(now))
	if position >= limit {
		return min(limit, MinReturn) + time.Duration(fraction*float64(max(0, limit-MinReturn)))
	}
	l.end = now.Add(position + l.step())
	return min(limit, max(MinReturn, time.Duration((1+returnSpread*(2*fraction-1))*float64(position))))
}

// step returns the time between two completed requests.
func (l *Line) step() time.Duration {
	rate := l.completed / completionWindow.Seconds()
	if rate*MaxReturn.Seconds() <= 1 {
		return MaxReturn
	}
	return time.Duration(float64(time.Second) / rate)
}

// decay reduces the count for the time that has passed.
func (l *Line) decay(now time.Time) {
	if passed := now.Sub(l.at); !l.at.IsZero() && passed > 0 {
		l.completed *= math.Exp(-float64(passed) / float64(completionWindow))
	}
	l.at = now
}

// Independent tells each rejected caller when to return without regard to the others. It is
// what replaces a Line that is switched off.
type Independent struct{}

// Complete does nothing.
func (Independent) Complete(time.Time) {}

// Join returns how long a rejected caller should wait: soonest, within the limits of
// Line.Join.
func (Independent) Join(_ time.Time, soonest, left time.Duration, _ uint64) time.Duration {
	return min(maxWait(left), max(MinReturn, soonest))
}

// maxWait returns the longest time that a caller may be asked to wait.
func maxWait(left time.Duration) time.Duration {
	if left <= 0 {
		return MaxReturn
	}
	return min(MaxReturn, time.Duration(maxLeftShare*float64(left)))
}
