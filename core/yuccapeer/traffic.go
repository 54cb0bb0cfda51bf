package yuccapeer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of all sessions since the bus started.
type Traffic struct{ Sent, Received uint64 }

// counter is a Traffic that grows.
type counter struct{ sent, received atomic.Uint64 }

// countedConn adds what passes through a connection to a counter.
type countedConn struct {
	net.Conn
	counter *counter
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

// Traffic returns the bytes that passed, without those of TCP and IP.
func (p *Peers) Traffic() Traffic {
	return Traffic{p.counter.sent.Load(), p.counter.received.Load()}
}
