package yuccapipeline

import (
	"time"

	"yuccawell.example/core/yuccalinger"
)

// closeNow closes the connection, once, and cancels its requests. The caller of the connection
// gets all that was written to it.
func (c *Conn) closeNow() error {
	c.mu.Lock()
	closed, lingers := c.closed, c.mustLinger()
	c.closed, c.gone, c.ended = true, true, true
	c.cancelAheads()
	c.mu.Unlock()
	if closed {
		return nil
	}
	defer c.pipeline.open.Add(-1)
	if lingers {
		c.pipeline.closer.Close(c.TCPConn)
		// A read of the server that is in progress ends.
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.TCPConn.Close()
}

// mustLinger reports whether the caller may still be sending while a response is on its way to
// it. Its bytes would reach a connection that is closed and reset it, and the caller could lose
// the end of the response. The caller holds the mutex.
func (c *Conn) mustLinger() bool {
	switch {
	case c.callerEnded || !c.received:
		return false
	case c.last && c.frame.mode == inHead && len(c.unread) == 0:
		// The caller has said that this request is its last one, and has sent all of it.
		return false
	case c.idle && !c.ended && !yuccalinger.HasUnsent(c.TCPConn):
		// The caller has all responses. A request that it sends now has not been read.
		return false
	}
	return true
}
