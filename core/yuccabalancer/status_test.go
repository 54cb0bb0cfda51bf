package yuccabalancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
)

// TestCollectStartsCountingAnew looks at what was chosen, which changes nothing,
// and collects it.
func TestCollectStartsCountingAnew(t *testing.T) {
	c := qt.New(t)
	core := newCore(world(2, 4, "a"))
	choice := core.Ask(ask(0, 1))
	core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true})
	for _, want := range []int{1, 1} {
		c.Assert(core.Status()[0].Chosen[choice.Reason], qt.Equals, want)
	}
	c.Assert(core.StatusAndReset()[0].Chosen[choice.Reason], qt.Equals, 1)
	c.Assert(core.Status()[0].Chosen, qt.HasLen, 0)
}
