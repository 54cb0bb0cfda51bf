package yuccaidempotency_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := simulate(t, noMutation); violation != "" {
			t.Fatal(violation)
		}
	})
}

// maxCases is how many random cases the model tries for each mutant. A mutant
// must fail in one of them, the unmodified protocol in none.
const maxCases = 1000

func TestMutantsAreDetected(t *testing.T) {
	tests := []struct {
		name     string
		mutant   mutant
		detected bool
	}{
		{"none", noMutation, false},
		{"run without a claim when the store is down", runWithoutClaim, true},
		{"treat a write with a lost reply as without effect", ignoreLostWrite, true},
		{"write without a condition", writeWithoutCondition, true},
		{"release by the owner when its reply is lost", releaseByOwner, true},
		{"compare only the entry's name", compareEntryOnly, true},
		{"release a claim that may have run", releaseAfterRun, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violation := firstViolation(t, test.mutant)
			qt.Assert(t, violation != "", qt.Equals, test.detected, qt.Commentf("%s", violation))
		})
	}
}

func firstViolation(t *testing.T, mutation mutant) string {
	cases := rapid.Custom(func(t *rapid.T) string { return simulate(t, mutation) })
	for seed := range maxCases {
		if violation := cases.Example(seed); violation != "" {
			t.Logf("case %d: %s", seed, violation)
			return violation
		}
	}
	return ""
}
