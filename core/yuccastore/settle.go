package yuccastore

import (
	"context"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapause"
)

// Outcome says what became of a conditional write.
type Outcome uint8

// The outcomes.
const (
	// Unknown means the write may or may not have taken effect.
	Unknown Outcome = iota
	// Written means the write took effect.
	Written
	// Conflict means the write did not and will not take effect because another
	// writer came first.
	Conflict
)

// ReadBackInterval is the pause between two attempts to read a write back.
const ReadBackInterval = 200 * time.Millisecond

// PutConfirmed makes a conditional write and, when the answer is lost, finds out by
// reading back whether it took effect. The function mine tells whether a stored
// value holds this writer's own write, be it overwritten since: so values must
// carry something unique to each of the last few writes, such as submission
// ids.
//
// PutConfirmed goes on until it knows or ctx ends; then it returns Unknown and an
// error of kind Platform.
func PutConfirmed(ctx context.Context, s Store, key string, value []byte, cond Cond, mine func(Object) bool) (Object, Outcome, error) {
	unanswered := false
	for {
		o, err := s.Put(ctx, key, value, cond)
		switch yuccaerror.KindOf(err) {
		case yuccaerror.None:
			o.Value = value
			return o, Written, nil
		case yuccaerror.PlatformUnavailable:
			unanswered = true
		case yuccaerror.WriteConflict, yuccaerror.Throttled:
		default:
			return Object{}, Unknown, err
		}
		o, readErr := s.Get(ctx, key)
		raced := yuccaerror.Is(err, yuccaerror.WriteConflict)
		switch {
		case readErr == nil && mine(o):
			return o, Written, nil
		case raced && (!unanswered || readErr == nil && !stale(o, cond)):
			return o, Conflict, yuccaerror.New(yuccaerror.WriteConflict, "%s was written by another", key)
		}
		if !yuccapause.For(ctx, ReadBackInterval) {
			return Object{}, Unknown, yuccaerror.New(yuccaerror.PlatformUnavailable, "write of %s is not settled: %w", key, ctx.Err())
		}
	}
}

// stale reports whether an object read after its condition failed is the one
// from before that.
func stale(o Object, cond Cond) bool { return o.Tag == cond.Tag }
