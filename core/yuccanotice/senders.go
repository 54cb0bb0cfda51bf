package yuccanotice

import (
	"maps"
	"slices"
	"time"
)

const (
	// senderTTL is how long an entry counts as a sender of a server after it has said so.
	// It says so with each refresh.
	senderTTL = 3 * refreshInterval
	// maxSenders is how many senders of one server are remembered.
	maxSenders = 256
)

// Senders holds, for each server that names a limit, the other entries that have lately
// said that they send requests to it. Entries with different lists of entries choose
// different senders; those that hear of better placed ones stop. It is not safe for
// concurrent use. Make one with NewSenders.
type Senders struct {
	// saidAt holds when an entry last said so, by server and entry.
	saidAt map[string]map[string]time.Time
}

// NewSenders returns a Senders that knows none.
func NewSenders() *Senders { return &Senders{saidAt: map[string]map[string]time.Time{}} }

// Names returns the sorted names of the senders of a server.
func (s *Senders) Names(server string) []string { return slices.Sorted(maps.Keys(s.saidAt[server])) }

// Record records whether an entry says that it is a sender of a server. It reports
// whether the senders of the server have changed.
func (s *Senders) Record(now time.Time, server, entry string, sender bool) (changed bool) {
	entries := s.saidAt[server]
	_, known := entries[entry]
	switch {
	case !sender:
		delete(entries, entry)
		return known
	case known:
		entries[entry] = now
		return false
	case entries == nil && len(s.saidAt) >= maxServers, len(entries) >= maxSenders:
		return false
	case entries == nil:
		entries = map[string]time.Time{}
		s.saidAt[server] = entries
	}
	entries[entry] = now
	return true
}

// Prune forgets the senders that have not said so for senderTTL. It returns the servers
// whose senders have changed.
func (s *Senders) Prune(now time.Time) []string {
	var changed []string
	for server, entries := range s.saidAt {
		before := len(entries)
		maps.DeleteFunc(entries, func(_ string, at time.Time) bool { return now.Sub(at) > senderTTL })
		if len(entries) < before {
			changed = append(changed, server)
		}
		if len(entries) == 0 {
			delete(s.saidAt, server)
		}
	}
	return changed
}
