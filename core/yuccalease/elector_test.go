package yuccalease_test

import (
	"context"
	"fmt"
	"sync/atomic"
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

// slowPlatform is a platform on which writes take effect at once and the
// responses are delayed.
type slowPlatform struct {
	*yuccafake.Platform
	// delay is the delay of a response.
	delay time.Duration
}

func (l *slowPlatform) Put(ctx context.Context, key string, value []byte, cond yuccastore.Cond) (yuccastore.Object, error) {
	o, err := l.Platform.Put(ctx, key, value, cond)
	time.Sleep(l.delay)
	return o, err
}

// firstCandidate ranks every entry first.
type firstCandidate struct{}

func (firstCandidate) Rank() int     { return 0 }
func (firstCandidate) Epoch() uint64 { return 0 }

// TestLeaseIsMeasuredFromBeforeTheWrite takes the platform down after one write
// whose response is delayed. The lease must expire TTL after the write was
// sent, not after its response.
func TestLeaseIsMeasuredFromBeforeTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &slowPlatform{yuccafake.NewPlatform(), 1500 * time.Millisecond}
		var sent time.Time
		p.OnWrite(func(yuccastore.Object) { sent = time.Now() })
		k := yuccalease.New("e1", 1, p, firstCandidate{}, zerolog.Nop())
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

// TestStopReleasesTheLease checks that a successor can acquire the lease at
// once after Stop.
func TestStopReleasesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := yuccafake.NewPlatform()
		var group errgroup.Group
		for i, name := range []string{"e1", "e2"} {
			k := yuccalease.New(name, 1, p, firstCandidate{}, zerolog.Nop())
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

// knownEpochs ranks an entry by its name. All entries know the highest epoch that any of
// them has held, as they do from the plans of the holder.
type knownEpochs struct {
	rank    int
	highest *atomic.Uint64
}

func (k knownEpochs) Rank() int     { return k.rank }
func (k knownEpochs) Epoch() uint64 { return k.highest.Load() }

// TestLeaseAfterARestore brings the platform back from a copy in which nobody holds the
// lease. Another entry may acquire it at once, under a higher epoch; the old holder stops
// when it learns of that, or at the latest when its own time runs out.
func TestLeaseAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const poll = 50 * time.Millisecond
		c := qt.New(t)
		p := yuccafake.NewPlatform()
		copied := p.Snapshot()
		var group errgroup.Group
		var highest atomic.Uint64
		electors := make([]*yuccalease.Elector, 3)
		for i := range electors {
			electors[i] = yuccalease.New(fmt.Sprint("e", i+1), 1, p, knownEpochs{i, &highest}, zerolog.Nop())
			c.Assert(electors[i].Start(t.Context(), &group), qt.IsNil)
		}
		// holders returns the epochs that are held now.
		holders := func() []uint64 {
			var epochs []uint64
			for _, k := range electors {
				if epoch, held := k.Held(); held {
					epochs = append(epochs, epoch)
					highest.Store(max(highest.Load(), epoch))
				}
			}
			return epochs
		}
		time.Sleep(10 * time.Second)
		c.Assert(holders(), qt.HasLen, 1)

		for range 3 {
			before := highest.Load()
			p.Restore(copied)
			restored := time.Now()
			for time.Since(restored) < 4*yuccalease.TTL {
				time.Sleep(poll)
				held := holders()
				if time.Since(restored) > yuccalease.TTL {
					c.Assert(len(held) <= 1, qt.IsTrue, qt.Commentf("%v held %v after the restore", held, time.Since(restored)))
				}
				for _, epoch := range held {
					c.Assert(epoch >= before, qt.IsTrue)
				}
			}
			c.Assert(holders(), qt.HasLen, 1)
			c.Assert(highest.Load() > before, qt.IsTrue)
		}
		for _, k := range electors {
			c.Assert(k.Stop(context.Background()), qt.IsNil)
		}
		c.Assert(group.Wait(), qt.IsNil)
	})
}
