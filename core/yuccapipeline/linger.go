package yuccapipeline

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout is how long a connection stays open for a caller that is still
	// sending. It covers the way of the response to the caller and that of its end.
	lingerTimeout = time.Second
	// maxLingerBytes is the most that is read and discarded meanwhile.
	maxLingerBytes = 64 << 20
)

// Linger makes the close of the connection wait until the caller stops sending, at most
// for lingerTimeout. A close with unread bytes resets the connection, and the caller may
// then lose the response.
func (c *Conn) Linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// Linger does nothing: a request that is read ahead has no body.
func (a *Ahead) Linger() {}

// lingerAndClose ends the sending side and closes the connection when the caller has seen
// that. Bytes of the request that still arrive are discarded.
func (c *Conn) lingerAndClose() {
	discardUntilEnd(c.TCPConn, time.Now().Add(lingerTimeout))
	_ = c.TCPConn.Close()
}

func discardUntilEnd(c *net.TCPConn, deadline time.Time) {
	if c.CloseWrite() != nil || c.SetReadDeadline(deadline) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(struct{ io.Reader }{c}, maxLingerBytes))
}
