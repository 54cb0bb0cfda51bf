package yuccastore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// script runs a function before each call, by its number.
type script struct {
	yuccastore.Store
	calls int
	at    map[int]func()
}

func (s *script) step() {
	s.calls++
	if f, ok := s.at[s.calls]; ok {
		f()
	}
}

func (s *script) Put(ctx context.Context, key string, value []byte, cond yuccastore.Cond) (yuccastore.Object, error) {
	s.step()
	return s.Store.Put(ctx, key, value, cond)
}

func (s *script) Get(ctx context.Context, key string) (yuccastore.Object, error) {
	s.step()
	return s.Store.Get(ctx, key)
}

// TestSettleLostAnswer loses the answer to a write of version 2 and brings
// about what may happen before it is read back.
func TestSettleLostAnswer(t *testing.T) {
	ctx := context.Background()
	var p *yuccafake.Platform
	var base, mine yuccarule.Document
	overwrite := func() {
		o, _ := p.Get(ctx, "k")
		d, _, _ := yuccarule.DecodeDocument(o.Value)
		value, _ := d.Next("theirs", "", time.Time{}, "").Encode()
		_, _ = p.Put(ctx, "k", value, yuccastore.Cond{Tag: o.Tag})
	}
	tests := []struct {
		name string
		at   map[int]func()
		want yuccastore.Outcome
	}{
		{"read back", map[int]func(){}, yuccastore.Written},
		{"overwritten before it is read back", map[int]func(){2: overwrite}, yuccastore.Written},
		{"read fails, then overwritten", map[int]func(){
			2: func() { p.Fail(yuccafake.PlatformFaults{Down: true}) },
			3: func() { p.Fail(yuccafake.PlatformFaults{}); overwrite(); overwrite() },
		}, yuccastore.Written},
		{"stale reads for a while", map[int]func(){
			2: func() { p.Fail(yuccafake.PlatformFaults{Old: true}) },
			7: func() { p.Fail(yuccafake.PlatformFaults{}) },
		}, yuccastore.Written},
		{"never written, other came first", map[int]func(){
			1: func() { p.Fail(yuccafake.PlatformFaults{Down: true}) },
			2: func() { p.Fail(yuccafake.PlatformFaults{}); overwrite() },
		}, yuccastore.Conflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p = yuccafake.NewPlatform()
				base = yuccarule.Document{}.Next("base", "", time.Time{}, "")
				value, _ := base.Encode()
				o, err := p.Put(ctx, "k", value, yuccastore.Cond{Absent: true})
				c.Assert(err, qt.IsNil)
				p.Fail(yuccafake.PlatformFaults{LostReplies: 1})
				mine = base.Next("mine", "", time.Time{}, "")
				value, _ = mine.Encode()
				_, outcome, err := yuccastore.PutConfirmed(ctx, &script{Store: p, at: test.at}, "k", value, yuccastore.Cond{Tag: o.Tag}, func(o yuccastore.Object) bool {
					d, _, err := yuccarule.DecodeDocument(o.Value)
					return err == nil && d.HasSubmission("mine")
				})
				c.Assert(outcome, qt.Equals, test.want, qt.Commentf("%v", err))
			})
		})
	}
}

// TestLimitedHoldsTheRate lets many callers call at once, as after an outage. The
// rounds are a little shorter than a second, so that no round ends at the very
// instant of a call's turn: which of the two comes first is not determined.
func TestLimitedHoldsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := yuccafake.NewPlatform()
		l := yuccastore.NewRateLimited(p, 10)
		const (
			seconds = 5
			round   = 970 * time.Millisecond
		)
		refused := 0
		for range seconds {
			ctx, cancel := context.WithTimeout(t.Context(), round)
			for ctx.Err() == nil {
				_, err := l.Instances(ctx)
				if yuccaerror.Is(err, yuccaerror.Throttled) {
					refused++
					<-ctx.Done()
				}
			}
			cancel()
		}
		calls := p.Calls()["instances"]
		c.Assert(calls <= seconds*10+10, qt.IsTrue, qt.Commentf("%d calls in %d s", calls, seconds))
		c.Assert(calls >= seconds*9, qt.IsTrue, qt.Commentf("%d calls in %d s", calls, seconds))
		c.Assert(refused, qt.Equals, seconds)
		l.SetRate(0.5)
		before := p.Calls()["instances"]
		for range 100 {
			_, _ = l.Instances(t.Context())
		}
		c.Assert(p.Calls()["instances"]-before <= 2, qt.IsTrue)
	})
}
