package yuccatunnel

import (
	"time"
)

const (
	// minFailedServers is how many different servers must be out of reach before the
	// entry's own links are suspected. A single server may be down.
	minFailedServers = 2
	// failureTTL is how long a failure to reach a server counts.
	failureTTL = 5 * time.Second
	// maxFailedServers bounds the servers that are remembered.
	maxFailedServers = 64
	// verifyInterval is the shortest time between two verifications of silent links. One
	// costs at least a connection to a server, and overload causes silence too.
	verifyInterval = time.Second
	// minProbed is how many silent servers another entry must reach before the links
	// count as silent.
	minProbed = 2
)

// Detector decides whether an entry is cut off from all servers. It answers the
// pattern in which every new direct connection fails, or breaks before a byte of a
// response, while another entry reaches the same servers. One server that is reached
// directly on a new connection shows that the links work. It also detects the case in
// which connections are accepted and then silent. Overloaded servers are silent too, so
// that silence is only a reason to verify the links: Silenced compares this entry's
// probes of servers with those of other entries. It is not safe for concurrent use. The
// zero value is ready to use.
type Detector struct {
	// failedAt holds the time of the last failure of each server that could not be
	// reached directly.
	failedAt map[string]time.Time
	// failingSince is the time of the first failure, zero if there is none.
	failingSince time.Time
	// silentSince holds, for each server that has left a request unanswered, when the
	// connection was opened.
	silentSince map[string]time.Time
	// verifiedAt is when the links were last verified.
	verifiedAt time.Time
	// cutOff is set while the entry is cut off.
	cutOff bool
	// silent is set while the entry is cut off by silent links.
	silent bool
	// changedAt is when cutOff last changed.
	changedAt time.Time
}

// CutOff reports whether the entry is cut off from all servers.
func (d *Detector) CutOff() bool { return d.cutOff }

// SilentlyCutOff reports whether the entry is cut off by links on which connections are
// accepted and stay silent.
func (d *Detector) SilentlyCutOff() bool { return d.cutOff && d.silent }

// Failing reports whether a server could not be reached, or was silent, since the last
// success.
func (d *Detector) Failing() bool { return !d.failingSince.IsZero() || len(d.silentSince) > 0 }

// Failed records that a direct connection to the server could not be opened, or broke
// before a byte of a response.
func (d *Detector) Failed(now time.Time, server string) {
	for s, at := range d.failedAt {
		if now.Sub(at) > failureTTL {
			delete(d.failedAt, s)
		}
	}
	if len(d.failedAt) == 0 {
		d.failedAt = map[string]time.Time{}
		d.failingSince = now
	}
	if _, ok := d.failedAt[server]; ok || len(d.failedAt) < maxFailedServers {
		d.failedAt[server] = now
	}
}

// Suspects reports whether the entry's own links may be at fault, so that the server,
// which has just failed, is worth a tunnel.
func (d *Detector) Suspects() bool { return d.cutOff || len(d.failedAt) >= minFailedServers }

// Responded records a response on a direct connection that was opened at a time. It
// shows that the links work if they had failed before that, and if the connection is
// newer than silent ones.
func (d *Detector) Responded(openedAt time.Time) {
	if !d.failingSince.IsZero() && openedAt.After(d.failingSince) {
		d.clearFailures()
	}
	for s, since := range d.silentSince {
		if !openedAt.Before(since) {
			delete(d.silentSince, s)
		}
	}
}

// Silent records that a server has left a request on a direct connection, which was
// opened at a time, unanswered for longer than usual. It reports whether the links are to
// be verified.
func (d *Detector) Silent(now time.Time, server string, openedAt time.Time) (verify bool) {
	if _, ok := d.silentSince[server]; ok || len(d.silentSince) < maxFailedServers {
		if d.silentSince == nil {
			d.silentSince = map[string]time.Time{}
		}
		d.silentSince[server] = openedAt
	}
	if d.cutOff || len(d.silentSince) < minFailedServers || now.Sub(d.verifiedAt) < verifyInterval {
		return false
	}
	d.verifiedAt = now
	return true
}

// Silenced records a verification of the links: how many different servers were probed,
// how many of them this entry reached, and how many of them another entry did. It
// reports whether this shows that the entry is cut off. Without a server that another
// entry reaches, the servers may be overloaded or dead.
func (d *Detector) Silenced(now time.Time, probed, reached, reachedByOthers int) (changed bool) {
	if reached > 0 {
		clear(d.silentSince)
	}
	if d.cutOff || probed < minFailedServers || reached > 0 || reachedByOthers < minProbed {
		return false
	}
	d.cutOff, d.silent, d.changedAt = true, true, now
	return true
}

// Tunneled records that a server was reached through another entry right after a direct
// connection to it had failed. It reports whether this shows that the entry is cut off.
func (d *Detector) Tunneled(now time.Time) (changed bool) {
	if d.cutOff || !d.Suspects() {
		return false
	}
	d.cutOff, d.silent, d.changedAt = true, false, now
	return true
}

// Reached records that a direct connection works again. It reports whether this ends
// the partition.
func (d *Detector) Reached(now time.Time) (changed bool) {
	d.clearFailures()
	clear(d.silentSince)
	if !d.cutOff {
		return false
	}
	d.cutOff, d.silent, d.changedAt = false, false, now
	return true
}

// Trusts reports whether a direct connection that was opened at a time may carry a
// request. One from before a partition may be dead at the other end.
func (d *Detector) Trusts(openedAt time.Time) bool {
	return !d.cutOff && !openedAt.Before(d.changedAt)
}

func (d *Detector) clearFailures() {
	clear(d.failedAt)
	d.failingSince = time.Time{}
}
