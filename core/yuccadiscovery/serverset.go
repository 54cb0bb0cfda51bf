// Package yuccadiscovery maintains an entry's view of the backend servers. An entry
// is a proxy instance of the system.
//
// Backend servers register themselves with the platform and renew their
// registrations. The platform's list of them may lag. Registrations expire while
// the platform is unavailable, though the servers still run. Other programs write
// to the list too, so a registration may be unusable.
//
// ServerSet applies the events of a yuccawatch.Watcher. It keeps servers for a
// grace period when their registrations may have expired because of an outage, and
// tells registrations in an older copy of the platform from new ones. EvacuationSet does
// the same for evacuated failure domains.
// Aggregator combines the servers with the routes, the evacuated failure domains
// and the list of entries, and passes each new topology to the load balancer.
//
//	servers := yuccadiscovery.NewServerSet("servers/", decode)
//	evacuations := yuccadiscovery.NewEvacuationSet("evacuations/")
//	aggregator := yuccadiscovery.NewAggregator(servers, evacuations, monitor, picker.Update, log)
//	watcher := yuccawatch.New(settings, store, aggregator.UpdateServers, log)
package yuccadiscovery

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

const (
	// ReregisterGrace is how long servers with vanished registrations are kept after
	// an outage of the platform, so that they can register again.
	ReregisterGrace = 2200 * time.Millisecond
	// massExpiryGrace is how long servers are kept when many registrations vanish
	// at once after a silence of the platform. The platform may have been
	// unavailable without a failed call.
	massExpiryGrace = 2 * time.Second
	// massExpiryCount is the smallest number of registrations that vanish in one
	// event for massExpiryGrace to apply. In normal operation, fewer servers than
	// that stop at one time.
	massExpiryCount = 3
	// removedTTL is how long a removed server is remembered, in case the platform comes
	// back from a copy in which it still is.
	removedTTL = time.Minute
	// maxRemoved is the number of removed servers that are remembered.
	maxRemoved = 4096
	// minOutage is the shortest silence of the platform that can make
	// registrations expire. Their leases outlast shorter outages.
	minOutage = time.Second
)

// Record is a decoded registration of a backend server.
type Record struct {
	// Server is the backend server. ServerSet sets its SlowStartUntil.
	Server yuccabalancer.Server
	// SlowStart is how long the server remains in slow start after this registration
	// was written. Zero means that it can serve the full rate of requests.
	SlowStart time.Duration
	// Renewal counts the writes of this run of the server. A later registration has a
	// higher number, or the same one if nothing else has changed.
	Renewal int64
}

// olderThan reports whether the server wrote the registration before another one.
func (r Record) olderThan(other Record) bool {
	return cmp.Or(cmp.Compare(r.Server.Run, other.Server.Run), cmp.Compare(r.Renewal, other.Renewal)) < 0
}

// Decoder decodes the registration of the named server. It returns false for a
// registration that describes no usable server.
type Decoder func(name string, value []byte) (Record, bool)

// ServerSet is the set of backend servers that may be used. It has no clock: the
// events and the caller of Tick supply the time. It is not safe for concurrent
// use. Create one with NewServerSet.
type ServerSet struct {
	decode Decoder
	// prefix is the prefix of the keys of the registrations.
	prefix string
	// servers holds the usable servers by name.
	servers map[string]trackedServer
	// removed holds the servers that were removed lately, by name.
	removed map[string]removedServer
	// recoveredAt is when the platform last became available again.
	recoveredAt time.Time
	// expiredAfterSilence is when registrations last vanished after the platform
	// had been silent for minOutage or longer.
	expiredAfterSilence time.Time
	// version is incremented with every change of servers.
	version uint64
	// listed is set once the first list was applied.
	listed bool
}

// trackedServer is a server in the set.
type trackedServer struct {
	Record
	// seq is the sequence number of the server's registration.
	seq uint64
	// keepUntil is the end of the grace period of a server whose registration
	// vanished. It is zero while the registration exists.
	keepUntil time.Time
}

// removedServer is a server that is no longer in the set.
type removedServer struct {
	trackedServer
	// at is when it was removed.
	at time.Time
}

// NewServerSet returns an empty set. The name of a server is the key of its registration
// without the prefix.
func NewServerSet(prefix string, decode Decoder) *ServerSet {
	return &ServerSet{decode: decode, prefix: prefix, servers: map[string]trackedServer{}, removed: map[string]removedServer{}}
}

// Listed reports whether the set has received a full list.
func (f *ServerSet) Listed() bool { return f.listed }

// Version returns a number that increases with every change.
func (f *ServerSet) Version() uint64 { return f.version }

// Servers returns the known servers sorted by name, draining ones included.
func (f *ServerSet) Servers() []yuccabalancer.Server {
	names := slices.Sorted(maps.Keys(f.servers))
	all := make([]yuccabalancer.Server, 0, len(names))
	for _, name := range names {
		all = append(all, f.servers[name].Server)
	}
	return all
}

