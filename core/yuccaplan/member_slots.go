package yuccaplan

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MemberSlots returns the number of a group's slots of a service that the member
// with the given index, from 0 to members-1, may use. It returns 0 for an index
// out of range. The slots of all members add up to total. The remainder of the
// division goes to the members in an order that depends on a hash of the service
// and the index, so that no member gets the remainder of every service.
//
// In a large fleet the plan has one budget per failure domain instead of one per
// entry, and the domain's instances divide the budget with MemberSlots. A
// member's slots never grow when total shrinks or when members are added.
// Instances that use different plans therefore stay within the larger total. An
// instance uses an index that no other instance uses. A new index may be used
// only after every instance of the group has applied the plan that added it.
func MemberSlots(total, members int, service string, index int) int {
	if members <= 0 || index < 0 || index >= members {
		return 0
	}
	n, remainder := total/members, total%members
	if remainder == 0 {
		return n
	}
	ownHash, preceding := memberHash(service, index), 0
	for other := range members {
		if h := memberHash(service, other); h < ownHash || h == ownHash && other < index {
			preceding++
		}
	}
	if preceding < remainder {
		n++
	}
	return n
}

// memberHash returns the hash that orders the members of a group for a service.
func memberHash(service string, index int) uint64 {
	var b [72]byte
	n := copy(b[:64], service)
	binary.LittleEndian.PutUint64(b[n:], uint64(index))
	return xxhash.Sum64(b[:n+8])
}
