package yuccaquota

import (
	"math"
	"time"
)

// maxWait bounds the time after which a refused request is told to come back.
const maxWait = 5 * time.Second

// SharedBucket is one entry's token bucket for a limit that all entries share. It starts
// empty. Only the passing of time adds tokens, at this entry's part of the rate, so that
// what all entries admit is bounded by their capacities and their rates, whatever
// messages are lost.
type SharedBucket struct {
	// rate is this entry's part of the rate, in tokens a second.
	rate float64
	// capacity is how many tokens the bucket holds at most.
	capacity float64
	// tokens is how many tokens are available.
	tokens float64
	// refilledAt is when tokens was last updated.
	refilledAt time.Time
	// until is the end of the time in which tokens are added; zero means without end.
	until time.Time
}

// refill adds the tokens that have accrued since the last refill.
func (b *SharedBucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	end := now
	if !b.until.IsZero() && end.After(b.until) {
		end = b.until
	}
	if elapsed := end.Sub(b.refilledAt); !b.refilledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+b.rate*elapsed.Seconds())
	}
	b.refilledAt = now
}

// SetPart sets the rate in tokens a second, the end of the time in which it holds, and
// the capacity. Without an end, the rate holds on. Tokens beyond the capacity are lost.
func (b *SharedBucket) SetPart(now time.Time, rate float64, until time.Time, capacity float64) {
	b.refill(now)
	b.rate, b.until, b.capacity = rate, until, capacity
	b.tokens = min(b.tokens, capacity)
}

// Fill fills the bucket.
func (b *SharedBucket) Fill() { b.tokens = b.capacity }

// Take removes the token of one request and reports whether there was one.
func (b *SharedBucket) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return adds the token of a request that has not run.
func (b *SharedBucket) Return() { b.tokens = min(b.capacity, b.tokens+1) }

// Missing returns how many tokens fit into the bucket.
func (b *SharedBucket) Missing() float64 { return max(0, b.capacity-b.tokens) }

// Wait returns the time until a whole token is available at the present rate.
func (b *SharedBucket) Wait() time.Duration {
	if b.rate <= 0 {
		return maxWait
	}
	return time.Duration(math.Ceil(min(maxWait.Seconds(), max(0, 1-b.tokens)/b.rate) * float64(time.Second)))
}
