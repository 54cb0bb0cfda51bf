package yuccaplan

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MemberSlots returns what one seat of a group has of the group's slots of a service.
// The seats of a group add up to its total. What is left over goes to seats in
// an order of the service's own, so that no seat gets it for every service.
//
// In a large fleet a failure domain stands in the plan as one entry, and its
// instances divide its budgets by this rule, each by its seat. A seat never has
// more of a smaller total or of more seats, so that instances that hold
// different plans stay within the larger total. An instance takes a seat that is
// empty; seats are added first and taken only when every instance of the group
// has the plan that added them in force.
func MemberSlots(total, seats int, service string, seat int) int {
	if seats <= 0 || seat < 0 || seat >= seats {
		return 0
	}
	n, left := total/seats, total%seats
	if left == 0 {
		return n
	}
	own, before := order(service, seat), 0
	for other := range seats {
		if o := order(service, other); o < own || o == own && other < seat {
			before++
		}
	}
	if before < left {
		n++
	}
	return n
}

func order(service string, seat int) uint64 {
	var b [72]byte
	n := copy(b[:64], service)
	binary.LittleEndian.PutUint64(b[n:], uint64(seat))
	return xxhash.Sum64(b[:n+8])
}
