package yuccabalancer

import "time"

// tokenBucket limits the rate of requests to a server in slow start. It
// holds at most one token; each request uses one.
type tokenBucket struct {
	// rate is how many tokens are added a second.
	rate float64
	// tokens is how many tokens are available, from 0 to 1.
	tokens float64
	// refilledAt is when tokens was last updated; zero means a new bucket.
	refilledAt time.Time
}

// withRate returns the bucket with another rate. A new bucket starts full.
func (b tokenBucket) withRate(rate float64) tokenBucket {
	if b.refilledAt.IsZero() {
		b.tokens = 1
	}
	b.rate = rate
	return b
}

// refill adds the tokens that have accrued since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(1, b.tokens+b.rate*max(0, now.Sub(b.refilledAt).Seconds()))
	}
	b.refilledAt = now
}

// allows reports whether a whole token is available.
func (b *tokenBucket) allows(now time.Time) bool {
	b.refill(now)
	return b.rate > 0 && b.tokens >= 1
}

// take removes the token of one request.
func (b *tokenBucket) take(now time.Time) {
	b.refill(now)
	b.tokens = max(0, b.tokens-1)
}
