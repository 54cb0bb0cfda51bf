package yuccareplica

import "time"

// contactTimeout is how long an entry counts as in contact with the platform after
// its last response. It covers a watch that waits for a change.
const contactTimeout = 6500 * time.Millisecond

// contact tracks whether this entry is in contact with the platform.
type contact struct {
	// since is when the contact began; zero means that there is none.
	since time.Time
	// lastResponse is when the platform last responded.
	lastResponse time.Time
}

// responded records a response of the platform.
func (c *contact) responded(now time.Time) {
	if c.duration(now) == 0 {
		c.since = now
	}
	c.lastResponse = now
}

// lost records a failed call or the end of an outage that no call noticed.
func (c *contact) lost() { c.since = time.Time{} }

// duration returns how long the contact has lasted, zero if there is none.
func (c *contact) duration(now time.Time) time.Duration {
	if c.since.IsZero() || now.Sub(c.lastResponse) > contactTimeout {
		return 0
	}
	return max(1, now.Sub(c.since))
}

// respondedSince reports whether the contact has brought a response later than t.
func (c *contact) respondedSince(now, t time.Time) bool {
	return c.duration(now) > 0 && c.lastResponse.After(t)
}
