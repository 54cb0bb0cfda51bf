// Package yuccasleep provides a sleep that ends early when a context ends.
//
//	for yuccasleep.For(ctx, time.Second) {
//		// runs once a second until ctx ends
//	}
package yuccasleep

import (
	"context"
	"time"
)

// For sleeps for d and returns true, or returns false as soon as ctx ends. If d is
// zero or less, it does not sleep and returns false only if ctx has already ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
