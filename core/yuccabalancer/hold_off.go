package yuccabalancer

import (
	"maps"
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
	// maxUnlisted is how many hold-offs of servers that are not listed are kept.
	maxUnlisted = 4096
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
		c.holdOff(now, s, d)
	}
}

func (c *Core) holdOff(now time.Time, s *serverState, d time.Duration) {
	s.holdOff = s.holdOff.withRequest(now, d, c.holdOffKey(s.Name))
}

// holdOffKey returns the key that decides how much later than others this entry ends its
// hold-off of a server.
func (c *Core) holdOffKey(server string) string { return c.location.Entry + " " + server }

// holdOffRun keeps requests from one run of a server for the time d, as it has asked for.
// The run may no longer be listed.
func (c *Core) holdOffRun(now time.Time, asked *serverState, d time.Duration) {
	for _, s := range c.byName[asked.Name] {
		if s.Run == asked.Run {
			c.holdOff(now, s, d)
		}
	}
	if len(c.byName[asked.Name]) > 0 {
		return
	}
	maps.DeleteFunc(c.unlisted, func(_ string, u unlistedHoldOff) bool { return !now.Before(u.until) })
	c.holdOff(now, asked, d)
	c.keepHoldOff(asked)
}

// unlistedHoldOff is the hold-off that a server had when it was last listed. Its entry may
// come back, as after an outage of the store.
type unlistedHoldOff struct {
	holdOff
	// run is the run of the server that has asked.
	run int64
}

// unlistedHoldOff returns the hold-off of a server that has not been listed, if the same
// run of it has asked for one.
func (c *Core) unlistedHoldOff(s Server) holdOff {
	if u := c.unlisted[s.Name]; u.run == s.Run {
		return u.holdOff
	}
	return holdOff{}
}

// keepHoldOffs keeps the hold-offs of the servers that are not listed any longer, and
// forgets those of the servers that are.
func (c *Core) keepHoldOffs(listed map[string][]*serverState) {
	for name, states := range c.byName {
		if len(listed[name]) == 0 {
			c.keepHoldOff(states[0])
		}
	}
	maps.DeleteFunc(c.unlisted, func(name string, _ unlistedHoldOff) bool { return len(listed[name]) > 0 })
}

func (c *Core) keepHoldOff(s *serverState) {
	if s.holdOff.probing && len(c.unlisted) < maxUnlisted {
		c.unlisted[s.Name] = unlistedHoldOff{s.holdOff, s.Run}
	}
}
