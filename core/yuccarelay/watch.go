package yuccarelay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

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
		if waitForClose(raw) {
			onClose()
		}
		return nil
	})
	return w
}

// stop ends the watch, after which the connection can be read again.
func (w *closeWatch) stop() {
	if w == nil {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	_ = w.group.Wait()
	_ = w.conn.SetReadDeadline(time.Time{})
}

// waitForClose waits until the socket is readable and reports whether that is
// the end of the connection.
func waitForClose(raw syscall.RawConn) bool {
	isClosed := false
	err := raw.Read(func(fd uintptr) bool {
		state := peekSocket(fd)
		isClosed = state == peerClosed
		return state != noData
	})
	return err == nil && isClosed
}

// socketState is what a read from a socket would return at once.
type socketState uint8

const (
	noData socketState = iota
	peerClosed
	dataReady
)

// peekSocket returns the state of a socket without consuming bytes.
func peekSocket(fd uintptr) socketState {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return noData
		case err != nil || n == 0:
			return peerClosed
		}
		return dataReady
	}
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
	state := peerClosed
	err = raw.Read(func(fd uintptr) bool {
		state = peekSocket(fd)
		return true
	})
	return err == nil && state == noData
}
