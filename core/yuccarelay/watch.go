package yuccarelay

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccasocket"
)

// CallerConn is a caller's connection that tells the relay when it closes and when a
// request arrived. Its close lets the caller receive all that was written to it, also if the
// caller is still sending. The relay watches other connections itself.
type CallerConn interface {
	// ArrivedAt returns when the head of the request in progress was read; the zero
	// time means just before its handler started.
	ArrivedAt() time.Time
	// WatchClose calls onClose, at most once, when the caller closes its connection.
	// Until stop is called, further requests on the connection may be started if
	// concurrent is set. The function stop must be called before the request ends.
	WatchClose(concurrent bool, onClose func()) (stop func())
}

// arrivalTime returns when the request in progress on a connection arrived.
func arrivalTime(c net.Conn) time.Time {
	if c, ok := c.(CallerConn); ok {
		if at := c.ArrivedAt(); !at.IsZero() {
			return at
		}
	}
	return time.Now()
}

// watchClose calls onClose, at most once, when the peer closes the connection. The
// function stop ends the watch; without it the connection must not be read. It is nil if
// the connection gives no access to its socket.
func watchClose(c net.Conn, concurrent bool, onClose func()) (stop func()) {
	if c, ok := c.(CallerConn); ok {
		return c.WatchClose(concurrent, onClose)
	}
	if w := newCloseWatch(c, onClose); w != nil {
		return w.stop
	}
	return nil
}

// closeWatch waits for the caller to close its connection while its request is
// being handled. It only peeks at the socket, so that a pipelined request stays
// unread.
type closeWatch struct {
	conn  net.Conn
	group errgroup.Group
}

// newCloseWatch calls onClose when the peer closes the connection. It returns
// nil if the connection gives no access to its socket.
func newCloseWatch(c net.Conn, onClose func()) *closeWatch {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	w := &closeWatch{conn: c}
	w.group.Go(func() error {
		if yuccasocket.WaitForClose(raw) {
			onClose()
		}
		return nil
	})
	return w
}

// stop ends the watch, after which the connection can be read again.
func (w *closeWatch) stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	_ = w.group.Wait()
	_ = w.conn.SetReadDeadline(time.Time{})
}

// isIdleAndOpen reports whether a connection is open and no bytes wait on it.
func isIdleAndOpen(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	state := yuccasocket.Closed
	err = raw.Read(func(fd uintptr) bool {
		state = yuccasocket.Peek(fd)
		return true
	})
	return err == nil && state == yuccasocket.NoData
}
