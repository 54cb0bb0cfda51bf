package yuccalease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccalease"
	"yuccawell.example/core/yuccastore"
)

// late is a platform whose writes take effect at once and are answered late.
type late struct {
	*yuccafake.Platform
	by time.Duration
}

func (l *late) Put(ctx context.Context, key string, value []byte, cond yuccastore.Cond) (yuccastore.Object, error) {
	o, err := l.Platform.Put(ctx, key, value, cond)
	time.Sleep(l.by)
	return o, err
}

type first struct{}

func (first) Rank() int     { return 0 }
func (first) Epoch() uint64 { return 0 }

// TestKeeperCountsFromBeforeTheCall cuts the platform off after one write.
func TestKeeperCountsFromBeforeTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &late{yuccafake.NewPlatform(), 1500 * time.Millisecond}
		var sent time.Time
		p.OnWrite(func(yuccastore.Object) { sent = time.Now() })
		k := yuccalease.New("e1", 1, p, first{}, zerolog.Nop())
		var group errgroup.Group
		c.Assert(k.Start(t.Context(), &group), qt.IsNil)
		time.Sleep(time.Second)
		p.Fail(yuccafake.PlatformFaults{Down: true})
		time.Sleep(time.Until(sent.Add(1550 * time.Millisecond)))
		_, held := k.Held()
		c.Assert(held, qt.IsTrue)
		time.Sleep(time.Until(sent.Add(yuccalease.TTL + time.Millisecond)))
		_, held = k.Held()
		c.Assert(held, qt.IsFalse)
		c.Assert(k.Stop(context.Background()), qt.IsNil)
		c.Assert(group.Wait(), qt.IsNil)
	})
}

// TestStopGivesTheLeaseBack lets a successor take it at once.
func TestStopGivesTheLeaseBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := yuccafake.NewPlatform()
		var group errgroup.Group
		for i, name := range []string{"e1", "e2"} {
			k := yuccalease.New(name, 1, p, first{}, zerolog.Nop())
			c.Assert(k.Start(t.Context(), &group), qt.IsNil)
			time.Sleep(time.Second)
			epoch, held := k.Held()
			c.Assert(held, qt.IsTrue)
			c.Assert(epoch, qt.Equals, uint64(i+1))
			c.Assert(k.Stop(context.Background()), qt.IsNil)
		}
		_, err := p.Put(t.Context(), yuccalease.Key, nil, yuccastore.Cond{Absent: true})
		c.Assert(yuccaerror.Is(err, yuccaerror.WriteConflict), qt.IsTrue)
		c.Assert(group.Wait(), qt.IsNil)
	})
}
