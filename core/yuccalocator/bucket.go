package yuccalocator

import (
	"cmp"
	"slices"
)

// row is one block. The parent is the position of the smallest block around it
// in the same bucket, plus one; zero means none.
type row[A address[A]] struct {
	start  A
	parent uint32
	site   uint16
	bits   uint8
}

func (r row[A]) holds(a A) bool { return a.masked(r.bits) == r.start }

func compareRows[A address[A]](a, b row[A]) int {
	if c := a.start.compare(b.start); c != 0 {
		return c
	}
	return cmp.Compare(a.bits, b.bits)
}

// bucket holds blocks ordered by start, larger ones first. It is immutable.
type bucket[A address[A]] []row[A]

// newBucket orders rows and links each to the block around it. Of equal blocks
// the first counts.
func newBucket[A address[A]](rows []row[A]) bucket[A] {
	slices.SortStableFunc(rows, compareRows[A])
	rows = slices.CompactFunc(rows, func(a, b row[A]) bool { return compareRows(a, b) == 0 })
	b := slices.Clip(rows)
	for i := range b {
		at := uint32(i)
		for at > 0 && !b[at-1].holds(b[i].start) {
			at = b[at-1].parent
		}
		b[i].parent = at
	}
	return b
}

// find returns the site of the smallest block that holds an address.
func (b bucket[A]) find(a A) (uint16, bool) {
	low, high := 0, len(b)
	for low < high {
		if middle := (low + high) / 2; b[middle].start.compare(a) <= 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	for at := uint32(low); at > 0; at = b[at-1].parent {
		if r := b[at-1]; r.holds(a) {
			return r.site, true
		}
	}
	return 0, false
}

// change sets a block's site or removes the block.
type change[A address[A]] struct {
	row[A]
	gone bool
}

// with returns the bucket with changes made; of several on the same block the
// last counts.
func (b bucket[A]) with(changes []change[A]) bucket[A] {
	rows := make([]row[A], 0, len(b)+len(changes))
	for i := len(changes) - 1; i >= 0; i-- {
		rows = append(rows, changes[i].row)
	}
	rows = newBucket(append(rows, b...))
	return newBucket(slices.DeleteFunc(rows, func(r row[A]) bool { return removed(changes, r) }))
}

func removed[A address[A]](changes []change[A], r row[A]) bool {
	for i := len(changes) - 1; i >= 0; i-- {
		if compareRows(changes[i].row, r) == 0 {
			return changes[i].gone
		}
	}
	return false
}
