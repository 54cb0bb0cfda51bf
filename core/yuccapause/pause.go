// Package yuccapause waits for a length of time or the end of a context,
// whichever comes first.
//
//	for yuccapause.For(ctx, time.Second) {
//		// once a second until ctx ends
//	}
package yuccapause

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx was still alive at its end. A d of zero
// or less does not wait.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
