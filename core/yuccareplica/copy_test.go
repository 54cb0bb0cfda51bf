package yuccareplica

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccastore"
)

// history is a store that keeps all writes and deletions.
type history struct {
	seq    uint64
	events []yuccastore.Object
}

func (h *history) write(key string, deleted bool) {
	h.seq++
	h.events = append(h.events, yuccastore.Object{Key: key, Value: []byte(fmt.Sprint(h.seq)), Seq: h.seq, Deleted: deleted})
}

// objects returns the sequence numbers of the objects that exist, by key.
func (h *history) objects() map[string]uint64 {
	all := map[string]uint64{}
	for _, o := range h.events {
		all[o.Key] = o.Seq
		if o.Deleted {
			delete(all, o.Key)
		}
	}
	return all
}

// list returns all objects that exist.
func (h *history) list() yuccastore.Page {
	page := yuccastore.Page{Seq: h.seq}
	exists := h.objects()
	for _, o := range h.events {
		if exists[o.Key] == o.Seq {
			page.Objects = append(page.Objects, o)
		}
	}
	return page
}

// watch returns the events after a sequence number.
func (h *history) watch(after uint64) yuccastore.Page {
	page := yuccastore.Page{Seq: h.seq}
	for _, o := range h.events {
		if o.Seq > after {
			page.Objects = append(page.Objects, o)
		}
	}
	return page
}

func (c *replicaCopy) sequenceNumbers() map[string]uint64 {
	all := map[string]uint64{}
	for key, o := range c.objects {
		all[key] = o.Seq
	}
	return all
}

// TestCopiesAgree has one copy read from a store, by lists and by watches, and a
// second one from the first copy. Each is equal to the store whenever it has read
// up to the store's sequence number, and never falls back.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &history{}
		store.write("seed", false)
		reader, follower := newCopy(), newCopy()
		reader.replace(store.list())
		follower.replace(store.list())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			seq := follower.seq
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.write(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				reader.merge(store.watch(reader.seq))
			case 3:
				reader.replace(store.list())
			case 4:
				if page, ok := reader.since(follower.seq); ok {
					follower.merge(page)
				}
			case 5:
				follower.merge(store.watch(follower.seq))
			}
			if follower.seq < seq {
				t.Fatalf("sequence number fell from %d to %d", seq, follower.seq)
			}
			for name, c := range map[string]*replicaCopy{"reader": reader, "follower": follower} {
				if c.seq == store.seq && !maps.Equal(c.sequenceNumbers(), store.objects()) {
					t.Fatalf("%s holds %v, the store %v", name, c.sequenceNumbers(), store.objects())
				}
			}
		}
	})
}

// TestSinceWithForgottenDeletions deletes more objects than a copy remembers. It
// does not answer for a time from which it has forgotten deletions, so that the
// other entry keeps no object that is gone.
func TestSinceWithForgottenDeletions(t *testing.T) {
	c := qt.New(t)
	reader := newCopy()
	reader.replace(yuccastore.Page{Seq: 1})
	for i := range uint64(maxDeletions + 1) {
		key := fmt.Sprint(i)
		reader.merge(yuccastore.Page{Seq: 2*i + 2, Objects: []yuccastore.Object{{Key: key, Seq: 2*i + 2}}})
		reader.merge(yuccastore.Page{Seq: 2*i + 3, Objects: []yuccastore.Object{{Key: key, Seq: 2*i + 3, Deleted: true}}})
	}
	_, ok := reader.since(1)
	c.Assert(ok, qt.IsFalse)
	page, ok := reader.since(reader.seq - 1)
	c.Assert(ok, qt.IsTrue)
	c.Assert(page.Objects, qt.HasLen, 1)
}

// TestLongChangesComeInParts has an entry ask for changes that are longer than one
// message. The parts follow one another without a gap.
func TestLongChangesComeInParts(t *testing.T) {
	c := qt.New(t)
	reader, follower := newCopy(), newCopy()
	reader.replace(yuccastore.Page{Seq: 1})
	follower.replace(yuccastore.Page{Seq: 1})
	var page yuccastore.Page
	for i := range uint64(100) {
		page.Objects = append(page.Objects, yuccastore.Object{Key: fmt.Sprint(i), Value: make([]byte, 10<<10), Seq: i + 2})
		page.Seq = i + 2
	}
	reader.merge(page)
	parts := 0
	for follower.seq < reader.seq {
		part, ok := reader.since(follower.seq)
		c.Assert(ok, qt.IsTrue)
		follower.merge(part)
		parts++
	}
	c.Assert(parts > 1, qt.IsTrue)
	c.Assert(slices.Sorted(maps.Keys(follower.objects)), qt.DeepEquals, slices.Sorted(maps.Keys(reader.objects)))
}

// TestListHidesObjects has an object created and deleted between two lists of the
// reader, and read meanwhile by another entry. The reader does not answer that
// entry, which would keep the object.
func TestListHidesObjects(t *testing.T) {
	c := qt.New(t)
	store := &history{}
	store.write("seed", false)
	reader, other := newCopy(), newCopy()
	reader.replace(store.list())
	store.write("short-lived", false)
	other.replace(store.list())
	store.write("short-lived", true)
	store.write("a", false)
	reader.replace(store.list())
	store.write("b", false)
	reader.merge(store.watch(reader.seq))
	_, ok := reader.since(other.seq)
	c.Assert(ok, qt.IsFalse)
	other.merge(store.watch(other.seq))
	store.write("c", false)
	reader.merge(store.watch(reader.seq))
	page, ok := reader.since(other.seq)
	c.Assert(ok, qt.IsTrue)
	other.merge(page)
	c.Assert(other.sequenceNumbers(), qt.DeepEquals, store.objects())
}
