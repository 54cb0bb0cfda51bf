// Package yuccaversion keeps the version of the operators' config from going back when
// an entry (a proxy instance of the system) restarts, and carries a newer version to
// entries that do not get it from the platform.
//
// Within a process the version in force only rises. A restarted entry has no version, and
// the platform may have been restored from an older copy, or another entry may send an older config. So
// each heartbeat announces the version in force, a restarted entry takes no config that is
// older than an announced one, and any entry fetches a newer config from one that announces
// it.
//
// State makes the decisions; it has no clock and does no I/O. Exchange is the service
// around it.
//
//	exchange := yuccaversion.New(name, peers, decode, log)
//	exchange.Propose(candidate) // whenever a config has been read
package yuccaversion

import (
	"slices"
	"time"

	"yuccawell.example/core/yuccapeer"
)

const (
	// announcementTTL is how long an announcement counts. Heartbeats carry one every
	// half second.
	announcementTTL = 2500 * time.Millisecond
	// holdTimeout bounds the wait of an entry that has just started for the
	// announcements of the others. It covers the connections to them and two
	// heartbeats.
	holdTimeout = 1500 * time.Millisecond
	// restoredHoldTimeout is holdTimeout if the platform has come back from an older
	// copy, which may lack other entries.
	restoredHoldTimeout = 3 * time.Second
	// fetchDelay is how long a newer version must have been announced before an entry with
	// a config fetches it. Short configs usually arrive sooner another way.
	fetchDelay = 250 * time.Millisecond
	// fetchRetryDelay is how long an entry that did not deliver is not asked again.
	fetchRetryDelay = time.Second
	// failureTimeout is how long an entry may fail to deliver the version that it
	// announces. Its announcement then no longer keeps a starting entry from an older
	// version: the announced one may be unusable.
	failureTimeout = 10 * time.Second
)

// Source says where a version comes from, as far as it matters to State.
type Source struct {
	// Accounts is set if the config has accounts, whose keys it may have revoked.
	Accounts bool
	// Restored is set if the platform has ever been restored from an older copy.
	Restored bool
}

// State is what an entry knows about the versions in force at the others. The caller
// passes the current time, and guards the state against concurrent use. Create one with
// NewState.
type State struct {
	self      string
	startedAt time.Time
	// inForce is the version in force, zero before the first.
	inForce uint64
	// listed are the other entries in the platform's list, nil before the first list.
	listed []string
	// others holds the last announcement of each other entry by name.
	others map[string]announcement
	// unusable is the last version that could not be put in force, and unusableUntil is
	// until when it is not fetched again.
	unusable      uint64
	unusableUntil time.Time
	// behindSince is when a version above inForce was first announced, zero if none is.
	behindSince time.Time
}

// announcement is the last announcement of an entry.
type announcement struct {
	version uint64
	at      time.Time
	// failedSince is when the entry first failed to deliver the version, zero if it has
	// not. lastFailure is when it last did.
	failedSince, lastFailure time.Time
}

// NewState returns the state of the named entry, which has just started.
func NewState(self string, now time.Time) *State {
	return &State{self: self, startedAt: now, others: map[string]announcement{}}
}

// InForce returns the version in force, zero before the first.
func (s *State) InForce() uint64 { return s.inForce }

// SetInForce records that a version is in force. It ignores a lower one.
func (s *State) SetInForce(version uint64) { s.inForce = max(s.inForce, version) }

// UpdateList records the entries in the platform's list. It forgets the announcements of
// others that no longer count.
func (s *State) UpdateList(now time.Time, names []string) {
	s.listed = []string{}
	for _, name := range names {
		if name != s.self {
			s.listed = append(s.listed, name)
		}
	}
	for name, a := range s.others {
		if !slices.Contains(s.listed, name) && !a.fresh(now) {
			delete(s.others, name)
		}
	}
}

// Observe records the announcement in a heartbeat of another entry; zero means that it
// has no config.
func (s *State) Observe(now time.Time, from string, version uint64) {
	if from == s.self {
		return
	}
	a := s.others[from]
	if a.version != version {
		a.failedSince, a.lastFailure = time.Time{}, time.Time{}
	}
	a.version, a.at = version, now
	s.others[from] = a
}

