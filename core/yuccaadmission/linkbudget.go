package yuccaadmission

import "time"

const (
	// linkBurstTime is the time for which unused link rate accumulates.
	linkBurstTime = time.Second
	// responseBytesEWMAWeight is the weight of one response in the moving
	// average of response lengths.
	responseBytesEWMAWeight = 0.1
)

// linkBudget is a token bucket for the bytes of responses that an entry
// receives from a region over inter-region links. A request reserves the mean
// response length of the service when it is sent; settle replaces that by the
// actual length when it ends.
type linkBudget struct {
	// bytesPerSecond is the refill rate; zero means that responses use no link.
	bytesPerSecond float64
	// available is the number of bytes that may be received now; it can be
	// negative.
	available float64
	// refilledAt is the time of the last refill.
	refilledAt time.Time
	// meanBytes is the moving average of the response length in bytes.
	meanBytes float64
}

// set changes the rate in bytes per second. Reservations stay in force.
func (l *linkBudget) set(rate float64, now time.Time) {
	l.refill(now)
	if l.bytesPerSecond == 0 {
		l.available = rate * linkBurstTime.Seconds()
	}
	l.bytesPerSecond = rate
	l.available = min(l.available, rate*linkBurstTime.Seconds())
}

func (l *linkBudget) refill(now time.Time) {
	if passed := now.Sub(l.refilledAt).Seconds(); passed > 0 && !l.refilledAt.IsZero() {
		l.available = min(l.available+l.bytesPerSecond*passed, l.bytesPerSecond*linkBurstTime.Seconds())
	}
	l.refilledAt = later(l.refilledAt, now)
}

// admits reports whether another response fits. A response longer than the
// burst fits when the bucket is full.
func (l *linkBudget) admits(now time.Time) bool {
	if l.bytesPerSecond <= 0 {
		return true
	}
	l.refill(now)
	return l.available >= min(l.meanBytes, l.bytesPerSecond*linkBurstTime.Seconds())
}

// reserve reserves the mean response length and returns it in bytes.
func (l *linkBudget) reserve() float64 {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	l.available -= l.meanBytes
	return l.meanBytes
}

// settle replaces a reservation by the actual length of the response.
func (l *linkBudget) settle(reserved float64, bytes int64) {
	l.meanBytes += responseBytesEWMAWeight * (float64(bytes) - l.meanBytes)
	if l.bytesPerSecond > 0 {
		l.available += reserved - float64(bytes)
	}
}
