package yuccaplan

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestPlansStaySafe runs arbitrary scenarios and checks, at every step, the
// caps of moves, the slots of regions, the caps of links, the sums of shares
// and that a plan follows from a change only.
func TestPlansStaySafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := scenarios().Draw(t, "scenario").run(Make); err != nil {
			t.Fatal(err)
		}
	})
}

// TestBrokenPlannersAreCaught breaks the planner one rule at a time and checks
// that a scenario shows it.
func TestBrokenPlannersAreCaught(t *testing.T) {
	for _, c := range []struct {
		name  string
		opt   options
		fault string
	}{
		{"budgets ignore earlier plans", options{noPast: true}, "entries may use"},
		{"rates ignore earlier plans", options{noRatePast: true}, "entries may take"},
		{"no window", options{noWindow: true}, "in a window"},
		{"moves count from when they were made", options{noAcks: true}, "in a window"},
		{"a plan at every call", options{noHysteresis: true}, "no change of input"},
		{"moves lose a part", options{noConserve: true}, "gives away"},
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
			t.Fatal("no scenario shows it")
		})
	}
}
