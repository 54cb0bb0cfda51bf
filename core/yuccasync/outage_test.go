package yuccasync_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccastore"
)

var sevenNames = []string{"a1", "a2", "b1", "b2", "c1", "c2", "c3"}

// TestRollingReplacement stops all seven entries in turn and starts each again
// under its name, with the platform down for three of them.
func TestRollingReplacement(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c, sevenNames...)
		defer f.stop()
		f.apply(1)
		time.Sleep(2 * time.Second)
		for i, name := range sevenNames {
			f.platform.Fail(yuccafake.PlatformFaults{Down: i >= 2 && i < 5})
			leaving := f.nodes[0]
			leaving.feed.Leave()
			time.Sleep(3 * time.Second)
			for _, n := range f.nodes {
				c.Assert(f.usable(n), qt.HasLen, len(sevenNames)-1, qt.Commentf("%s while %s leaves", n.name, name))
			}
			f.kill(leaving)
			f.net.Cut(name, false)
			f.start(name)
			time.Sleep(4 * time.Second)
			f.inForce(1)
			for _, n := range f.nodes {
				c.Assert(f.usable(n), qt.DeepEquals, sevenNames, qt.Commentf("%s after %s came back", n.name, name))
			}
		}
	})
}

// TestPlatformDownForTenMinutes brings an entry's death, a planned stop and a
// cut between domains into one outage, then a change right after it.
func TestPlatformDownForTenMinutes(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		f := newFleet(c, sevenNames...)
		defer f.stop()
		f.apply(1)
		f.platform.SetInstance(yuccastore.Instance{Name: "s0", Kind: yuccastore.KindServer, Region: "a", Leaving: true})
		time.Sleep(3 * time.Second)
		f.platform.Fail(yuccafake.PlatformFaults{Down: true})
		time.Sleep(3 * time.Minute)
		f.kill(f.nodes[1])
		time.Sleep(2 * time.Minute)
		f.nodes[5].feed.Leave()
		f.net.SetPartitioned("a", "b", true)
		time.Sleep(time.Minute)
		f.net.SetPartitioned("a", "b", false)
		time.Sleep(4 * time.Minute)
		f.inForce(1)
		for _, n := range f.nodes {
			c.Assert(f.usable(n), qt.DeepEquals, []string{"a1", "b1", "b2", "c1", "c2"}, qt.Commentf("%s", n.name))
			c.Assert(n.feed.Snapshot().View.Servers(), qt.HasLen, 4)
			c.Assert(n.feed.Snapshot().View.Servers()[0].Leaving, qt.IsTrue)
		}
		before := f.platform.Calls()
		f.platform.Fail(yuccafake.PlatformFaults{Lag: 30 * time.Second})
		f.apply(2)
		time.Sleep(3 * time.Second)
		f.inForce(2)
		after := f.platform.Calls()
		c.Assert(after["instances"]-before["instances"] <= 6*5, qt.IsTrue)
	})
}
