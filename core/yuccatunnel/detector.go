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
)

// Detector decides whether an entry is cut off from all servers. It answers the
// pattern in which every new direct connection fails, or breaks before a byte of a
// response, while another entry reaches the same servers. One server that is reached
// directly on a new connection shows that the links work. It is not safe for concurrent
// use. The zero value is ready to use.
type Detector struct {
	// failedAt holds the time of the last failure of each server that could not be
	// reached directly.
	failedAt map[string]time.Time
	// failingSince is the time of the first failure, zero if there is none.
	failingSince time.Time
	// cutOff is set while the entry is cut off.
	cutOff bool
	// changedAt is when cutOff last changed.
	changedAt time.Time
}

// CutOff reports whether the entry is cut off from all servers.
func (d *Detector) CutOff() bool { return d.cutOff }

// Failing reports whether a server could not be reached since the last success.
func (d *Detector) Failing() bool { return !d.failingSince.IsZero() }

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
// shows that the links work if they had failed before that.
func (d *Detector) Responded(openedAt time.Time) {
	if d.Failing() && openedAt.After(d.failingSince) {
		d.clear()
	}
}

// Tunneled records that a server was reached through another entry right after a direct
// connection to it had failed. It reports whether this shows that the entry is cut off.
func (d *Detector) Tunneled(now time.Time) (changed bool) {
	if d.cutOff || !d.Suspects() {
		return false
	}
	d.cutOff, d.changedAt = true, now
	return true
}

// Reached records that a direct connection works again. It reports whether this ends
// the partition.
func (d *Detector) Reached(now time.Time) (changed bool) {
	d.clear()
	if !d.cutOff {
		return false
	}
	d.cutOff, d.changedAt = false, now
	return true
}

// Trusts reports whether a direct connection that was opened at a time may carry a
// request. One from before a partition may be dead at the other end.
func (d *Detector) Trusts(openedAt time.Time) bool {
	return !d.cutOff && !openedAt.Before(d.changedAt)
}

func (d *Detector) clear() {
	clear(d.failedAt)
	d.failingSince = time.Time{}
}
