package yuccalocator

import (
	"cmp"
	"slices"
)

// row is one CIDR block of a bucket.
type row[A address[A]] struct {
	// start is the block's first address.
	start A
	// parent is the position in the bucket, plus one, of the smallest block that
	// contains this one; zero means none.
	parent uint32
	// site is the position of the block's site in Table.sites.
	site uint16
	// bits is the prefix length.
	bits uint8
}

func (r row[A]) contains(a A) bool { return a.masked(r.bits) == r.start }

func compareRows[A address[A]](a, b row[A]) int {
	if c := a.start.compare(b.start); c != 0 {
		return c
	}
	return cmp.Compare(a.bits, b.bits)
}

// bucket holds blocks sorted by start; of blocks with the same start, the larger
// ones come first. It is immutable.
type bucket[A address[A]] []row[A]

// newBucket sorts rows and links each to the smallest block that contains it. Of
// equal blocks it keeps the first.
func newBucket[A address[A]](rows []row[A]) bucket[A] {
	slices.SortStableFunc(rows, compareRows[A])
	rows = slices.CompactFunc(rows, func(a, b row[A]) bool { return compareRows(a, b) == 0 })
	b := slices.Clip(rows)
	for i := range b {
		parent := uint32(i)
		for parent > 0 && !b[parent-1].contains(b[i].start) {
			parent = b[parent-1].parent
		}
		b[i].parent = parent
	}
	return b
}

// find returns the site of the smallest block that contains an address. It
// searches for the last block that starts at or before the address and follows
// the parents from there.
func (b bucket[A]) find(a A) (uint16, bool) {
	low, high := 0, len(b)
	for low < high {
		if middle := (low + high) / 2; b[middle].start.compare(a) <= 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	for pos := uint32(low); pos > 0; pos = b[pos-1].parent {
		if r := b[pos-1]; r.contains(a) {
			return r.site, true
		}
	}
	return 0, false
}

// change sets a block's site or removes the block.
type change[A address[A]] struct {
	row[A]
	remove bool
}

// with returns the bucket with changes applied. Of several changes of the same
// block the last one counts.
func (b bucket[A]) with(changes []change[A]) bucket[A] {
	rows := make([]row[A], 0, len(b)+len(changes))
	for i := len(changes) - 1; i >= 0; i-- {
		rows = append(rows, changes[i].row)
	}
	rows = newBucket(append(rows, b...))
	return newBucket(slices.DeleteFunc(rows, func(r row[A]) bool { return removed(changes, r) }))
}

// removed reports whether the last change of a block removes it.
func removed[A address[A]](changes []change[A], r row[A]) bool {
	for i := len(changes) - 1; i >= 0; i-- {
		if compareRows(changes[i].row, r) == 0 {
			return changes[i].remove
		}
	}
	return false
}
