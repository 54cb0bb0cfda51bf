package yuccabalancer

import "time"

// bucket bounds the rate of requests to a cold server.
type bucket struct {
	// rate is in requests a second; the bucket holds one whole request at the
	// most.
	rate   float64
	tokens float64
	at     time.Time
}

// with returns the bucket with another rate. A new bucket starts full.
func (b bucket) with(rate float64) bucket {
	if b.at.IsZero() {
		b.tokens = 1
	}
	b.rate = rate
	return b
}

func (b *bucket) fill(now time.Time) {
	if !b.at.IsZero() {
		b.tokens = min(1, b.tokens+b.rate*max(0, now.Sub(b.at).Seconds()))
	}
	b.at = now
}

// ready reports whether a whole request may be sent.
func (b *bucket) ready(now time.Time) bool {
	b.fill(now)
	return b.rate > 0 && b.tokens >= 1
}

func (b *bucket) take(now time.Time) {
	b.fill(now)
	b.tokens = max(0, b.tokens-1)
}
