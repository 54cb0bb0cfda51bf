// Package yuccaconns decides which connections of clients a listener keeps when their number
// is limited, as by the descriptors of the process. A Table holds the connections of one
// listener:
//
//	admission := table.Open(now, c, unread)
//	closeAll(admission.Evicted)
//	if admission.Verdict == yuccaconns.Drop { ... }
//
// At the limit, the connection that has been without a request for longest makes room for a
// new one. Closing it costs its client one handshake, while refusing the new one costs its
// client a request and a delay. A new connection is refused only if all others have requests
// or are too fresh.
//
// The package has no clock and does no I/O.
package yuccaconns

import (
	"container/list"
	"time"
)

const (
	// minQuiet is how long a connection has to be without a request before it is closed for
	// another one. It covers the way of a first request from a client in another region.
	minQuiet = 100 * time.Millisecond
	// fullHold is how long a table counts as full after a connection was opened at the limit.
	// Clients keep lookup responses for up to 3 s.
	fullHold = 5 * time.Second
	// refusedShare is the share of the limit by which the refused connections may exceed it
	// while their requests are read.
	refusedShare = 1.0 / 16
	// maxInspected is the largest number of connections that are considered for one that is
	// opened.
	maxInspected = 8
)

// Verdict is the decision about a new connection.
type Verdict uint8

// The verdicts.
const (
	// Keep means that its requests are served.
	Keep Verdict = iota
	// Refuse means that its first request is read, and answered as one that has not run.
	Refuse
	// Drop means that it is closed unread.
	Drop
)

// Admission is the decision about a new connection C, and the connections that are closed
// for it.
type Admission[C comparable] struct {
	Verdict Verdict
	Evicted []C
}

// conn is a connection.
type conn[C comparable] struct {
	id C
	// quiet is its place among the connections without a request, nil if it has one.
	quiet *list.Element
	// since is when the last request ended, or the connection was opened.
	since time.Time
	// refused is set if its request is refused, and evicted if it has been closed for
	// another one.
	refused, evicted bool
}

// Table holds the connections of a listener. Create one with New. It is not safe for
// concurrent use.
type Table[C comparable] struct {
	limit int
	// open is the number of connections that are not evicted.
	open  int
	conns map[C]*conn[C]
	// quiet holds the connections without a request, the longest without one first.
	quiet *list.List
	// fullAt is when a connection was last opened at the limit.
	fullAt time.Time
}

// New returns a table for up to limit connections. Zero means no limit.
func New[C comparable](limit int) *Table[C] {
	return &Table[C]{limit: limit, conns: map[C]*conn[C]{}, quiet: list.New()}
}

// SetLimit changes the limit. Zero means none.
func (t *Table[C]) SetLimit(limit int) { t.limit = limit }

// Limit returns the limit, 0 if there is none.
func (t *Table[C]) Limit() int { return t.limit }

// Len returns the number of open connections.
func (t *Table[C]) Len() int { return t.open }

// Full reports whether a connection was opened at the limit a short while ago.
func (t *Table[C]) Full(now time.Time) bool {
	return !t.fullAt.IsZero() && now.Sub(t.fullAt) < fullHold
}

// Open adds a connection that was opened at now, unless the verdict is Drop. The function
// unread reports whether a client has sent data that the server has not read yet.
func (t *Table[C]) Open(now time.Time, id C, unread func(C) bool) Admission[C] {
	a := Admission[C]{}
	if t.limit > 0 && t.open >= t.limit {
		t.fullAt = now
		a.Evicted = t.evict(now, t.open+1-t.limit, unread)
		a.Verdict = t.verdict(len(a.Evicted) > 0)
	}
	if a.Verdict != Drop {
		t.add(now, id, a.Verdict == Refuse)
	}
	return a
}

func (t *Table[C]) verdict(evicted bool) Verdict {
	switch {
	case evicted:
		return Keep
	case t.open < t.limit+max(1, int(refusedShare*float64(t.limit))):
		return Refuse
	}
	return Drop
}

func (t *Table[C]) add(now time.Time, id C, refused bool) {
	c := &conn[C]{id: id, since: now, refused: refused}
	c.quiet = t.quiet.PushBack(c)
	t.conns[id] = c
	t.open++
}

// evict marks up to n connections as evicted, those first that have been without a request
// for longest, and returns them. One with unread data counts as if its request had begun and
// ended at now.
func (t *Table[C]) evict(now time.Time, n int, unread func(C) bool) []C {
	var evicted []C
	for range maxInspected {
		front := t.quiet.Front()
		if front == nil || len(evicted) == n {
			break
		}
		c := front.Value.(*conn[C])
		if now.Sub(c.since) < minQuiet {
			break
		}
		if unread(c.id) {
			c.since = now
			t.quiet.MoveToBack(front)
			continue
		}
		t.quiet.Remove(front)
		c.quiet, c.evicted = nil, true
		t.open--
		evicted = append(evicted, c.id)
	}
	return evicted
}

// Begin notes that the first byte of a request was read.
func (t *Table[C]) Begin(id C) {
	c, ok := t.conns[id]
	if !ok || c.quiet == nil {
		return
	}
	t.quiet.Remove(c.quiet)
	c.quiet = nil
}

// End notes that the response of the last request was written at now.
func (t *Table[C]) End(now time.Time, id C) {
	c, ok := t.conns[id]
	if !ok || c.quiet != nil || c.evicted {
		return
	}
	c.since = now
	c.quiet = t.quiet.PushBack(c)
}

// Close removes a connection.
func (t *Table[C]) Close(id C) {
	c, ok := t.conns[id]
	if !ok {
		return
	}
	t.Begin(id)
	delete(t.conns, id)
	if !c.evicted {
		t.open--
	}
}

// Serves returns what becomes of a request that was read on a connection: Drop if the
// connection has been evicted, so that no response can be sent any more. The requests of
// unknown connections are kept.
func (t *Table[C]) Serves(id C) Verdict {
	c, ok := t.conns[id]
	switch {
	case ok && c.evicted:
		return Drop
	case ok && c.refused:
		return Refuse
	}
	return Keep
}
