package yuccabalancer

import (
	"time"

	"yuccawell.example/core/yuccaquota"
)

// Notice is what a server last said about itself in a response to any entry.
type Notice struct {
	// At is when the response arrived, by the clock of this entry.
	At time.Time
	// Run identifies the run of the server that said so, as in Server.
	Run int64
	// Limited is set while the server names a limit.
	Limited bool
	// Limit is the limit in requests a second from all entries together.
	Limit float64
	// Leaving is set when the server is about to exit.
	Leaving bool
}

// SameContent reports whether two notices say the same.
func (n Notice) SameContent(other Notice) bool {
	n.At, n.Run = other.At, other.Run
	return n == other
}

// Empty reports whether the server says nothing about itself.
func (n Notice) Empty() bool { return !n.Limited && !n.Leaving }

// SetNotice records what a server says about itself. Servers that are not known yet may
// have notices too.
func (c *Core) SetNotice(server string, n Notice) {
	if n.Empty() {
		delete(c.notices, server)
	} else {
		c.notices[server] = n
	}
	for _, s := range c.byName[server] {
		c.applyNotice(s)
	}
}

// SetSenders records which other entries have said that they are senders of a server
// that names a limit. Those of them that this entry does not have in its list take part
// in the choice of the senders too, so that entries with different lists agree.
func (c *Core) SetSenders(server string, entries []string) {
	if len(entries) == 0 {
		delete(c.senders, server)
	} else {
		c.senders[server] = entries
	}
	for _, s := range c.byName[server] {
		c.applyNotice(s)
	}
}

// Sends reports whether this entry is a sender of a server that names a limit.
func (c *Core) Sends(server string) bool {
	n := c.notices[server]
	return n.Limited && senderRate(n, server, c.limitDivision(server)) > 0
}

// limitDivision returns the division of the limit that a server names.
func (c *Core) limitDivision(server string) yuccaquota.Division {
	return c.division.With(c.senders[server])
}

// applyNotice applies the notice about a server to its state.
func (c *Core) applyNotice(s *serverState) {
	n := c.notices[s.Name]
	s.limiter = s.limiter.withNotice(n, s.Name, c.limitDivision(s.Name))
	// A new run of the server under the same name has said nothing yet.
	s.leaving = n.Leaving && n.Run >= s.Run
}
