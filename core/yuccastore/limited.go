package yuccastore

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"yuccawell.example/core/yuccaerror"
)

// paceWait is the longest wait of one call for its turn.
const paceWait = time.Second

// RateLimited is a Store that bounds the calls per second. A call that would have
// to wait too long fails with kind Unclaimed and is not sent. Make one with
// NewRateLimited.
type RateLimited struct {
	store   Store
	limiter *rate.Limiter
}

// NewRateLimited returns a store that makes at most perSecond calls a second to s,
// and as many at once.
func NewRateLimited(s Store, perSecond float64) *RateLimited {
	l := &RateLimited{store: s, limiter: rate.NewLimiter(0, 1)}
	l.SetRate(perSecond)
	return l
}

// SetRate sets the bound from now on.
func (l *RateLimited) SetRate(perSecond float64) {
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(max(2, int(perSecond)))
}

func (l *RateLimited) turn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, paceWait)
	defer cancel()
	if err := l.limiter.Wait(ctx); err != nil {
		return yuccaerror.New(yuccaerror.Throttled, "platform call budget: %w", err)
	}
	return nil
}

// Get implements Store.
func (l *RateLimited) Get(ctx context.Context, key string) (Object, error) {
	if err := l.turn(ctx); err != nil {
		return Object{}, err
	}
	return l.store.Get(ctx, key)
}

// Put implements Store.
func (l *RateLimited) Put(ctx context.Context, key string, value []byte, cond Cond) (Object, error) {
	if err := l.turn(ctx); err != nil {
		return Object{}, err
	}
	return l.store.Put(ctx, key, value, cond)
}

// Delete implements Store.
func (l *RateLimited) Delete(ctx context.Context, key string, cond Cond) error {
	if err := l.turn(ctx); err != nil {
		return err
	}
	return l.store.Delete(ctx, key, cond)
}

// List implements Store.
func (l *RateLimited) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	if err := l.turn(ctx); err != nil {
		return Page{}, err
	}
	return l.store.List(ctx, prefix, after, wait)
}

// Instances implements Store.
func (l *RateLimited) Instances(ctx context.Context) (Instances, error) {
	if err := l.turn(ctx); err != nil {
		return Instances{}, err
	}
	return l.store.Instances(ctx)
}
