package yuccafake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccastore"
)

func TestWriteConditions(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		cond func(tag string) yuccastore.Cond
		want yuccaerror.Kind
	}{
		{"no condition", func(string) yuccastore.Cond { return yuccastore.Cond{} }, yuccaerror.None},
		{"matching tag", func(tag string) yuccastore.Cond { return yuccastore.Cond{Tag: tag} }, yuccaerror.None},
		{"other tag", func(string) yuccastore.Cond { return yuccastore.Cond{Tag: `"0"`} }, yuccaerror.WriteConflict},
		{"object must be absent", func(string) yuccastore.Cond { return yuccastore.Cond{Absent: true} }, yuccaerror.WriteConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := yuccafake.NewPlatform()
			o, err := p.Put(ctx, "k", []byte("1"), yuccastore.Cond{Absent: true})
			c.Assert(err, qt.IsNil)
			_, err = p.Put(ctx, "k", []byte("2"), test.cond(o.Tag))
			c.Assert(yuccaerror.KindOf(err), qt.Equals, test.want)
		})
	}
}

func TestPutConfirmed(t *testing.T) {
	isOwn := func(o yuccastore.Object) bool { return string(o.Value) == "mine" }
	tests := []struct {
		name  string
		setup func(*yuccafake.Platform)
		cond  yuccastore.Cond
		want  yuccastore.Outcome
		kind  yuccaerror.Kind
	}{
		{"no fault", func(*yuccafake.Platform) {}, yuccastore.Cond{Absent: true}, yuccastore.Written, yuccaerror.None},
		{"reply lost", func(p *yuccafake.Platform) { p.Fail(yuccafake.PlatformFaults{LostReplies: 1}) }, yuccastore.Cond{Absent: true}, yuccastore.Written, yuccaerror.None},
		{"another writer came first", func(p *yuccafake.Platform) {
			_, _ = p.Put(context.Background(), "k", []byte("theirs"), yuccastore.Cond{})
		}, yuccastore.Cond{Absent: true}, yuccastore.Conflict, yuccaerror.WriteConflict},
		{"platform stays down", func(p *yuccafake.Platform) { p.Fail(yuccafake.PlatformFaults{Down: true}) }, yuccastore.Cond{Absent: true}, yuccastore.Unknown, yuccaerror.PlatformUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := yuccafake.NewPlatform()
				test.setup(p)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				_, outcome, err := yuccastore.PutConfirmed(ctx, p, "k", []byte("mine"), test.cond, isOwn)
				c.Assert(outcome, qt.Equals, test.want)
				c.Assert(yuccaerror.KindOf(err), qt.Equals, test.kind)
			})
		})
	}
}

// TestListWaitAndInstanceLag checks that a list waits for a change until its
// timeout, and that a new instance shows only after the lag.
func TestListWaitAndInstanceLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		p := yuccafake.NewPlatform()
		start := time.Now()
		page, err := p.List(ctx, "shared/", 0, 30*time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Objects, qt.HasLen, 0)
		c.Assert(time.Since(start), qt.Equals, 30*time.Second)

		p.Fail(yuccafake.PlatformFaults{Lag: 10 * time.Second})
		p.SetInstance(yuccastore.Instance{Name: "a"})
		list, _ := p.Instances(ctx)
		c.Assert(list.Instances, qt.HasLen, 0)
		time.Sleep(10 * time.Second)
		list, _ = p.Instances(ctx)
		c.Assert(list.Instances, qt.HasLen, 1)
		c.Assert(p.Calls()["instances"], qt.Equals, uint64(2))
	})
}
