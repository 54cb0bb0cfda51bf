package yuccastore

import (
	"context"
	"time"

	"yuccawell.example/core/yuccafault"
)

// Outcome says what became of a conditional write.
type Outcome uint8

// The outcomes.
const (
	// Unknown means the write may or may not have taken effect.
	Unknown Outcome = iota
	// Written means the write took effect.
	Written
	// Lost means the write did not and will not take effect because another
	// writer came first.
	Lost
)

// SettleWait is the pause between two attempts to read a write back.
const SettleWait = 200 * time.Millisecond

// Settle makes a conditional write and, when the answer is lost, finds out by
// reading back whether it took effect. The function mine tells whether a stored
// value is this writer's own, so the value must carry something unique to the
// write, such as a submission id.
//
// Settle goes on until it knows or ctx ends; then it returns Unknown and an
// error of kind Platform.
func Settle(ctx context.Context, s Store, key string, value []byte, cond Cond, mine func(Object) bool) (Object, Outcome, error) {
	for {
		o, err := s.Put(ctx, key, value, cond)
		if err == nil {
			o.Value = value
			return o, Written, nil
		}
		kind := yuccafault.KindOf(err)
		if kind != yuccafault.Platform && kind != yuccafault.Raced {
			return Object{}, Unknown, err
		}
		o, known, readErr := readBack(ctx, s, key, kind, mine)
		switch {
		case known && readErr == nil && mine(o):
			return o, Written, nil
		case known:
			return o, Lost, yuccafault.New(yuccafault.Raced, "%s was written by another", key)
		}
		if err := pause(ctx, SettleWait); err != nil {
			return Object{}, Unknown, yuccafault.New(yuccafault.Platform, "write of %s is not settled: %w", key, err)
		}
	}
}

// readBack reads an object after a write whose answer is not known to be its
// own. A write that lost its condition is known to be over; a write without an
// answer is known to be over only when its value is found.
func readBack(ctx context.Context, s Store, key string, kind yuccafault.Kind, mine func(Object) bool) (Object, bool, error) {
	o, err := s.Get(ctx, key)
	if yuccafault.Is(err, yuccafault.Missing) {
		return Object{Key: key}, kind == yuccafault.Raced, err
	}
	if err != nil {
		return Object{}, false, err
	}
	return o, kind == yuccafault.Raced || mine(o), nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
