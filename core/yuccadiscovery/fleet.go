// Package yuccadiscovery keeps what an entry believes of backend servers, from a
// platform whose list lags, loses entries while it is away and is spoken to by
// others too.
package yuccadiscovery

import (
	"maps"
	"slices"
	"strings"
	"time"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

const (
	// ReregisterGrace is how long servers whose entries lapsed while the platform was
	// away have to come back.
	ReregisterGrace = 2200 * time.Millisecond
	// lapseTime is how long many entries that vanish at once are kept, since the
	// platform may have been away without a failed call.
	lapseTime = 2 * time.Second
	// manyGone is how many make that: more than leave at one time by plan.
	manyGone = 3
	// quietTime is how long a platform that was away has told nothing at the
	// least: leases outlast shorter outages.
	quietTime = time.Second
)

// Record is a server as its entry in the platform's list describes it.
type Record struct {
	Server yuccabalancer.Server
	// Cold is how much longer than the entry's last change it stays cold.
	Cold time.Duration
	// Born is when this run of the server began, in the server's own time.
	Born int64
}

// Decoder reads an entry of the platform's list. It reports false for one that
// names no server to use.
type Decoder func(name string, value []byte) (Record, bool)

// ServerSet is the state of the servers. It has no clock of its own. Make one with
// New.
type ServerSet struct {
	decode Decoder
	prefix string
	known  map[string]member
	// back is when the platform came back, lapse when entries vanished after it
	// had told nothing for a while.
	back    time.Time
	lapse   time.Time
	version uint64
	listed  bool
}

// member is a server with the sequence number of its entry and, for one whose
// entry vanished, until when it is kept.
type member struct {
	Record
	seq   uint64
	until time.Time
}

// New returns a fleet without servers. Keys are read without the prefix.
func New(prefix string, decode Decoder) *ServerSet {
	return &ServerSet{decode: decode, prefix: prefix, known: map[string]member{}}
}

// Listed reports whether the list was read at least once.
func (f *ServerSet) Listed() bool { return f.listed }

// Version rises with every change.
func (f *ServerSet) Version() uint64 { return f.version }

// Servers returns the servers that may be used, by name.
func (f *ServerSet) Servers() []yuccabalancer.Server {
	names := slices.Sorted(maps.Keys(f.known))
	all := make([]yuccabalancer.Server, 0, len(names))
	for _, name := range names {
		all = append(all, f.known[name].Server)
	}
	return all
}

// Update takes what became known.
func (f *ServerSet) Update(m yuccawatch.Event) {
	switch m := m.(type) {
	case yuccawatch.Listed:
		f.list(m)
	case yuccawatch.Changed:
		f.change(m)
	case yuccawatch.Recovered:
		f.back = m.At
	}
}

// Tick drops servers that were kept long enough after their entries vanished.
func (f *ServerSet) Tick(now time.Time) {
	for name, v := range f.known {
		if !v.until.IsZero() && !now.Before(v.until) {
			delete(f.known, name)
			f.version++
		}
	}
}

func (f *ServerSet) list(m yuccawatch.Listed) {
	f.listed = true
	present := map[string]bool{}
	for _, o := range m.Page.Objects {
		present[f.name(o)] = true
		f.put(m.At, o)
	}
	var gone []string
	for name, v := range f.known {
		if !present[name] && v.until.IsZero() {
			gone = append(gone, name)
		}
	}
	f.vanish(m.At, m.SilentFor, gone)
}

func (f *ServerSet) change(m yuccawatch.Changed) {
	var gone []string
	for _, o := range m.Page.Objects {
		if o.Gone {
			if v, ok := f.known[f.name(o)]; ok && v.seq <= o.Seq {
				gone = append(gone, f.name(o))
			}
			continue
		}
		gone = slices.DeleteFunc(gone, func(name string) bool { return name == f.name(o) })
		f.put(m.At, o)
	}
	f.vanish(m.At, m.SilentFor, gone)
}

func (f *ServerSet) name(o yuccastore.Object) string { return strings.TrimPrefix(o.Key, f.prefix) }

// put takes a server's entry. One that was known is not taken again, so that the
// end of its cold time does not move.
func (f *ServerSet) put(now time.Time, o yuccastore.Object) {
	name := f.name(o)
	old, ok := f.known[name]
	if ok && old.seq >= o.Seq && old.until.IsZero() {
		return
	}
	r, sound := f.decode(name, o.Value)
	if !sound {
		if ok {
			delete(f.known, name)
			f.version++
		}
		return
	}
	switch {
	case ok && old.seq == o.Seq:
		r.Server.SlowStartUntil = old.Server.SlowStartUntil
	case r.Cold > 0:
		r.Server.SlowStartUntil = now.Add(r.Cold)
	}
	f.known[name] = member{Record: r, seq: o.Seq}
	f.version++
}

// vanish drops servers whose entries vanished, at once or, where the entries may
// have lapsed though the servers live, when they had time to come back.
func (f *ServerSet) vanish(now time.Time, quiet time.Duration, names []string) {
	var unplanned []string
	for _, name := range names {
		f.version++
		if f.known[name].Server.Draining {
			delete(f.known, name)
			continue
		}
		unplanned = append(unplanned, name)
	}
	if len(unplanned) > 0 && quiet >= quietTime {
		f.lapse = now
	}
	until := f.keepUntil(now, len(unplanned))
	for _, name := range unplanned {
		if !now.Before(until) {
			delete(f.known, name)
			continue
		}
		v := f.known[name]
		v.until = until
		f.known[name] = v
	}
}

// keepUntil returns until when a number of servers whose entries vanished are
// kept.
func (f *ServerSet) keepUntil(now time.Time, vanished int) time.Time {
	if end := f.back.Add(ReregisterGrace); now.Before(end) {
		return end
	}
	if vanished >= manyGone {
		return f.lapse.Add(lapseTime)
	}
	return now
}
