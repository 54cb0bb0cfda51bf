package yuccasocket

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection whose peer has ended its side, as in TCP_INFO.
const tcpCloseWait = 8

// Conn is a TCP connection whose reads tell the end of what the peer sends from a reset, also
// while bytes are written. The kernel reports a reset once, to a read or to a write. If the
// write gets it, a read of the bare connection returns io.EOF, and a response that has no
// length looks complete. Create one with NewConn.
type Conn struct {
	*net.TCPConn

	// mu is held during a write and guards reset.
	mu sync.Mutex
	// reset is set if a write has got the reset.
	reset bool
}

// NewConn returns a Conn for c.
func NewConn(c *net.TCPConn) *Conn { return &Conn{TCPConn: c} }

// Read implements net.Conn. It returns io.EOF only if the peer has ended its side before the
// connection was reset.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	// Behind the end of the peer's side, a reset is EPIPE.
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// Close implements net.Conn like GiveUp.
func (c *Conn) Close() error { return GiveUp(c.TCPConn) }

// ReadFrom implements io.ReaderFrom in place of the method of TCPConn, which would bypass
// Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo implements io.WriterTo in place of the method of TCPConn, which would bypass Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// wasReset reports whether a write has got a reset. While the peer has only ended its side,
// a write may wait for long; otherwise one that is in progress returns at once.
func (c *Conn) wasReset() bool {
	if c.state() == tcpCloseWait {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}

// state returns the state of the connection, zero if it is closed on this side.
func (c *Conn) state() (state uint8) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil { // #nosec G115
			state = info.State
		}
	})
	return state
}
