package yuccaplan_test

import (
	"testing"

	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaplan"
)

// divider is a rule that gives a seat its part.
type divider func(total, seats int, service string, seat int) int

// checkDivider checks that the seats of one plan add up to its total, and that
// seats on either of two plans stay within the larger one.
func checkDivider(t *rapid.T, divide divider) string {
	totals := rapid.IntRange(0, 500)
	seats := rapid.IntRange(1, 120)
	a, b, m, n := totals.Draw(t, "total"), totals.Draw(t, "total"), seats.Draw(t, "seats"), seats.Draw(t, "seats")
	service := rapid.SampledFrom([]string{"s", "search", "orders"}).Draw(t, "service")
	sum, mixed := 0, 0
	for seat := range min(m, n) {
		mixed += max(divide(a, m, service, seat), divide(b, n, service, seat))
	}
	for seat := range m {
		sum += divide(a, m, service, seat)
	}
	switch {
	case sum != a:
		return "the seats do not add up to the total"
	case mixed > max(a, b):
		return "seats on two plans have more than the larger total"
	}
	return ""
}

func TestSeatsStayWithinTheGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := checkDivider(t, yuccaplan.MemberSlots); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestDividingByPrefixIsCaught checks that the property refuses the common rule
// of cutting a range into equal pieces.
func TestDividingByPrefixIsCaught(t *testing.T) {
	byPrefix := func(total, seats int, _ string, seat int) int {
		return total*(seat+1)/seats - total*seat/seats
	}
	caught := rapid.Custom(func(t *rapid.T) string { return checkDivider(t, byPrefix) })
	for seed := range 1000 {
		if caught.Example(seed) != "" {
			return
		}
	}
	t.Fatal("no case shows it")
}
