package yuccarelay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// watch waits for the caller to hang up while its request is worked on. It looks
// at the connection without taking bytes from it, so that a pipelined request
// stays unread.
type watch struct {
	conn  net.Conn
	group errgroup.Group
}

// newWatch calls gone when the connection's other end closes it. It returns
// nil for a connection that cannot be watched.
func newWatch(c net.Conn, gone func()) *watch {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	w := &watch{conn: c}
	w.group.Go(func() error {
		if closed(raw) {
			gone()
		}
		return nil
	})
	return w
}

// stop ends the watching and gives the connection's reading back.
func (w *watch) stop() {
	if w == nil {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	_ = w.group.Wait()
	_ = w.conn.SetReadDeadline(time.Time{})
}

// closed waits until there is something to read and reports whether it is the
// end of the connection.
func closed(raw syscall.RawConn) bool {
	end := false
	err := raw.Read(func(fd uintptr) bool {
		state := peek(fd)
		end = state == ended
		return state != quiet
	})
	return err == nil && end
}

type readiness uint8

const (
	quiet readiness = iota
	ended
	readable
)

// peek tells what a read from the socket would give at once.
func peek(fd uintptr) readiness {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return quiet
		case err != nil || n == 0:
			return ended
		}
		return readable
	}
}

// untouched reports whether an idle connection is open and nothing has come on
// it.
func untouched(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	state := ended
	err = raw.Read(func(fd uintptr) bool {
		state = peek(fd)
		return true
	})
	return err == nil && state == quiet
}
