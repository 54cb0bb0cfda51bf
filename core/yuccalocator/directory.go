package yuccalocator

import (
	"maps"
	"slices"
)

// directory holds buckets by the first bits of their blocks. Blocks that are
// larger than a bucket's range are in wide. It is immutable.
type directory[A address[A]] struct {
	keys    []uint32
	buckets []bucket[A]
	wide    bucket[A]
	// starts holds, for each value of a key's first bits, the position of the
	// first key with it, and the end of the last.
	starts []uint32
}

// startBits is how many bits of a key starts is indexed by.
const startBits = 16

// indexed returns the directory with starts computed.
func (d directory[A]) indexed() directory[A] {
	if len(d.keys) == 0 {
		d.starts = nil
		return d
	}
	d.starts = make([]uint32, 1<<startBits+1)
	at := 0
	for first := range d.starts {
		for at < len(d.keys) && int(d.first(d.keys[at])) < first {
			at++
		}
		d.starts[first] = uint32(at)
	}
	return d
}

// first returns the bits of a key that starts is indexed by.
func (d directory[A]) first(key uint32) uint32 {
	var zero A
	if n := zero.keyBits(); n > startBits {
		return key >> (n - startBits)
	}
	return key
}

func newDirectory[A address[A]](rows []row[A]) directory[A] {
	slices.SortStableFunc(rows, compareRows[A])
	var d directory[A]
	var wide []row[A]
	for from := 0; from < len(rows); {
		if rows[from].bits < rows[from].start.keyBits() {
			wide = append(wide, rows[from])
			from++
			continue
		}
		key, to := rows[from].start.key(), from
		for to < len(rows) && rows[to].start.key() == key {
			to++
		}
		d.keys = append(d.keys, key)
		d.buckets = append(d.buckets, newBucket(slices.Clone(rows[from:to])))
		from = to
	}
	d.wide = newBucket(wide)
	return d.indexed()
}

func (d directory[A]) find(a A) (uint16, bool) {
	if len(d.starts) > 0 {
		key := a.key()
		first := d.first(key)
		from, to := d.starts[first], d.starts[first+1]
		if at, ok := slices.BinarySearch(d.keys[from:to], key); ok {
			if site, ok := d.buckets[int(from)+at].find(a); ok {
				return site, true
			}
		}
	}
	return d.wide.find(a)
}

func (d directory[A]) len() int {
	n := len(d.wide)
	for _, b := range d.buckets {
		n += len(b)
	}
	return n
}

// with copies the buckets that change and shares the others.
func (d directory[A]) with(changes []change[A]) directory[A] {
	var wide []change[A]
	byKey := map[uint32][]change[A]{}
	for _, c := range changes {
		if c.bits < c.start.keyBits() {
			wide = append(wide, c)
			continue
		}
		byKey[c.start.key()] = append(byKey[c.start.key()], c)
	}
	if len(wide) > 0 {
		d.wide = d.wide.with(wide)
	}
	if len(byKey) == 0 {
		return d
	}
	d.keys, d.buckets = slices.Clone(d.keys), slices.Clone(d.buckets)
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		d.replace(key, byKey[key])
	}
	return d.indexed()
}

func (d *directory[A]) replace(key uint32, changes []change[A]) {
	at, ok := slices.BinarySearch(d.keys, key)
	if !ok {
		d.keys = slices.Insert(d.keys, at, key)
		d.buckets = slices.Insert(d.buckets, at, nil)
	}
	d.buckets[at] = d.buckets[at].with(changes)
	if len(d.buckets[at]) == 0 {
		d.keys = slices.Delete(d.keys, at, at+1)
		d.buckets = slices.Delete(d.buckets, at, at+1)
	}
}
