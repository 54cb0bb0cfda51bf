package yuccapipeline

import (
	"io"
	"net"
	"sync"
	"time"
)

// Ahead is the in-memory connection on which the server handles one request that was
// read ahead. Its response is held back until it is its turn. Its fields are guarded by
// the mutex of the Conn.
type Ahead struct {
	conn *Conn
	// request is what the server has not read yet of the request.
	request   []byte
	arrivedAt time.Time
	// changed is signalled when one of the fields below changes.
	changed sync.Cond
	// response is the start of the response, which waits for its turn.
	response []byte
	// inTurn is set when the server may write to the caller's connection.
	inTurn bool
	// kept is set if the response is complete and keeps the connection open.
	kept bool
	// closed is set when the server has closed the connection.
	closed bool
	// canceled is set if the response cannot be delivered any more.
	canceled bool
}

func newAhead(c *Conn, request []byte, arrivedAt time.Time) *Ahead {
	return &Ahead{conn: c, request: request, arrivedAt: arrivedAt, changed: sync.Cond{L: &c.mu}}
}

// run serves the request.
func (a *Ahead) run() {
	defer a.conn.pipeline.running.Add(-1)
	defer func() { _ = a.Close() }()
	// An error is one of writing the response, after which the caller's connection is
	// closed, as for a request that the server reads itself.
	_ = a.conn.pipeline.serve(a)
}

// ArrivedAt returns when the head of the request was read.
func (a *Ahead) ArrivedAt() time.Time { return a.arrivedAt }

// Read implements net.Conn. It returns io.EOF after the request.
func (a *Ahead) Read(p []byte) (int, error) {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	if len(a.request) == 0 {
		return 0, io.EOF
	}
	n := copy(p, a.request)
	a.request = a.request[n:]
	return n, nil
}

// Write implements net.Conn. It blocks while it is not the turn of the response and
// too many bytes are waiting already.
func (a *Ahead) Write(p []byte) (int, error) {
	c := a.conn
	c.mu.Lock()
	for !a.inTurn && !a.canceled && !a.hold(p) {
		a.changed.Wait()
	}
	direct, canceled := a.inTurn, a.canceled
	c.mu.Unlock()
	switch {
	case canceled:
		return 0, net.ErrClosed
	case direct:
		return c.TCPConn.Write(p)
	}
	return len(p), nil
}

// hold adds bytes to the response that waits, and reports whether there was room.
func (a *Ahead) hold(p []byte) bool {
	c := a.conn
	if c.waiting+len(p) > maxWaitingBytes || !reserve(&c.pipeline.waiting, int64(len(p)), maxWaitingBytesTotal) {
		return false
	}
	c.waiting += len(p)
	a.response = append(a.response, p...)
	return true
}

// takeResponse returns the bytes that wait.
func (a *Ahead) takeResponse() []byte {
	p := a.response
	a.response = nil
	a.conn.waiting -= len(p)
	a.conn.pipeline.waiting.Add(-int64(len(p)))
	return p
}

// deliver writes the response and waits for its end. It reports whether the response
// is complete and keeps the connection open.
func (a *Ahead) deliver() bool {
	c := a.conn
	for len(a.response) > 0 {
		p := a.takeResponse()
		c.mu.Unlock()
		_, err := c.TCPConn.Write(p)
		c.mu.Lock()
		if err != nil {
			return false
		}
	}
	a.inTurn = true
	a.changed.Broadcast()
	for !a.closed && !a.canceled {
		a.changed.Wait()
	}
	return a.kept && !a.canceled
}

// keep notes that the response is complete and keeps the connection open.
func (a *Ahead) keep() {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.kept = true
}

// cancel drops the response. The caller holds the mutex.
func (a *Ahead) cancel() {
	a.canceled = true
	a.takeResponse()
	a.changed.Broadcast()
}

// Close implements net.Conn. The response ends here.
func (a *Ahead) Close() error {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.closed = true
	a.changed.Broadcast()
	return nil
}

// LocalAddr implements net.Conn.
func (a *Ahead) LocalAddr() net.Addr { return a.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (a *Ahead) RemoteAddr() net.Addr { return a.conn.RemoteAddr() }

// SetDeadline implements net.Conn. It does nothing, since the request is in memory and
// the caller's connection has deadlines of its own.
func (a *Ahead) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn; see SetDeadline.
func (a *Ahead) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; see SetDeadline.
func (a *Ahead) SetWriteDeadline(time.Time) error { return nil }
