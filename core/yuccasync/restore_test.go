package yuccasync_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRulesSurviveARestore brings the platform back from a copy that lacks the latest
// rules: no entry goes back to older ones, not even when they are written again, and the
// next version is taken by all although its write is the platform's second.
func TestRulesSurviveARestore(t *testing.T) {
	inVirtualTime(t, func(c *qt.C) {
		f := newFleet(c, "a1", "a2", "a3", "b1", "b2", "b3")
		defer f.stop()
		f.apply(1)
		copied := f.platform.Snapshot()
		for version := uint64(2); version <= 5; version++ {
			f.apply(version)
			time.Sleep(time.Second)
		}
		f.checkRulesVersion(5)

		f.platform.Restore(copied)
		time.Sleep(10 * time.Second)
		f.checkRulesVersion(5)
		f.apply(4)
		time.Sleep(time.Second)
		f.checkRulesVersion(5)
		f.apply(6)
		time.Sleep(time.Second)
		f.checkRulesVersion(6)
	})
}