// RecordFailure records that an entry did not deliver the version that it announced.
func (s *State) RecordFailure(now time.Time, from string) {
	a := s.others[from]
	if a.failedSince.IsZero() {
		a.failedSince = now
	}
	a.lastFailure = now
	s.others[from] = a
}

// RecordUnusable records that a version cannot be put in force, whichever entry sends it.
func (s *State) RecordUnusable(now time.Time, version uint64) {
	s.unusable, s.unusableUntil = version, now.Add(failureTimeout)
}

// usable reports whether a version may be fetched.
func (s *State) usable(now time.Time, version uint64) bool {
	return version != s.unusable || !now.Before(s.unusableUntil)
}

// Accepts reports whether a version may be put in force. It addresses a restart of
// an entry after the platform has come back from an older copy, or while it is unavailable
// and others have different versions: the older config may hold keys that a newer one has
// revoked. Where that is possible, an entry without a config first waits until it has heard
// all others, for a bounded time. It takes no version below an announced one.
func (s *State) Accepts(now time.Time, version uint64, from Source) bool {
	if s.inForce > 0 {
		return version > s.inForce
	}
	for _, a := range s.others {
		failed := !a.failedSince.IsZero() && now.Sub(a.failedSince) > failureTimeout
		if a.version > version && a.fresh(now) && !failed {
			return false
		}
	}
	return !from.Accounts && !from.Restored || s.heardAll(from) || now.Sub(s.startedAt) >= from.holdTimeout()
}

// heardAll reports whether every other entry has announced something. After the platform
// has come back from an older copy, whose list may lack entries, one of them must have a
// config.
func (s *State) heardAll(from Source) bool {
	if s.listed == nil {
		return false
	}
	anyConfig := false
	for _, a := range s.others {
		anyConfig = anyConfig || a.version > 0
	}
	silent := slices.ContainsFunc(s.listed, func(name string) bool {
		_, heard := s.others[name]
		return !heard
	})
	return !silent && (anyConfig || !from.Restored)
}

func (f Source) holdTimeout() time.Duration {
	if f.Restored {
		return restoredHoldTimeout
	}
	return holdTimeout
}

// Behind reports whether FetchFrom may return an entry now or later: a version above the one
// in force is announced, or was when FetchFrom was last called.
func (s *State) Behind(now time.Time) bool {
	if !s.behindSince.IsZero() {
		return true
	}
	for _, a := range s.others {
		if a.version > s.inForce && a.fresh(now) {
			return true
		}
	}
	return false
}

// FetchFrom returns the entry from which to fetch the highest announced version, and that
// version. It returns false if no version above the one in force and above known, which
// this entry has but not in force, has been announced for a while, or if no entry can be
// asked at the moment. It addresses a new version that all entries but one lack: the
// entries that announce it share the load.
func (s *State) FetchFrom(now time.Time, known uint64) (name string, version uint64, ok bool) {
	known = max(known, s.inForce)
	for _, a := range s.others {
		if a.fresh(now) && s.usable(now, a.version) {
			version = max(version, a.version)
		}
	}
	if version <= known {
		s.behindSince = time.Time{}
		return "", 0, false
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if s.inForce > 0 && now.Sub(s.behindSince) < fetchDelay {
		return "", 0, false
	}
	var names []string
	version = 0
	for other, a := range s.others {
		if a.version <= known || a.version < version || !a.fresh(now) || !s.usable(now, a.version) || now.Sub(a.lastFailure) < fetchRetryDelay {
			continue
		}
		if a.version > version {
			names, version = nil, a.version
		}
		names = append(names, other)
	}
	if len(names) == 0 {
		return "", 0, false
	}
	return yuccapeer.RendezvousTop("config "+s.self, names, 1)[0], version, true
}

func (a announcement) fresh(now time.Time) bool { return now.Sub(a.at) <= announcementTTL }
