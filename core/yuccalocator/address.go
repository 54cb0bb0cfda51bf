package yuccalocator

import (
	"cmp"
	"encoding/binary"
	"net/netip"
)

// address is an IP address of either family as an integer.
type address[A any] interface {
	comparable
	// compare orders two addresses as cmp.Compare does.
	compare(A) int
	// masked returns the address with all but its first bits cleared.
	masked(bits uint8) A
	// key returns the address's first keyBits bits, which select its bucket.
	key() uint32
	// keyBits returns the number of bits of a key: 16 for IPv4, 32 for IPv6.
	keyBits() uint8
}

// addr4 is an IPv4 address.
type addr4 uint32

func from4(a netip.Addr) addr4 {
	b := a.As4()
	return addr4(binary.BigEndian.Uint32(b[:]))
}

func (a addr4) compare(b addr4) int     { return cmp.Compare(a, b) }
func (a addr4) masked(bits uint8) addr4 { return a & addr4(^uint64(0)<<(32-bits)) }
func (a addr4) key() uint32             { return uint32(a >> 16) }
func (addr4) keyBits() uint8            { return 16 }

// addr6 is an IPv6 address.
type addr6 struct {
	// hi holds the upper 64 bits.
	hi uint64
	// lo holds the lower 64 bits.
	lo uint64
}

func from6(a netip.Addr) addr6 {
	b := a.As16()
	return addr6{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

func (a addr6) compare(b addr6) int {
	if a.hi != b.hi {
		return cmp.Compare(a.hi, b.hi)
	}
	return cmp.Compare(a.lo, b.lo)
}

func (a addr6) masked(bits uint8) addr6 {
	if bits <= 64 {
		return addr6{hi: a.hi & (^uint64(0) << (64 - bits))}
	}
	return addr6{a.hi, a.lo & (^uint64(0) << (128 - bits))}
}

func (a addr6) key() uint32  { return uint32(a.hi >> 32) }
func (addr6) keyBits() uint8 { return 32 }
