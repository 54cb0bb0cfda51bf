package yuccaquota

import (
	"math"
	"time"
)

// Bucket is a token bucket that holds at most one token. Each request uses one. The
// zero value has rate zero and allows nothing.
type Bucket struct {
	// rate is how many tokens are added a second.
	rate float64
	// tokens is how many tokens are available, from 0 to 1.
	tokens float64
	// refilledAt is when tokens was last updated; zero means a new bucket.
	refilledAt time.Time
}

// Full returns a bucket that holds a token from the start.
func Full() Bucket { return Bucket{tokens: 1} }

// WithRate returns the bucket with another rate, in requests a second.
func (b Bucket) WithRate(rate float64) Bucket {
	b.rate = rate
	return b
}

// refill adds the tokens that have accrued since the last refill.
func (b *Bucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(1, b.tokens+b.rate*max(0, now.Sub(b.refilledAt).Seconds()))
	}
	b.refilledAt = now
}

// Allows reports whether a whole token is available.
func (b *Bucket) Allows(now time.Time) bool {
	b.refill(now)
	return b.rate > 0 && b.tokens >= 1
}

// Take removes the token of one request.
func (b *Bucket) Take(now time.Time) {
	b.refill(now)
	b.tokens = max(0, b.tokens-1)
}

// Wait returns the time until a whole token is available, without a limit if the rate
// is zero.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(math.MaxInt64/2, max(0, 1-b.tokens)/b.rate*float64(time.Second)))
}
