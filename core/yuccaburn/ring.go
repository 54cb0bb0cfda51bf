package yuccaburn

import (
	"math"
	"time"
)

// tier is one resolution: count buckets of length step.
type tier struct {
	step  time.Duration
	count int
}

// tiers are the resolutions, from fine to coarse. Each covers its whole length
// and the bucket that is being filled.
var tiers = [...]tier{
	{10 * time.Second, 31},
	{time.Minute, 61},
	{10 * time.Minute, 37},
	{2 * time.Hour, 37},
	{12 * time.Hour, 61},
	{72 * time.Hour, 31},
}

// span is the time that the tier covers.
func (t tier) span() time.Duration { return t.step * time.Duration(t.count-1) }

// index returns the number of the step that holds a time, counted from 1970.
func (t tier) index(at time.Time) uint32 {
	return uint32(at.Unix() / int64(t.step/time.Second))
}

// bucket counts one step. A counter that is full stays full.
type bucket struct {
	index                             uint32
	total, shed, late, broken, moving uint32
}

// plus joins two buckets of one place in a ring: equal steps add up, of two
// different ones the later stays. Order and grouping make no difference.
func (b bucket) plus(o bucket) bucket {
	switch {
	case b.index > o.index:
		return b
	case b.index < o.index:
		return o
	}
	b.total = sum(b.total, o.total)
	b.shed = sum(b.shed, o.shed)
	b.late = sum(b.late, o.late)
	b.broken = sum(b.broken, o.broken)
	b.moving = sum(b.moving, o.moving)
	return b
}

func sum(a, b uint32) uint32 {
	if a > math.MaxUint32-b {
		return math.MaxUint32
	}
	return a + b
}

func (b bucket) counted() Count {
	return Count{uint64(b.total), uint64(b.shed), uint64(b.late), uint64(b.broken), uint64(b.moving)}
}

// moment is where a time falls in every tier.
type moment struct {
	index [len(tiers)]uint32
	place [len(tiers)]uint32
}

func momentOf(at time.Time) moment {
	var m moment
	for i, t := range tiers {
		m.index[i] = t.index(at)
		m.place[i] = m.index[i] % uint32(t.count)
	}
	return m
}

// series is one service from one region at every resolution.
type series [len(tiers)][]bucket

func newSeries() *series {
	var s series
	for i, t := range tiers {
		s[i] = make([]bucket, t.count)
	}
	return &s
}

func (s *series) record(m *moment, o Outcome, moving bool) {
	for i := range s {
		s[i][m.place[i]].record(m.index[i], o, moving)
	}
}

// record counts one request in place. A bucket of a later step stays as it is.
func (b *bucket) record(index uint32, o Outcome, moving bool) {
	if b.index > index {
		return
	}
	if b.index < index {
		*b = bucket{index: index}
	}
	b.total = sum(b.total, 1)
	if o == Good {
		return
	}
	if moving {
		b.moving = sum(b.moving, 1)
	}
	switch o {
	case Shed:
		b.shed = sum(b.shed, 1)
	case Late:
		b.late = sum(b.late, 1)
	case Broken:
		b.broken = sum(b.broken, 1)
	}
}

func (s *series) put(tier int, b bucket) {
	at := &s[tier][b.index%uint32(tiers[tier].count)]
	*at = at.plus(b)
}

func (s *series) merge(o *series) {
	for i := range s {
		for _, b := range o[i] {
			if b.index > 0 {
				s.put(i, b)
			}
		}
	}
}

// over sums the last length of time before now, from the finest tier that
// covers it.
func (s *series) over(now time.Time, length time.Duration) Count {
	i := tierOf(length)
	t := tiers[i]
	end := int64(t.index(now))
	first := end - int64((length+t.step-1)/t.step) + 1
	var total Count
	for _, b := range s[i] {
		if int64(b.index) >= first && int64(b.index) <= end {
			total = total.Plus(b.counted())
		}
	}
	return total
}
