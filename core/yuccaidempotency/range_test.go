package yuccaidempotency_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := simulate(t, sound); fault != "" {
			t.Fatal(fault)
		}
	})
}

// seeds is how many cases a mutant is given to show itself, and how many the
// sound mechanism withstands.
const seeds = 1000

func TestMutantsAreCaught(t *testing.T) {
	tests := []struct {
		name   string
		mutant mutant
		caught bool
	}{
		{"none", sound, false},
		{"run when the store is down", runWhenDown, true},
		{"take a lost answer for no effect", forgetLost, true},
		{"write without a condition", ignoreTag, true},
		{"release by the entry that was asked", releaseForwarded, true},
		{"trust the entry's name", trustEntry, true},
		{"release what may have run", releaseRun, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fault := firstFault(t, test.mutant)
			qt.Assert(t, fault != "", qt.Equals, test.caught, qt.Commentf("%s", fault))
		})
	}
}

func firstFault(t *testing.T, broken mutant) string {
	cases := rapid.Custom(func(t *rapid.T) string { return simulate(t, broken) })
	for seed := range seeds {
		if fault := cases.Example(seed); fault != "" {
			t.Logf("case %d: %s", seed, fault)
			return fault
		}
	}
	return ""
}
