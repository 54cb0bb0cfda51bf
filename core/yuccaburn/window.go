// Package yuccaburn counts requests against their services' goals and reports
// how much of each error budget is spent.
//
// An entry records every request in Windows. Windows of several entries merge
// in any order and grouping into the same report:
//
//	w := yuccaburn.NewWindows()
//	w.Record(now, yuccaburn.Key{Service: "search", From: "palermo"}, yuccaburn.Good, false)
//	report := yuccaburn.NewReport(now, goals, []*yuccaburn.Windows{w})
package yuccaburn

import (
	"sync"
	"time"
)

// Key is what is counted apart: a service, and the region where the requests
// arise.
type Key struct {
	Service string
	From    string
}

// Windows holds counts at several resolutions. Its methods may be called from
// several goroutines. Make one with NewWindows.
type Windows struct {
	mu   sync.Mutex
	last time.Time
	// moment is where last falls.
	moment moment
	all    map[Key]*series
}

// NewWindows returns windows without counts.
func NewWindows() *Windows { return &Windows{all: map[Key]*series{}} }

// Record counts one request that ended at now. A clock that was set back counts
// at the latest time seen, so that no bucket is lost.
func (w *Windows) Record(now time.Time, k Key, o Outcome, moving bool) {
	if o == Ignored {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	s, ok := w.all[k]
	if !ok {
		s = newSeries()
		w.all[k] = s
	}
	s.record(&w.moment, o, moving)
}

// advance moves the present on when another bucket of the finest tier begins.
func (w *Windows) advance(now time.Time) {
	if now.Sub(w.last) < tiers[0].step && !w.last.IsZero() {
		return
	}
	w.last = now.Truncate(tiers[0].step)
	w.moment = momentOf(now)
}

// Merge adds the counts of o, which must cover other requests.
func (w *Windows) Merge(o *Windows) {
	for k, theirs := range o.copy() {
		w.mu.Lock()
		s, ok := w.all[k]
		if !ok {
			s = newSeries()
			w.all[k] = s
		}
		s.merge(theirs)
		w.mu.Unlock()
	}
}

// CountOver returns the count of a key in the last length of time before now.
func (w *Windows) CountOver(k Key, now time.Time, length time.Duration) Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.all[k]
	if !ok {
		return Count{}
	}
	return s.over(now, length)
}

// Keys returns the keys that were ever counted, in no order.
func (w *Windows) Keys() []Key {
	w.mu.Lock()
	defer w.mu.Unlock()
	keys := make([]Key, 0, len(w.all))
	for k := range w.all {
		keys = append(keys, k)
	}
	return keys
}

func (w *Windows) copy() map[Key]*series {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[Key]*series, len(w.all))
	for k, s := range w.all {
		c := newSeries()
		c.merge(s)
		all[k] = c
	}
	return all
}
