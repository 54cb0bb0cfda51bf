package yuccabalancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHoldOff bounds how long a server gets no requests when it asks for that. A longer
	// time is probably an error, and the first request after it goes alone.
	maxHoldOff = 5 * time.Minute
	// holdOffSpread is the fraction of a hold-off by which its end differs at most
	// between entries, so that they do not all return at the same moment.
	holdOffSpread = 0.2
	// maxHoldOffSpread bounds that difference.
	maxHoldOffSpread = time.Second
)

// holdOff keeps requests from a server that has asked this entry to hold off. It
// answers the load in which a full server rejects requests that then keep coming. After
// that time one request goes alone, until it shows that the server takes requests
// again.
type holdOff struct {
	// since is when the server first asked.
	since time.Time
	// until is when the server may get a request again, zero if it has not asked.
	until time.Time
	// probing is set until the server has then taken a request.
	probing bool
}

// withRequest returns the hold-off after the server has asked for the time d from now.
// The end is later by a part that depends on the key.
func (h holdOff) withRequest(now time.Time, d time.Duration, key string) holdOff {
	if d <= 0 {
		return h
	}
	d = min(d, maxHoldOff)
	if h.since.IsZero() {
		h.since = now
	}
	spread := min(maxHoldOffSpread, time.Duration(holdOffSpread*float64(d)))
	offset := time.Duration(xxhash.Sum64String(key) % uint64(max(1, spread)))
	if until := now.Add(d + offset); until.After(h.until) {
		h.until = until
	}
	h.probing = true
	return h
}

// withAnswer returns the hold-off after the server has run a request.
func (h holdOff) withAnswer(now time.Time) holdOff {
	if now.Before(h.until) {
		return h
	}
	return holdOff{}
}

// allows reports whether the server may get a request besides those of this entry in
// flight.
func (h holdOff) allows(now time.Time, inFlight int) bool {
	return !now.Before(h.until) && (!h.probing || inFlight == 0)
}

// wait returns the time until the server may get a request again.
func (h holdOff) wait(now time.Time) time.Duration { return max(0, h.until.Sub(now)) }

// HoldOff keeps requests from a server for the time d, as the server has asked for.
func (c *Core) HoldOff(now time.Time, server string, d time.Duration) {
	for _, s := range c.byName[server] {
		s.holdOff = s.holdOff.withRequest(now, d, c.location.Entry+" "+server)
	}
}
