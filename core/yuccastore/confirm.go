package yuccastore

import (
	"context"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccasleep"
)

// Outcome is the result of a conditional write.
type Outcome uint8

// The outcomes of PutConfirmed.
const (
	// Unknown means that the write may or may not have taken effect.
	Unknown Outcome = iota
	// Written means that the write took effect.
	Written
	// Conflict means that the write did not and will not take effect, because
	// another writer changed the object first.
	Conflict
)

// ReadBackInterval is the pause before PutConfirmed tries the write again.
const ReadBackInterval = 200 * time.Millisecond

// PutConfirmed makes a conditional write. When the response is lost, it reads
// the object back to find out whether the write took effect.
//
// The function hasOwnWrite reports whether a stored value includes this write,
// also when others have written on top of it. So each value must carry something
// unique to each of the last few writes, such as their submission ids.
//
// PutConfirmed retries until the outcome is known or ctx ends. When ctx ends, it
// returns Unknown and an error of kind PlatformUnavailable. Errors other than
// PlatformUnavailable, WriteConflict and Throttled are returned at once.
func PutConfirmed(ctx context.Context, s Store, key string, value []byte, cond Cond, hasOwnWrite func(Object) bool) (Object, Outcome, error) {
	replyLost := false
	for {
		o, err := s.Put(ctx, key, value, cond)
		switch yuccaerror.KindOf(err) {
		case yuccaerror.None:
			o.Value = value
			return o, Written, nil
		case yuccaerror.PlatformUnavailable:
			replyLost = true
		case yuccaerror.WriteConflict, yuccaerror.Throttled:
		default:
			return Object{}, Unknown, err
		}
		o, readErr := s.Get(ctx, key)
		conflict := yuccaerror.Is(err, yuccaerror.WriteConflict)
		switch {
		case readErr == nil && hasOwnWrite(o):
			return o, Written, nil
		case conflict && (!replyLost || readErr == nil && !stale(o, cond)):
			return o, Conflict, yuccaerror.New(yuccaerror.WriteConflict, "%s was changed by another writer", key)
		}
		if !yuccasleep.For(ctx, ReadBackInterval) {
			return Object{}, Unknown, yuccaerror.New(yuccaerror.PlatformUnavailable, "cannot tell whether the write of %s took effect: %w", key, ctx.Err())
		}
	}
}

// stale reports whether an object read after a failed condition still has the
// tag that the condition required. Such a read is older than the failure, so it
// cannot show who changed the object.
func stale(o Object, cond Cond) bool { return o.Tag == cond.Tag }
