package yuccaplan

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestPlansKeepLimits runs random scenarios. At every step it checks the shift
// limits, the slots of regions, the caps of links, the sums of shares, and that
// the planner makes a new plan only after a change of the input.
func TestPlansKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := scenarios().Draw(t, "scenario").run(Make); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFaultyPlannersAreDetected disables one safety check of the planner at a time
// and verifies that a scenario detects it.
func TestFaultyPlannersAreDetected(t *testing.T) {
	for _, c := range []struct {
		name  string
		opt   faultOptions
		fault string
	}{
		{"budgets ignore earlier plans", faultOptions{ignorePriorSlots: true}, "entries may use"},
		{"rates ignore earlier plans", faultOptions{ignorePriorRates: true}, "entries may receive"},
		{"moves of the last window do not count", faultOptions{ignoreWindow: true}, "in a window"},
		{"moves count from when they were made", faultOptions{ignoreAcks: true}, "in a window"},
		{"a new plan at every call", faultOptions{alwaysNewPlan: true}, "no change of input"},
		{"moved share is lost", faultOptions{loseMovedShare: true}, "shares in plan"},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := func(in Input) Plan { return makePlan(in, c.opt) }
			for seed := range 2000 {
				err := scenarios().Example(seed).run(broken)
				if err != nil && strings.Contains(err.Error(), c.fault) {
					t.Logf("scenario %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no scenario detects the fault")
		})
	}
}
