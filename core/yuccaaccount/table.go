package yuccaaccount

import (
	"crypto/subtle"
	"hash/maphash"
	"math/bits"
)

// digestTable is a hash table from digests to numbers with linear probing. The built-in
// map compares keys with an early exit. A lookup here compares every digest of its probe
// run in full, so that its time does not depend on the content, and the seed keeps
// callers from choosing keys with long runs.
type digestTable struct {
	seed maphash.Seed
	// slots holds the position in digests plus 1, zero for a free slot. Its length is a
	// power of two and at least twice the number of digests.
	slots   []uint32
	digests []Digest
	values  []uint64
}

// newDigestTable returns an empty table with room for n digests.
func newDigestTable(n int) *digestTable {
	return &digestTable{
		seed:    maphash.MakeSeed(),
		slots:   make([]uint32, 1<<bits.Len(uint(2*n))),
		digests: make([]Digest, 0, n),
		values:  make([]uint64, 0, n),
	}
}

// put sets the number of a digest. At most as many digests as there is room for may be
// put.
func (t *digestTable) put(d Digest, value uint64) {
	i := t.start(d)
	for ; t.slots[i] != 0; i = t.after(i) {
		if n := t.slots[i] - 1; t.digests[n] == d {
			t.values[n] = value
			return
		}
	}
	t.digests, t.values = append(t.digests, d), append(t.values, value)
	t.slots[i] = uint32(len(t.digests))
}

// get returns the number of a digest.
func (t *digestTable) get(d Digest) (uint64, bool) {
	found := 0
	for i := t.start(d); t.slots[i] != 0; i = t.after(i) {
		n := int(t.slots[i])
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(t.digests[n-1][:], d[:]), n, found)
	}
	if found == 0 {
		return 0, false
	}
	return t.values[found-1], true
}

// start returns the first slot of a digest's probe run.
func (t *digestTable) start(d Digest) int {
	return int(maphash.Bytes(t.seed, d[:]) & uint64(len(t.slots)-1))
}

// after returns the slot that follows another one.
func (t *digestTable) after(i int) int { return (i + 1) & (len(t.slots) - 1) }
