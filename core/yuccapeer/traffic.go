package yuccapeer

import (
	"net"
	"sync/atomic"
)

// Traffic is the number of bytes sent and received on all sessions since the
// bus was created.
type Traffic struct {
	// Sent is the number of bytes sent.
	Sent uint64
	// Received is the number of bytes received.
	Received uint64
}

// trafficCounter counts the bytes of all sessions.
type trafficCounter struct {
	// sent counts the bytes written to the connections.
	sent atomic.Uint64
	// received counts the bytes read from the connections.
	received atomic.Uint64
}

// countedConn counts the bytes that are read from and written to a connection.
type countedConn struct {
	net.Conn
	// counter is the counter that the bytes are added to.
	counter *trafficCounter
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}

// Traffic returns the bytes sent and received so far, without TCP and IP
// headers.
func (p *Peers) Traffic() Traffic {
	return Traffic{p.traffic.sent.Load(), p.traffic.received.Load()}
}
