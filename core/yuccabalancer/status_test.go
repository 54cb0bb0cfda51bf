package yuccabalancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
)

// TestStatusAndResetClearsCounts reads the status twice, which changes
// nothing, and then resets the counts.
func TestStatusAndResetClearsCounts(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(2, 4, "a"))
	choice := core.Choose(request(0, 1))
	core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true})
	for _, want := range []int{1, 1} {
		c.Assert(core.Status()[0].Chosen[choice.Reason], qt.Equals, want)
	}
	c.Assert(core.StatusAndReset()[0].Chosen[choice.Reason], qt.Equals, 1)
	c.Assert(core.Status()[0].Chosen, qt.HasLen, 0)
}
