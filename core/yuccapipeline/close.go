package yuccapipeline

import (
	"time"

	"yuccawell.example/core/yuccalinger"
)

// closing is how a connection closes.
type closing uint8

const (
	// closeAtOnce is for a connection on which nothing is on its way to the caller that a
	// close could take from it, or whose caller sends nothing more.
	closeAtOnce closing = iota
	// closeLingering is for a connection whose caller may still be sending. Its bytes would
	// reset the connection, and the caller could lose the end of the last response.
	closeLingering
)

// closeNow closes the connection, once, and cancels its requests. The caller of the connection
// gets all that was written to it.
func (c *Conn) closeNow() error {
	c.mu.Lock()
	closed, how := c.closed, c.howToClose()
	c.closed, c.gone, c.ended = true, true, true
	c.cancelAheads()
	c.mu.Unlock()
	switch {
	case closed:
		return nil
	case how == closeLingering:
		c.pipeline.closer.Close(c.TCPConn)
		// A read of the server that is in progress ends.
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.TCPConn.Close()
}

// howToClose decides how the connection closes. The caller holds the mutex.
func (c *Conn) howToClose() closing {
	switch {
	case c.callerEnded || !c.received:
		return closeAtOnce
	case c.last && c.frame.mode == inHead && len(c.unread) == 0:
		// The caller has said that this request is its last one, and has sent all of it.
		return closeAtOnce
	case c.idle && !c.ended && !yuccalinger.HasUnsent(c.TCPConn):
		// The caller has all responses. A request that it sends now has not been read.
		return closeAtOnce
	}
	return closeLingering
}
