package yuccaidempotency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaidempotency"
)

func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := simulate(t, noMutation); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestRetriedWritesKeepTheirInterval has every write of a shard fail. Each further one
// waits until a store call is allowed, as the first one does.
func TestRetriedWritesKeepTheirInterval(t *testing.T) {
	const maxWrites = 3
	now := time.Unix(0, 0)
	shard := yuccaidempotency.NewShard(yuccaidempotency.Limits{Expiry: time.Hour, MaxOpenRecords: 8, MaxKeys: 8, MaxWrites: maxWrites})
	shard, commands := shard.Update(yuccaidempotency.ClaimRequested{Record: yuccaidempotency.Record{ID: yuccaidempotency.ID{1}, Attempt: yuccaidempotency.Attempt{1}}})
	allowed, writes := 0, 0
	for len(commands) > 0 {
		next := commands[0]
		commands = commands[1:]
		var m yuccaidempotency.Message
		switch next.(type) {
		case yuccaidempotency.Schedule:
			allowed++
			m = yuccaidempotency.StoreCallAllowed{Now: now}
		case yuccaidempotency.Load:
			m = yuccaidempotency.Loaded{Now: now}
		case yuccaidempotency.Write:
			writes++
			qt.Assert(t, allowed, qt.Equals, writes)
			m = yuccaidempotency.WriteFailed{}
		default:
			continue
		}
		var more []yuccaidempotency.Command
		shard, more = shard.Update(m)
		commands = append(commands, more...)
	}
	qt.Assert(t, writes, qt.Equals, maxWrites)
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
