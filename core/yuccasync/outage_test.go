package yuccasync_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccastore"
)

var sevenEntries = []string{"a1", "a2", "b1", "b2", "c1", "c2", "c3"}

// TestRollingReplacement restarts all seven entries one after the other under
// the same names, three of them during a platform outage.
func TestRollingReplacement(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, sevenEntries...)
		defer f.stop()
		f.apply(1)
		time.Sleep(2 * time.Second)
		for i, name := range sevenEntries {
			f.platform.Fail(yuccafake.PlatformFaults{Down: i >= 2 && i < 5})
			leaving := f.nodes[0]
			leaving.syncer.Leave()
			time.Sleep(3 * time.Second)
			for _, n := range f.nodes {
				c.Assert(f.activeEntries(n), qt.HasLen, len(sevenEntries)-1, qt.Commentf("%s while %s leaves", n.name, name))
			}
			f.kill(leaving)
			f.net.SetDisconnected(name, false)
			f.start(name)
			time.Sleep(4 * time.Second)
			f.checkRulesVersion(1)
			for _, n := range f.nodes {
				c.Assert(f.activeEntries(n), qt.DeepEquals, sevenEntries, qt.Commentf("%s after %s came back", n.name, name))
			}
		}
	})
}

// TestPlatformDownForTenMinutes combines a platform outage with the crash of an
// entry, a planned stop and a network partition between failure domains. It
// applies a change right after the outage.
func TestPlatformDownForTenMinutes(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, sevenEntries...)
		defer f.stop()
		f.apply(1)
		f.platform.SetInstance(yuccastore.Instance{Name: "s0", Kind: yuccastore.KindServer, Region: "a", Leaving: true})
		time.Sleep(3 * time.Second)
		f.platform.Fail(yuccafake.PlatformFaults{Down: true})
		time.Sleep(3 * time.Minute)
		f.kill(f.nodes[1])
		time.Sleep(2 * time.Minute)
		f.nodes[5].syncer.Leave()
		f.net.SetPartitioned("a", "b", true)
		time.Sleep(time.Minute)
		f.net.SetPartitioned("a", "b", false)
		time.Sleep(4 * time.Minute)
		f.checkRulesVersion(1)
		for _, n := range f.nodes {
			c.Assert(f.activeEntries(n), qt.DeepEquals, []string{"a1", "b1", "b2", "c1", "c2"}, qt.Commentf("%s", n.name))
			c.Assert(n.syncer.Snapshot().View.Servers(), qt.HasLen, 4)
			c.Assert(n.syncer.Snapshot().View.Servers()[0].Leaving, qt.IsTrue)
		}
		before := f.platform.Calls()
		f.platform.Fail(yuccafake.PlatformFaults{Lag: 30 * time.Second})
		f.apply(2)
		time.Sleep(3 * time.Second)
		f.checkRulesVersion(2)
		after := f.platform.Calls()
		c.Assert(after["instances"]-before["instances"] <= 6*5, qt.IsTrue)
	})
}
