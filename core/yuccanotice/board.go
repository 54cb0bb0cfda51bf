// Package yuccanotice shares what backend servers say about themselves among the
// entries. An entry is a proxy instance of the system. A server in need names, in its
// responses, a limit for the requests of all entries together. The entry that gets
// such a response tells the others, so that the limit holds for entries that have not
// heard from the server, and ends for those that the limit keeps from asking.
//
// Board holds the newest notice of each server; it has no clock and does no I/O.
// Exchange is the service around it:
//
//	exchange := yuccanotice.New(peers, picker, log)
//	exchange.ReceiveReport("i-7", report) // with each response of a server
package yuccanotice

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
)

const (
	// maxServers is how many servers a board has notices of.
	maxServers = 4096
	// liftedTTL is how long a board remembers that a server has lifted its limit, so
	// that late messages about the limit are recognized as old.
	liftedTTL = 10 * time.Second
)

// Notice is what a server last said about itself.
type Notice struct {
	// At is when the response arrived, by the clock of this entry.
	At time.Time
	// Limited is set while the server names a limit.
	Limited bool
	// Limit is the limit in requests a second from all entries together.
	Limit float64
}

// sameContent reports whether two notices say the same.
func (n Notice) sameContent(other Notice) bool {
	n.At = other.At
	return n == other
}

// empty reports whether the server says nothing that differs from other servers.
func (n Notice) empty() bool { return n.sameContent(Notice{At: n.At}) }

// entry is a notice with its origin.
type entry struct {
	Notice
	// own is set if this entry itself got the response.
	own bool
}

// Board holds the newest notice of each server that has said something. It is not safe
// for concurrent use. Make one with NewBoard.
type Board struct {
	notices map[string]entry
}

// NewBoard returns a board without notices.
func NewBoard() *Board { return &Board{notices: map[string]entry{}} }

// Len returns the number of servers with a notice.
func (b *Board) Len() int { return len(b.notices) }

// Observe records the report of a response that this entry got. It returns the notice
// and whether it says something else than the one before.
func (b *Board) Observe(now time.Time, server string, r yuccaadmission.Report) (n Notice, changed bool) {
	n = Notice{At: now, Limited: r.Limited, Limit: r.RateLimit}
	return n, b.put(server, entry{n, true})
}

// Merge records a notice that another entry has sent. It returns whether the notice
// is newer than the one on the board, and whether it says something else.
func (b *Board) Merge(server string, n Notice) (newer, changed bool) {
	if old, ok := b.notices[server]; ok && !n.At.After(old.At) {
		return false, false
	}
	return true, b.put(server, entry{n, false})
}

// put records a notice and reports whether it says something else than the one before.
// A full board takes no further servers.
func (b *Board) put(server string, e entry) bool {
	old, ok := b.notices[server]
	if !ok && (e.empty() || len(b.notices) >= maxServers) {
		return false
	}
	b.notices[server] = e
	return !ok || !old.sameContent(e.Notice)
}

// Own returns the notices whose newest response this entry itself got, by server.
// Since only one entry has the newest response of a server, the number of messages
// does not grow with the number of entries.
func (b *Board) Own() map[string]Notice {
	own := map[string]Notice{}
	for server, e := range b.notices {
		if e.own {
			own[server] = e.Notice
		}
	}
	return own
}

// Prune forgets servers that have lifted their limit a while ago and servers that
// known no longer reports. It returns the names of those that still had a limit.
func (b *Board) Prune(now time.Time, known func(server string) bool) []string {
	var limited []string
	for server, e := range b.notices {
		age := now.Sub(e.At)
		if age < liftedTTL || !e.empty() && known(server) {
			continue
		}
		delete(b.notices, server)
		if !e.empty() {
			limited = append(limited, server)
		}
	}
	return limited
}