// Update applies an event of the watch on the registrations.
func (f *ServerSet) Update(event yuccawatch.Event) {
	switch event := event.(type) {
	case yuccawatch.Listed:
		f.applyList(event)
	case yuccawatch.Changed:
		f.applyChanges(event)
	case yuccawatch.Recovered:
		f.recoveredAt = event.At
	case yuccawatch.Restored:
		// Servers that the copy lacks register again, as after an outage.
		f.recoveredAt = event.At
	}
}

// Tick removes the servers whose grace period has ended.
func (f *ServerSet) Tick(now time.Time) {
	for name, v := range f.servers {
		if !v.keepUntil.IsZero() && !now.Before(v.keepUntil) {
			f.drop(now, name)
			f.version++
		}
	}
	for name, v := range f.removed {
		if now.Sub(v.at) > removedTTL {
			delete(f.removed, name)
		}
	}
}

// drop takes a server out of the set and remembers it.
func (f *ServerSet) drop(now time.Time, name string) {
	if len(f.removed) < maxRemoved {
		f.removed[name] = removedServer{f.servers[name], now}
	}
	delete(f.servers, name)
}

// copied reports whether a registration, read in a later era of the platform, comes from
// the copy that the platform came back from: it is not newer than the known one.
func copied(known trackedServer, o yuccastore.Object, r Record) bool {
	return yuccastore.Era(o.Seq) > yuccastore.Era(known.seq) && !known.olderThan(r)
}

// applyList replaces the registrations by those of a full list.
func (f *ServerSet) applyList(event yuccawatch.Listed) {
	f.listed = true
	present := map[string]bool{}
	for _, o := range event.Page.Objects {
		present[f.nameOf(o)] = true
		f.put(event.At, o)
	}
	var vanished []string
	for name, v := range f.servers {
		if !present[name] && v.keepUntil.IsZero() {
			vanished = append(vanished, name)
		}
	}
	f.remove(event.At, event.SilentFor, vanished)
}

// applyChanges applies changed and deleted registrations. It ignores a deletion
// that is older than the known registration.
func (f *ServerSet) applyChanges(event yuccawatch.Changed) {
	var vanished []string
	for _, o := range event.Page.Objects {
		if o.Deleted {
			if v, ok := f.servers[f.nameOf(o)]; ok && v.seq <= o.Seq {
				vanished = append(vanished, f.nameOf(o))
			}
			continue
		}
		vanished = slices.DeleteFunc(vanished, func(name string) bool { return name == f.nameOf(o) })
		f.put(event.At, o)
	}
	f.remove(event.At, event.SilentFor, vanished)
}

// nameOf returns the name of the server that an object registers.
func (f *ServerSet) nameOf(o yuccastore.Object) string { return strings.TrimPrefix(o.Key, f.prefix) }

// put applies the registration of a server. A registration that is already known
// changes nothing, so that the end of the slow start does not move. Neither does one
// from an older copy of the platform: the server is still draining, or gone, until it
// registers again. A server with an unusable registration is removed.
func (f *ServerSet) put(now time.Time, o yuccastore.Object) {
	name := f.nameOf(o)
	old, ok := f.servers[name]
	if ok && (old.seq > o.Seq || old.seq == o.Seq && old.keepUntil.IsZero()) {
		return
	}
	r, usable := f.decode(name, o.Value)
	if !usable {
		if ok {
			delete(f.servers, name)
			f.version++
		}
		return
	}
	gone, wasRemoved := f.removed[name]
	if !ok && wasRemoved && copied(gone.trackedServer, o, r) {
		return
	}
	delete(f.removed, name)
	if ok && copied(old, o, r) {
		old.seq, old.keepUntil = o.Seq, time.Time{}
		f.servers[name] = old
		return
	}
	switch {
	case ok && old.seq == o.Seq:
		r.Server.SlowStartUntil = old.Server.SlowStartUntil
	case r.SlowStart > 0:
		r.Server.SlowStartUntil = now.Add(r.SlowStart)
	}
	f.servers[name] = trackedServer{Record: r, seq: o.Seq}
	f.version++
}

// remove handles servers whose registrations vanished after the platform had been
// silent for silentFor. It removes draining servers at once. It gives the others a
// grace period to register again if their registrations may have expired because
// of an outage, and removes them at once if not.
func (f *ServerSet) remove(now time.Time, silentFor time.Duration, names []string) {
	var unplanned []string
	for _, name := range names {
		f.version++
		if f.servers[name].Server.Draining {
			f.drop(now, name)
			continue
		}
		unplanned = append(unplanned, name)
	}
	if len(unplanned) > 0 && silentFor >= minOutage {
		f.expiredAfterSilence = now
	}
	keepUntil := f.graceEnd(now, len(unplanned))
	for _, name := range unplanned {
		if !now.Before(keepUntil) {
			f.drop(now, name)
			continue
		}
		v := f.servers[name]
		v.keepUntil = keepUntil
		f.servers[name] = v
	}
}

// graceEnd returns the end of the grace period of servers if that many of their
// registrations vanished now. A time that is not after now means no grace period.
func (f *ServerSet) graceEnd(now time.Time, vanished int) time.Time {
	if end := f.recoveredAt.Add(ReregisterGrace); now.Before(end) {
		return end
	}
	if vanished >= massExpiryCount {
		return f.expiredAfterSilence.Add(massExpiryGrace)
	}
	return now
}
