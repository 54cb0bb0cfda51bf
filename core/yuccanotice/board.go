// Package yuccanotice shares what backend servers say about themselves among the
// entries. An entry is a proxy instance of the system. A server in need names, in its
// responses, a limit for the requests of all entries together, and a server that is
// about to exit says so. The entry that gets such a response tells the others, so that
// they need not ask the server themselves, and learn that a limit has ended although
// it keeps them from asking.
//
// Board holds the newest notice of each server, and Senders which entries send requests
// to a server within its limit; they have no clock and do no I/O.
// Exchange is the service around it:
//
//	exchange := yuccanotice.New(peers, picker, log)
//	exchange.ReceiveReport(ticket, "", report) // with each response of a server
package yuccanotice

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
)

const (
	// maxServers is how many servers a board has notices of.
	maxServers = 4096
	// liftedTTL is how long a board remembers that a server has lifted its limit, so
	// that late messages about the limit are recognized as old.
	liftedTTL = 10 * time.Second
)

// record is a notice with its origin.
type record struct {
	yuccabalancer.Notice
	// own is set if this entry itself got the response.
	own bool
}

// Board holds the newest notice of each server that has said something. It is not safe
// for concurrent use. Make one with NewBoard.
type Board struct {
	notices map[string]record
}

// NewBoard returns a board without notices.
func NewBoard() *Board { return &Board{notices: map[string]record{}} }

// Len returns the number of servers with a notice.
func (b *Board) Len() int { return len(b.notices) }

// Observe records the report of a response that this entry got from a run of the server.
// It returns the notice and whether it says something else than the one before. Where
// the report is unknown, the notice says what the one before said. A late response of an
// earlier run changes nothing.
func (b *Board) Observe(now time.Time, server string, run int64, r yuccaadmission.Report) (n yuccabalancer.Notice, changed bool) {
	n = yuccabalancer.Notice{At: now, Run: run, Limited: r.Limited, Limit: r.RateLimit, Leaving: r.Leaving}
	old := b.notices[server]
	if run < old.Run {
		return old.Notice, false
	}
	if r.Invalid != "" {
		n.Limited, n.Limit = old.Limited, old.Limit
	}
	n = keepLeaving(old, n)
	return n, b.put(server, record{n, true})
}

// keepLeaving returns the notice n after an older one. A server that has said that it is
// about to exit is leaving for the rest of its run: responses may arrive in another order
// than they were sent.
func keepLeaving(old record, n yuccabalancer.Notice) yuccabalancer.Notice {
	n.Leaving = n.Leaving || old.Leaving && old.Run == n.Run
	return n
}

// Merge records a notice that another entry has sent. It returns whether the notice
// is newer than the one on the board, by the run of the server and then by time, and
// whether it says something else. It returns the notice as it stands on the board then.
func (b *Board) Merge(server string, n yuccabalancer.Notice) (merged yuccabalancer.Notice, newer, changed bool) {
	old, ok := b.notices[server]
	if ok && (n.Run < old.Run || n.Run == old.Run && !n.At.After(old.At)) {
		return old.Notice, false, false
	}
	n = keepLeaving(old, n)
	return n, true, b.put(server, record{n, false})
}

// put records a notice and reports whether it says something else than the one before.
// A full board takes no further servers.
func (b *Board) put(server string, r record) bool {
	old, ok := b.notices[server]
	if !ok && (r.Empty() || len(b.notices) >= maxServers) {
		return false
	}
	b.notices[server] = r
	return !ok || !old.SameContent(r.Notice)
}

// Own returns the notices whose newest response this entry itself got, by server.
// Only one entry has the newest response of a server.
func (b *Board) Own() map[string]yuccabalancer.Notice {
	return b.matching(func(r record) bool { return r.own })
}

// Limited returns the notices of the servers that name a limit, by server.
func (b *Board) Limited() map[string]yuccabalancer.Notice {
	return b.matching(func(r record) bool { return r.Limited })
}

func (b *Board) matching(keep func(record) bool) map[string]yuccabalancer.Notice {
	notices := map[string]yuccabalancer.Notice{}
	for server, r := range b.notices {
		if keep(r) {
			notices[server] = r.Notice
		}
	}
	return notices
}

// Prune forgets servers that have lifted their limit a while ago and servers that
// known no longer reports. It returns the names of those that still had something to
// say.
func (b *Board) Prune(now time.Time, known func(server string) bool) []string {
	var gone []string
	for server, r := range b.notices {
		age := now.Sub(r.At)
		if age < liftedTTL || !r.Empty() && known(server) {
			continue
		}
		delete(b.notices, server)
		if !r.Empty() {
			gone = append(gone, server)
		}
	}
	return gone
}
