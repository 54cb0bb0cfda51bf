package yuccareplica

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccapeer"
)

const (
	// announcementTTL is how long an announcement counts. Heartbeats carry one every
	// half second.
	announcementTTL = 1500 * time.Millisecond
	// fetchDelay is how long an entry waits for announced changes before it asks
	// for them. Changes are usually passed on sooner than they are announced.
	fetchDelay = 250 * time.Millisecond
	// readerFetchDelay is fetchDelay for an entry that calls the platform itself. It
	// covers the pause after a change of its watchers.
	readerFetchDelay = time.Second
	// fetchRetryDelay is how long an entry that had no answer is not asked again.
	fetchRetryDelay = 2 * time.Second
	// stuckTimeout is how long an entry misses changes before it calls the platform
	// itself. It leaves time to ask several others.
	stuckTimeout = time.Second
)

// receivedAnnouncement is the last announcement of another entry.
type receivedAnnouncement struct {
	Announcement
	at time.Time
}

// fleet holds the announcements of the other entries. It decides whether this entry
// calls the platform and from whom it fetches changes.
type fleet struct {
	// self is the name of this entry.
	self string
	// domain is its failure domain.
	domain string
	// received holds the last announcement of each entry by name.
	received map[string]receivedAnnouncement
	// failures holds when a fetch from an entry last failed, by name.
	failures map[string]time.Time
	// behindSince is since when changes are known to be missing, by prefix index.
	behindSince map[int]time.Time
}

func newFleet(self, domain string) *fleet {
	return &fleet{self: self, domain: domain, received: map[string]receivedAnnouncement{}, failures: map[string]time.Time{}, behindSince: map[int]time.Time{}}
}

// observe records an announcement.
func (f *fleet) observe(now time.Time, from string, a Announcement) {
	f.received[from] = receivedAnnouncement{a, now}
}

// forget drops the announcements that no longer count.
func (f *fleet) forget(now time.Time) {
	for name, a := range f.received {
		if now.Sub(a.at) > announcementTTL {
			delete(f.received, name)
		}
	}
}

// recordFailure records that an entry had no answer to a fetch.
func (f *fleet) recordFailure(now time.Time, name string) { f.failures[name] = now }

// calls reports whether this entry calls the platform itself: if it is the reader
// of its failure domain, chosen among its live entries, if no other entry announces
// settled contact, or if it has been missing changes for too long.
func (f *fleet) calls(now time.Time, live []string) bool {
	members := append([]string{f.self}, live...)
	if slices.Contains(yuccapeer.RendezvousTop("reader "+f.domain, members, 1), f.self) {
		return true
	}
	for _, since := range f.behindSince {
		if now.Sub(since) >= stuckTimeout {
			return true
		}
	}
	for _, a := range f.received {
		if a.settled() {
			return false
		}
	}
	return true
}

// knownCopy is what this entry has of the objects under one prefix.
type knownCopy struct {
	// seq is the sequence number up to which the copy is complete.
	seq uint64
	// durable is set if the objects do not expire while the platform is unavailable.
	durable bool
}

// behind returns the entry to ask for changes that this one has been missing for
// at least delay. The argument known holds this entry's copies in the order of the
// prefixes, near the entries to ask first. It returns an empty name when nothing is
// missing or nobody can be asked.
func (f *fleet) behind(now time.Time, known []knownCopy, near []string, delay time.Duration) string {
	var name string
	for i, k := range known {
		announcers := f.announcers(i, k)
		if len(announcers) == 0 {
			delete(f.behindSince, i)
			continue
		}
		since, ok := f.behindSince[i]
		if !ok {
			since = now
			f.behindSince[i] = now
		}
		if name == "" && now.Sub(since) >= delay {
			name = f.firstUsable(now, announcers, near)
		}
	}
	return name
}

// announcers returns the sorted names of the entries that announce a change under a
// prefix which the copy lacks. They must be settled unless the objects are durable.
func (f *fleet) announcers(prefix int, known knownCopy) []string {
	var names []string
	for name, a := range f.received {
		if (a.settled() || known.durable) && prefix < len(a.Changed) && a.Changed[prefix] > known.seq {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// firstUsable returns the first of the entries that has not failed to answer
// recently. Those in near come first, since sessions to them are open, and otherwise the
// order differs from entry to entry so that they do not all ask the same one.
func (f *fleet) firstUsable(now time.Time, names, near []string) string {
	var first string
	for _, name := range yuccapeer.RendezvousTop("fetch "+f.self, names, len(names)) {
		if now.Sub(f.failures[name]) < fetchRetryDelay {
			continue
		}
		if slices.Contains(near, name) {
			return name
		}
		first = cmp.Or(first, name)
	}
	return first
}
