package yuccalocator

import (
	"maps"
	"slices"
)

// directory maps the blocks of one address family to sites by longest prefix
// match. It groups the blocks into buckets by their first keyBits bits, so that a
// change copies only the buckets that it touches. It is immutable.
type directory[A address[A]] struct {
	// keys are the keys of the buckets in ascending order.
	keys []uint32
	// buckets are the buckets, each at the position of its key.
	buckets []bucket[A]
	// wide holds the blocks with prefixes shorter than a key.
	wide bucket[A]
	// starts is an index of keys by their first startBits bits: the keys with the
	// value i in these bits are keys[starts[i]:starts[i+1]]. It is nil if there are
	// no keys.
	starts []uint32
}

// startBits is the number of first bits of a key that index starts.
const startBits = 16

// indexed returns the directory with starts computed.
func (d directory[A]) indexed() directory[A] {
	if len(d.keys) == 0 {
		d.starts = nil
		return d
	}
	d.starts = make([]uint32, 1<<startBits+1)
	pos := 0
	for prefix := range d.starts {
		for pos < len(d.keys) && int(d.startIndex(d.keys[pos])) < prefix {
			pos++
		}
		d.starts[prefix] = uint32(pos)
	}
	return d
}

// startIndex returns the first startBits bits of a key, its index in starts.
func (d directory[A]) startIndex(key uint32) uint32 {
	var zero A
	if n := zero.keyBits(); n > startBits {
		return key >> (n - startBits)
	}
	return key
}

// newDirectory returns the directory of rows in any order. It sorts rows in
// place.
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

// find returns the site of the longest prefix that contains an address.
func (d directory[A]) find(a A) (uint16, bool) {
	if len(d.starts) > 0 {
		key := a.key()
		prefix := d.startIndex(key)
		from, to := d.starts[prefix], d.starts[prefix+1]
		if pos, ok := slices.BinarySearch(d.keys[from:to], key); ok {
			if site, ok := d.buckets[int(from)+pos].find(a); ok {
				return site, true
			}
		}
	}
	return d.wide.find(a)
}

// len returns the number of blocks.
func (d directory[A]) len() int {
	n := len(d.wide)
	for _, b := range d.buckets {
		n += len(b)
	}
	return n
}

// with returns the directory with changes applied. It copies the buckets that
// change and shares the others.
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

// replace applies changes to the bucket of a key. It adds the bucket if there is
// none and deletes it if it becomes empty.
func (d *directory[A]) replace(key uint32, changes []change[A]) {
	pos, ok := slices.BinarySearch(d.keys, key)
	if !ok {
		d.keys = slices.Insert(d.keys, pos, key)
		d.buckets = slices.Insert(d.buckets, pos, nil)
	}
	d.buckets[pos] = d.buckets[pos].with(changes)
	if len(d.buckets[pos]) == 0 {
		d.keys = slices.Delete(d.keys, pos, pos+1)
		d.buckets = slices.Delete(d.buckets, pos, pos+1)
	}
}
