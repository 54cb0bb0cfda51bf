package yuccafake

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// backlogDialTimeout is how long a connection may take before the backlog counts as
	// full.
	backlogDialTimeout = 100 * time.Millisecond
	// maxBacklog bounds the connections that fill the backlog.
	maxBacklog = 16
)

// errBacklogNotFull is the error of a system that establishes every connection.
var errBacklogNotFull = errors.New("the backlog cannot be filled")

// FullBacklog is a listener with a full backlog: it accepts no connections, and the
// system drops the packets of new ones, so that they are never established.
type FullBacklog struct {
	listener net.Listener
	conns    []net.Conn
}

// NewFullBacklog returns a listener on a loopback address until Close.
func NewFullBacklog() (*FullBacklog, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &FullBacklog{listener: l}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		// Listening again replaces the length of the backlog.
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	for err == nil && len(b.conns) < maxBacklog {
		c, dialErr := net.DialTimeout("tcp", b.Addr(), backlogDialTimeout)
		if dialErr != nil {
			return b, nil
		}
		b.conns = append(b.conns, c)
	}
	b.Close()
	return nil, errors.Join(err, errBacklogNotFull)
}

// Addr returns the address that cannot be connected to.
func (b *FullBacklog) Addr() string { return b.listener.Addr().String() }

// Close closes the listener and the connections in its backlog.
func (b *FullBacklog) Close() {
	_ = b.listener.Close()
	for _, c := range b.conns {
		_ = c.Close()
	}
}
