package yuccasync_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

func encodedRules(version uint64) []byte {
	d := yuccarule.Document{Version: version, ID: "x", Text: "region a domains=a1 # t\nservice s host=s regions=a # t"}
	value, err := d.Encode()
	if err != nil {
		panic(err)
	}
	return value
}

// TestRulesVersionNeverDecreases applies rules documents in random order.
func TestRulesVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := yuccasync.NewState("a")
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			s, _ = s.Update(yuccasync.RulesUpdate{Document: yuccarule.Document{Version: v}})
			highest = max(highest, v)
			if got := s.Snapshot().Document.Version; got != highest {
				t.Fatalf("version %d in force after %d was seen", got, highest)
			}
		}
	})
}

func TestSyncerFollowsPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		p := yuccafake.NewPlatform()
		f := yuccasync.New(yuccasync.Settings{Name: "e1", Region: "a"}, p, yuccafake.NewNet().Bus("e1"), zerolog.Nop())
		group, _ := errgroup.WithContext(ctx)
		c.Assert(f.Start(ctx, group), qt.IsNil)
		synctest.Wait()
		c.Assert(f.Snapshot().Ready(), qt.IsFalse)

		_, err := p.Put(ctx, yuccasync.RulesKey, encodedRules(1), yuccastore.Cond{})
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		c.Assert(f.Snapshot().Document.Version, qt.Equals, uint64(1))

		p.Fail(yuccafake.PlatformFaults{Down: true})
		time.Sleep(10 * time.Minute)
		c.Assert(f.Snapshot().Document.Version, qt.Equals, uint64(1))
		p.Fail(yuccafake.PlatformFaults{})
		_, err = p.Put(ctx, yuccasync.RulesKey, encodedRules(2), yuccastore.Cond{})
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(f.Snapshot().Document.Version, qt.Equals, uint64(2))

		p.Fail(yuccafake.PlatformFaults{StaleReads: true})
		_, err = p.Put(ctx, yuccasync.LeavingPrefix+"e1", nil, yuccastore.Cond{})
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Minute)
		c.Assert(f.Snapshot().Document.Version, qt.Equals, uint64(2))

		c.Assert(f.Stop(ctx), qt.IsNil)
		c.Assert(group.Wait(), qt.IsNil)
		<-f.Done()
	})
}

func decodePlan(value []byte) yuccaplan.Plan {
	var p yuccaplan.Plan
	if err := json.Unmarshal(value, &p); err != nil {
		panic(err)
	}
	return p
}

// TestStalePageIsReadAgain guards against a lost change when a watch returns
// the version before the one that ended it.
func TestStalePageIsReadAgain(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, "a1")
		defer f.stop()
		f.apply(1)
		time.Sleep(time.Second)
		f.platform.Fail(yuccafake.PlatformFaults{StaleReads: true})
		f.apply(2)
		time.Sleep(10 * time.Second)
		f.checkRulesVersion(1)
		f.platform.Fail(yuccafake.PlatformFaults{})
		time.Sleep(5 * time.Second)
		f.checkRulesVersion(2)
	})
}
