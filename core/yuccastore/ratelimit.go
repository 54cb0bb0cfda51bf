package yuccastore

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"yuccawell.example/core/yuccaerror"
)

// maxLimiterWait is the longest time that a call waits for the rate limiter.
const maxLimiterWait = time.Second

// RateLimited is a Store that limits the calls per second to another Store. A
// call that would wait longer than a second for the limiter fails with kind
// Throttled and is not sent. Make one with NewRateLimited.
type RateLimited struct {
	store   Store
	limiter *rate.Limiter
}

// NewRateLimited returns a store that makes at most perSecond calls a second to
// s. The burst is perSecond rounded down, at least 2.
func NewRateLimited(s Store, perSecond float64) *RateLimited {
	l := &RateLimited{store: s, limiter: rate.NewLimiter(0, 1)}
	l.SetRate(perSecond)
	return l
}

// SetRate changes the limit, in calls per second, and the burst with it.
func (l *RateLimited) SetRate(perSecond float64) {
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(max(2, int(perSecond)))
}

// acquire waits until the limiter admits one call.
func (l *RateLimited) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxLimiterWait)
	defer cancel()
	if err := l.limiter.Wait(ctx); err != nil {
		return yuccaerror.New(yuccaerror.Throttled, "platform call not sent: over the rate limit: %w", err)
	}
	return nil
}

// Get implements Store.
func (l *RateLimited) Get(ctx context.Context, key string) (Object, error) {
	if err := l.acquire(ctx); err != nil {
		return Object{}, err
	}
	return l.store.Get(ctx, key)
}

// Put implements Store.
func (l *RateLimited) Put(ctx context.Context, key string, value []byte, cond Cond) (Object, error) {
	if err := l.acquire(ctx); err != nil {
		return Object{}, err
	}
	return l.store.Put(ctx, key, value, cond)
}

// Delete implements Store.
func (l *RateLimited) Delete(ctx context.Context, key string, cond Cond) error {
	if err := l.acquire(ctx); err != nil {
		return err
	}
	return l.store.Delete(ctx, key, cond)
}

// List implements Store.
func (l *RateLimited) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	if err := l.acquire(ctx); err != nil {
		return Page{}, err
	}
	return l.store.List(ctx, prefix, after, wait)
}

// Instances implements Store.
func (l *RateLimited) Instances(ctx context.Context) (Instances, error) {
	if err := l.acquire(ctx); err != nil {
		return Instances{}, err
	}
	return l.store.Instances(ctx)
}
