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

// scriptedStore is a Store that runs hooks before some of its calls.
type scriptedStore struct {
	yuccastore.Store
	calls int
	// hooks are the functions to run, by the number of the call from 1 on.
	hooks map[int]func()
}

func (s *scriptedStore) beforeCall() {
	s.calls++
	if hook, ok := s.hooks[s.calls]; ok {
		hook()
	}
}

func (s *scriptedStore) Put(ctx context.Context, key string, value []byte, cond yuccastore.Cond) (yuccastore.Object, error) {
	s.beforeCall()
	return s.Store.Put(ctx, key, value, cond)
}

func (s *scriptedStore) Get(ctx context.Context, key string) (yuccastore.Object, error) {
	s.beforeCall()
	return s.Store.Get(ctx, key)
}

// TestPutConfirmedAfterLostReply loses the response to a conditional write.
// PutConfirmed must still find the right outcome when, before it reads the value
// back, others overwrite the value or reads fail or return old data.
func TestPutConfirmedAfterLostReply(t *testing.T) {
	ctx := context.Background()
	var p *yuccafake.Platform
	var base, own yuccarule.Document
	overwrite := func() {
		o, _ := p.Get(ctx, "k")
		d, _, _ := yuccarule.DecodeDocument(o.Value)
		value, _ := d.Next("other", "", time.Time{}, "").Encode()
		_, _ = p.Put(ctx, "k", value, yuccastore.Cond{Tag: o.Tag})
	}
	tests := []struct {
		name  string
		hooks map[int]func()
		want  yuccastore.Outcome
	}{
		{"read back", map[int]func(){}, yuccastore.Written},
		{"overwritten before it is read back", map[int]func(){2: overwrite}, yuccastore.Written},
		{"read fails, then overwritten", map[int]func(){
			2: func() { p.Fail(yuccafake.PlatformFaults{Down: true}) },
			3: func() { p.Fail(yuccafake.PlatformFaults{}); overwrite(); overwrite() },
		}, yuccastore.Written},
		{"stale reads for a while", map[int]func(){
			2: func() { p.Fail(yuccafake.PlatformFaults{StaleReads: true}) },
			7: func() { p.Fail(yuccafake.PlatformFaults{}) },
		}, yuccastore.Written},
		{"never written, another writer was first", map[int]func(){
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
				own = base.Next("own", "", time.Time{}, "")
				value, _ = own.Encode()
				_, outcome, err := yuccastore.PutConfirmed(ctx, &scriptedStore{Store: p, hooks: test.hooks}, "k", value, yuccastore.Cond{Tag: o.Tag}, func(o yuccastore.Object) bool {
					d, _, err := yuccarule.DecodeDocument(o.Value)
					return err == nil && d.HasSubmission("own")
				})
				c.Assert(outcome, qt.Equals, test.want, qt.Commentf("%v", err))
			})
		})
	}
}

// TestRateLimitedBoundsCallRate makes calls without pause, as after an outage,
// and checks the rate that reaches the store. A round is a little shorter than a
// second, so that it does not end at the same instant as a wait for the limiter:
// which of the two comes first is not determined.
func TestRateLimitedBoundsCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := yuccafake.NewPlatform()
		limited := yuccastore.NewRateLimited(p, 10)
		const (
			seconds = 5
			round   = 970 * time.Millisecond
		)
		throttled := 0
		for range seconds {
			ctx, cancel := context.WithTimeout(t.Context(), round)
			for ctx.Err() == nil {
				_, err := limited.Instances(ctx)
				if yuccaerror.Is(err, yuccaerror.Throttled) {
					throttled++
					<-ctx.Done()
				}
			}
			cancel()
		}
		calls := p.Calls()["instances"]
		c.Assert(calls <= seconds*10+10, qt.IsTrue, qt.Commentf("%d calls in %d s", calls, seconds))
		c.Assert(calls >= seconds*9, qt.IsTrue, qt.Commentf("%d calls in %d s", calls, seconds))
		c.Assert(throttled, qt.Equals, seconds)
		limited.SetRate(0.5)
		before := p.Calls()["instances"]
		for range 100 {
			_, _ = limited.Instances(t.Context())
		}
		c.Assert(p.Calls()["instances"]-before <= 2, qt.IsTrue)
	})
}
