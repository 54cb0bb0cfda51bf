package yuccaadmission

import "time"

const (
	// linkBurst is how long a link's rate may be saved up.
	linkBurst = time.Second
	// bytesPart is the weight of one answer in the mean length of answers.
	bytesPart = 0.1
)

// link books the bytes that an entry takes from a region over links. A request
// is booked with the mean length of the service's answers when it is sent, and
// with its true length when it has ended.
type link struct {
	// rate is in bytes per second; zero means that no link is used.
	rate float64
	// free is how many bytes may be taken now; it may be negative.
	free float64
	at   time.Time
	// mean is the mean length of answers in bytes.
	mean float64
}

// set takes a new rate. What is booked stays booked.
func (l *link) set(rate float64, now time.Time) {
	l.refill(now)
	if l.rate == 0 {
		l.free = rate * linkBurst.Seconds()
	}
	l.rate = rate
	l.free = min(l.free, rate*linkBurst.Seconds())
}

func (l *link) refill(now time.Time) {
	if passed := now.Sub(l.at).Seconds(); passed > 0 && !l.at.IsZero() {
		l.free = min(l.free+l.rate*passed, l.rate*linkBurst.Seconds())
	}
	l.at = later(l.at, now)
}

// admits reports whether another answer fits. An answer longer than can be
// saved up fits when nothing is booked.
func (l *link) admits(now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	l.refill(now)
	return l.free >= min(l.mean, l.rate*linkBurst.Seconds())
}

// book counts a request that is sent and returns what was booked for it.
func (l *link) book() float64 {
	if l.rate <= 0 {
		return 0
	}
	l.free -= l.mean
	return l.mean
}

// settle corrects what was booked for a request that has ended.
func (l *link) settle(booked float64, bytes int64) {
	l.mean += bytesPart * (float64(bytes) - l.mean)
	if l.rate > 0 {
		l.free += booked - float64(bytes)
	}
}
