package yuccareplica

import (
	"cmp"
	"slices"

	"yuccawell.example/core/yuccastore"
)

const (
	// maxDeletions is the number of deletions that a copy remembers.
	maxDeletions = 4096
	// maxGaps is the number of gaps that a copy remembers.
	maxGaps = 16
	// maxChangeBytes bounds the keys and values in the changes for another entry,
	// in bytes. Longer changes are passed on in parts.
	maxChangeBytes = 128 << 10
	// objectOverhead is about the number of bytes of an object besides its key and
	// value.
	objectOverhead = 16
)

// replicaCopy is a copy of the platform's objects under one prefix. It remembers
// recent deletions, so that it can tell what has changed since an earlier sequence
// number. Make one with newCopy.
type replicaCopy struct {
	// seq is the sequence number up to which the copy is complete, zero before the
	// first list.
	seq uint64
	// changed is the sequence number of the last change.
	changed uint64
	// objects holds the objects by key.
	objects map[string]yuccastore.Object
	// deletions holds, by key, the sequence number at which an object was known to
	// be deleted.
	deletions map[string]uint64
	// gaps are the ranges of sequence numbers in which the copy does not know every
	// deletion, oldest first.
	gaps []gap
}

// gap is a range of sequence numbers, both ends excluded. An entry that is complete
// up to a number in it may hold objects that were created and deleted unseen.
type gap struct{ from, to uint64 }

func newCopy() *replicaCopy {
	return &replicaCopy{objects: map[string]yuccastore.Object{}, deletions: map[string]uint64{}}
}

// replace makes the copy equal to a list of all objects. What was created and
// deleted since the last response does not show in a list.
func (c *replicaCopy) replace(page yuccastore.Page) {
	first := c.seq == 0
	present := map[string]bool{}
	changed := false
	for _, o := range page.Objects {
		present[o.Key] = true
		changed = c.put(o) || changed
	}
	for key := range c.objects {
		if !present[key] {
			c.remove(key, page.Seq)
			changed = true
		}
	}
	c.addGap(gap{c.seq, page.Seq})
	if changed && !first {
		c.changed = max(c.changed, page.Seq)
	}
	c.advance(page.Seq)
}

// merge applies changes, in the order in which they were made. They reach at least
// as far as the copy.
func (c *replicaCopy) merge(page yuccastore.Page) {
	last := map[string]yuccastore.Object{}
	for _, o := range page.Objects {
		last[o.Key] = o
	}
	for key, o := range last {
		if o.Deleted {
			c.remove(key, page.Seq)
			continue
		}
		c.put(o)
	}
	c.advance(page.Seq)
}

// advance raises the sequence number up to which the copy is complete.
func (c *replicaCopy) advance(seq uint64) { c.seq = max(c.seq, seq) }

// put stores an object unless a newer version or a later deletion is known. It
// reports whether the object was stored.
func (c *replicaCopy) put(o yuccastore.Object) bool {
	if old, ok := c.objects[o.Key]; ok && old.Seq >= o.Seq || o.Seq <= c.deletions[o.Key] {
		return false
	}
	delete(c.deletions, o.Key)
	c.objects[o.Key] = o
	c.changed = max(c.changed, o.Seq)
	return true
}

// remove records that an object is deleted, also if it is not known. The sequence
// number is that of the response that showed the deletion, which is not before the
// deletion itself.
func (c *replicaCopy) remove(key string, seq uint64) {
	if old, ok := c.objects[key]; ok && old.Seq > seq {
		return
	}
	delete(c.objects, key)
	c.deletions[key] = seq
	c.changed = max(c.changed, seq)
	if len(c.deletions) > maxDeletions {
		c.forgetDeletions()
	}
}

// forgetDeletions drops the older half of the deletions.
func (c *replicaCopy) forgetDeletions() {
	var all []uint64
	for _, seq := range c.deletions {
		all = append(all, seq)
	}
	slices.Sort(all)
	middle := all[len(all)/2]
	for key, seq := range c.deletions {
		if seq <= middle {
			delete(c.deletions, key)
		}
	}
	c.gaps = slices.Insert(c.gaps, 0, gap{0, middle})
}

// addGap records a gap. It joins the oldest ones when there are too many.
func (c *replicaCopy) addGap(g gap) {
	c.gaps = append(c.gaps, g)
	if n := len(c.gaps) - maxGaps; n > 0 {
		c.gaps = c.gaps[n:]
		c.gaps[0].from = 0
	}
}

// inGap returns the end of the gap that holds a sequence number, zero if there is
// none.
func (c *replicaCopy) inGap(seq uint64) uint64 {
	var end uint64
	for _, g := range c.gaps {
		if g.from < seq && seq < g.to {
			end = max(end, g.to)
		}
	}
	return end
}

// vouchedFrom returns the lowest sequence number, not before the last change, since
// which all changes are known.
func (c *replicaCopy) vouchedFrom() uint64 { return max(c.changed, c.inGap(c.changed)) }

// since returns the changes after a sequence number, oldest first. If they are
// long, it returns the first of them, and the page's sequence number says how far
// they reach. It returns false when it holds nothing newer or cannot tell which
// objects were deleted since then.
func (c *replicaCopy) since(after uint64) (yuccastore.Page, bool) {
	if c.changed <= after || c.inGap(after) > 0 {
		return yuccastore.Page{}, false
	}
	var all []yuccastore.Object
	for _, o := range c.objects {
		if o.Seq > after {
			all = append(all, o)
		}
	}
	for key, seq := range c.deletions {
		if seq > after {
			all = append(all, yuccastore.Object{Key: key, Seq: seq, Deleted: true})
		}
	}
	slices.SortFunc(all, func(a, b yuccastore.Object) int {
		return cmp.Or(cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Key, b.Key))
	})
	return c.firstPart(all), true
}

// all returns all objects. It returns false before the first list, or if the objects are
// longer than maxChangeBytes.
func (c *replicaCopy) all() (yuccastore.Page, bool) {
	page := yuccastore.Page{Seq: c.seq}
	size := 0
	for _, o := range c.objects {
		size += len(o.Key) + len(o.Value) + objectOverhead
		page.Objects = append(page.Objects, o)
	}
	return page, c.seq > 0 && size <= maxChangeBytes
}

// firstPart returns the first changes, up to maxChangeBytes. Changes with the same
// sequence number stay together.
func (c *replicaCopy) firstPart(all []yuccastore.Object) yuccastore.Page {
	size := 0
	for i, o := range all {
		size += len(o.Key) + len(o.Value) + objectOverhead
		if size > maxChangeBytes && i > 0 && o.Seq > all[i-1].Seq {
			return yuccastore.Page{Seq: all[i-1].Seq, Objects: all[:i]}
		}
	}
	return yuccastore.Page{Seq: c.seq, Objects: all}
}
