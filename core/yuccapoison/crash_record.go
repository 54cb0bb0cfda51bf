package yuccapoison

import (
	"slices"
	"time"
)

const (
	// maxCrashes is how many servers in a row may die with a request in
	// flight before the request is stopped.
	maxCrashes = 3
	// crashTTL is how long crashes count after the last one.
	crashTTL = 5 * time.Minute
	// maxCrashRecords is how many fingerprints with crashes are remembered.
	maxCrashRecords = 4096
)

// death is the end of one life of a server.
type death struct {
	server string
	// at is when the connection to it broke.
	at time.Time
}

// crash is a death while a request was in flight.
type crash struct {
	death
	// started is when the server got the request.
	started time.Time
}

// crashRecord counts the servers in a row that died with a fingerprint in
// flight. Records are immutable.
type crashRecord struct {
	// count is the number of servers, or lives of one server.
	count int
	// deaths are the latest of them.
	deaths []death
	// at is when the last death was recorded.
	at time.Time
}

// WithCrash returns the record after a crash. A server that dies while it runs several alike
// requests breaks all their connections: those that it had got before it died are the same
// death. What it gets afterwards it gets in another life.
func (r crashRecord) WithCrash(c crash, now time.Time) crashRecord {
	if now.Sub(r.at) > crashTTL {
		r = crashRecord{}
	}
	same := func(d death) bool { return d.server == c.server && c.started.Before(d.at) }
	if c.server != "" && slices.ContainsFunc(r.deaths, same) {
		return r
	}
	deaths := append(slices.Clone(r.deaths), c.death)
	return crashRecord{count: r.count + 1, deaths: deaths[max(0, len(deaths)-maxCrashes):], at: now}
}

// stopped reports whether the request is stopped.
func (r crashRecord) stopped(now time.Time) bool {
	return r.count >= maxCrashes && now.Sub(r.at) < crashTTL
}

// crashRecords holds the records by fingerprint, at most maxCrashRecords.
type crashRecords map[Fingerprint]crashRecord

// add counts a crash and returns the record.
func (s crashRecords) add(p Fingerprint, c crash, now time.Time) crashRecord {
	s.makeRoom(now)
	s[p] = s[p].WithCrash(c, now)
	return s[p]
}

// stop records that a request was stopped at a time, and reports whether that is new.
func (s crashRecords) stop(p Fingerprint, at, now time.Time) bool {
	if s[p].stopped(now) || now.Sub(at) >= crashTTL {
		return false
	}
	s.makeRoom(now)
	s[p] = crashRecord{count: maxCrashes, at: at}
	return true
}

// makeRoom drops expired records if the map is full, and all records if it is full
// nevertheless.
func (s crashRecords) makeRoom(now time.Time) {
	if len(s) < maxCrashRecords {
		return
	}
	for p, r := range s {
		if now.Sub(r.at) > crashTTL {
			delete(s, p)
		}
	}
	if len(s) >= maxCrashRecords {
		clear(s)
	}
}
