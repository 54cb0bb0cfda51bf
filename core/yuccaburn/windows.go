// Package yuccaburn counts requests against the service-level goals of their
// services and reports how much of each error budget is spent and how fast.
//
// Each entry (a proxy instance of the system) records every request in its
// Windows, which hold counts per service and origin region at several
// resolutions. A Service replicates a Snapshot of these counts to other entries,
// so that they survive the end of the entry that made them. A SnapshotSet
// collects the snapshots of all entries, and NewReport computes a Report from
// them. Windows of several entries merge in any order and grouping into the same
// report:
//
//	w := yuccaburn.NewWindows()
//	w.Record(now, yuccaburn.Key{Service: "search", OriginRegion: "palermo"}, yuccaburn.Good, false)
//	report := yuccaburn.NewReport(now, goals, []*yuccaburn.Windows{w})
package yuccaburn

import (
	"sync"
	"time"
)

// Key identifies one series of counts.
type Key struct {
	// Service is the name of the requested service.
	Service string
	// OriginRegion is the region where the requests originate.
	OriginRegion string
}

// Windows holds the counts of every key at several resolutions. Its methods may
// be called concurrently. Create it with NewWindows.
type Windows struct {
	mu sync.Mutex
	// bucketStart is the start of the newest bucket of the finest tier.
	bucketStart time.Time
	// position is the place of bucketStart in the rings of all tiers.
	position position
	series   map[Key]*series
}

// NewWindows returns an empty set of counts.
func NewWindows() *Windows { return &Windows{series: map[Key]*series{}} }

// Record counts one request that ended at now. When the clock was set back, it
// counts the request at the latest time seen, so that no bucket is overwritten.
// The flag moving reports whether a shift or drain of the service is in
// progress.
func (w *Windows) Record(now time.Time, k Key, o Outcome, moving bool) {
	if o == Ignored {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	s, ok := w.series[k]
	if !ok {
		s = newSeries()
		w.series[k] = s
	}
	s.record(&w.position, o, moving)
}

// advance updates the current position when a new bucket of the finest tier
// starts.
func (w *Windows) advance(now time.Time) {
	if now.Sub(w.bucketStart) < tiers[0].step && !w.bucketStart.IsZero() {
		return
	}
	w.bucketStart = now.Truncate(tiers[0].step)
	w.position = positionOf(now)
}

// Merge adds the counts of o. The two must not cover the same requests.
func (w *Windows) Merge(o *Windows) {
	for k, other := range o.copy() {
		w.mu.Lock()
		s, ok := w.series[k]
		if !ok {
			s = newSeries()
			w.series[k] = s
		}
		s.merge(other)
		w.mu.Unlock()
	}
}

// CountOver returns the count of a key during the period of the given length
// that ends at now.
func (w *Windows) CountOver(k Key, now time.Time, length time.Duration) Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.series[k]
	if !ok {
		return Count{}
	}
	return s.countOver(now, length)
}

// Keys returns the keys of all requests counted so far, in no particular order.
func (w *Windows) Keys() []Key {
	w.mu.Lock()
	defer w.mu.Unlock()
	keys := make([]Key, 0, len(w.series))
	for k := range w.series {
		keys = append(keys, k)
	}
	return keys
}

// copy returns a deep copy of the counts.
func (w *Windows) copy() map[Key]*series {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[Key]*series, len(w.series))
	for k, s := range w.series {
		c := newSeries()
		c.merge(s)
		all[k] = c
	}
	return all
}
