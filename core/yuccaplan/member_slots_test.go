package yuccaplan_test

import (
	"testing"

	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaplan"
)

// slotDivider is a function that divides slots as MemberSlots does.
type slotDivider func(total, members int, service string, index int) int

// checkSlotDivider checks that the members' slots add up to the total of their
// plan, and that members that use either of two plans stay within the larger
// total. It returns a description of the fault, or an empty string.
func checkSlotDivider(t *rapid.T, divide slotDivider) string {
	totals := rapid.IntRange(0, 500)
	members := rapid.IntRange(1, 120)
	a, b, m, n := totals.Draw(t, "total"), totals.Draw(t, "total"), members.Draw(t, "members"), members.Draw(t, "members")
	service := rapid.SampledFrom([]string{"s", "search", "orders"}).Draw(t, "service")
	sum, mixed := 0, 0
	for index := range min(m, n) {
		mixed += max(divide(a, m, service, index), divide(b, n, service, index))
	}
	for index := range m {
		sum += divide(a, m, service, index)
	}
	switch {
	case sum != a:
		return "the slots of all members do not add up to the total"
	case mixed > max(a, b):
		return "members on two plans have more slots than the larger total"
	}
	return ""
}

func TestMemberSlotsStayWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := checkSlotDivider(t, yuccaplan.MemberSlots); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestPrefixDividerIsDetected checks that the property rejects the common method
// of dividing a range into equal intervals.
func TestPrefixDividerIsDetected(t *testing.T) {
	byPrefix := func(total, members int, _ string, index int) int {
		return total*(index+1)/members - total*index/members
	}
	faults := rapid.Custom(func(t *rapid.T) string { return checkSlotDivider(t, byPrefix) })
	for seed := range 1000 {
		if faults.Example(seed) != "" {
			return
		}
	}
	t.Fatal("no example violates the property")
}
