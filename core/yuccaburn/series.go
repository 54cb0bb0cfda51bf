package yuccaburn

import (
	"math"
	"time"
)

// tier is one resolution: a ring of buckets of equal length.
type tier struct {
	// step is the length of time that one bucket covers.
	step time.Duration
	// buckets is the number of buckets in the ring.
	buckets int
}

// tiers are the resolutions, from fine to coarse. Each has one bucket more than
// its span needs: the one that is being filled.
var tiers = [...]tier{
	{10 * time.Second, 31},
	{time.Minute, 61},
	{10 * time.Minute, 37},
	{2 * time.Hour, 37},
	{12 * time.Hour, 61},
	{72 * time.Hour, 31},
}

// span returns the length of time that the complete buckets of the tier cover.
func (t tier) span() time.Duration { return t.step * time.Duration(t.buckets-1) }

// index returns the number of the step that contains a time, counted from the
// Unix epoch.
func (t tier) index(at time.Time) uint32 {
	return uint32(at.Unix() / int64(t.step/time.Second))
}

// endOfStep returns the end of the step that contains a time. Time.Truncate would count
// steps from the year 1, which differ from those of index if they are longer than a day.
func (t tier) endOfStep(at time.Time) time.Time {
	return time.Unix(0, 0).Add(t.step * time.Duration(t.index(at)+1)).In(at.Location())
}

// bucket holds the counts of one step. Its counters saturate instead of
// overflowing.
type bucket struct {
	// index is the number of the step since the Unix epoch. Zero marks an empty
	// bucket.
	index uint32
	// total is the number of all counted requests.
	total uint32
	// shed is the number of requests with the outcome Shed.
	shed uint32
	// late is the number of requests with the outcome Late.
	late uint32
	// broken is the number of requests with the outcome Broken.
	broken uint32
	// moving is the number of bad requests that ended while a shift or drain of
	// the service was in progress.
	moving uint32
}

// plus merges two buckets of the same slot. It adds up the counts of the same
// step, else it returns the bucket of the later step. The operation is
// commutative and associative.
func (b bucket) plus(o bucket) bucket {
	switch {
	case b.index > o.index:
		return b
	case b.index < o.index:
		return o
	}
	b.total = saturatingAdd(b.total, o.total)
	b.shed = saturatingAdd(b.shed, o.shed)
	b.late = saturatingAdd(b.late, o.late)
	b.broken = saturatingAdd(b.broken, o.broken)
	b.moving = saturatingAdd(b.moving, o.moving)
	return b
}

// saturatingAdd returns a+b, or the largest value when that overflows.
func saturatingAdd(a, b uint32) uint32 {
	if a > math.MaxUint32-b {
		return math.MaxUint32
	}
	return a + b
}

// toCount returns the counters as a Count.
func (b bucket) toCount() Count {
	return Count{uint64(b.total), uint64(b.shed), uint64(b.late), uint64(b.broken), uint64(b.moving)}
}

// position is the place of a time in every tier.
type position struct {
	// index is the number of the step, by tier.
	index [len(tiers)]uint32
	// slot is the index of the step's bucket in the ring, by tier.
	slot [len(tiers)]uint32
}

// positionOf returns the position of a time.
func positionOf(at time.Time) position {
	var p position
	for i, t := range tiers {
		p.index[i] = t.index(at)
		p.slot[i] = p.index[i] % uint32(t.buckets)
	}
	return p
}

// series holds the counts of one key: a ring of buckets for each tier.
type series [len(tiers)][]bucket

// newSeries returns a series with empty buckets.
func newSeries() *series {
	var s series
	for i, t := range tiers {
		s[i] = make([]bucket, t.buckets)
	}
	return &s
}

// record counts one request at a position in every tier.
func (s *series) record(p *position, o Outcome, moving bool) {
	for i := range s {
		s[i][p.slot[i]].record(p.index[i], o, moving)
	}
}

// record counts one request in the step with the given index. It resets a bucket
// of an earlier step, and doesn't count into one of a later step.
func (b *bucket) record(index uint32, o Outcome, moving bool) {
	if b.index > index {
		return
	}
	if b.index < index {
		*b = bucket{index: index}
	}
	b.total = saturatingAdd(b.total, 1)
	if o == Good {
		return
	}
	if moving {
		b.moving = saturatingAdd(b.moving, 1)
	}
	switch o {
	case Shed:
		b.shed = saturatingAdd(b.shed, 1)
	case Late:
		b.late = saturatingAdd(b.late, 1)
	case Broken:
		b.broken = saturatingAdd(b.broken, 1)
	}
}

// mergeBucket merges b into its slot of a tier.
func (s *series) mergeBucket(tier int, b bucket) {
	slot := &s[tier][b.index%uint32(tiers[tier].buckets)]
	*slot = slot.plus(b)
}

// merge adds the counts of o.
func (s *series) merge(o *series) {
	for i := range s {
		for _, b := range o[i] {
			if b.index > 0 {
				s.mergeBucket(i, b)
			}
		}
	}
}

// countOver sums the counts of the period of the given length that ends at now,
// from the finest tier that covers it.
func (s *series) countOver(now time.Time, length time.Duration) Count {
	i := tierFor(length)
	t := tiers[i]
	end := int64(t.index(now))
	first := end - int64((length+t.step-1)/t.step) + 1
	var total Count
	for _, b := range s[i] {
		if int64(b.index) >= first && int64(b.index) <= end {
			total = total.Plus(b.toCount())
		}
	}
	return total
}
