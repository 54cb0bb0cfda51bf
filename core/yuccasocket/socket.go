// Package yuccasocket examines TCP sockets without reading from them.
package yuccasocket

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a read from a socket would return at once.
type State uint8

// The states of a socket.
const (
	// NoData means that a read would block.
	NoData State = iota
	// Closed means that the peer has closed the connection and no data is unread, or that
	// a read fails.
	Closed
	// DataReady means that data is unread.
	DataReady
)

// Peek returns the state of a socket without consuming bytes.
func Peek(fd uintptr) State {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return NoData
		case err != nil || n == 0:
			return Closed
		}
		return DataReady
	}
}

// HungUp reports whether the peer has closed its side of the connection, even if data
// before the close is still unread. An error of the system call counts as open.
func HungUp(fd uintptr) bool {
	// poll(2) uses the same bits for POLLRDHUP as epoll(7) for EPOLLRDHUP.
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.EPOLLRDHUP}} // #nosec G115
	for {
		n, err := unix.Poll(fds, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return err == nil && n > 0
	}
}

// WaitForClose waits until the peer closes its side of the connection, whether or not
// data is unread, and reports whether it did. Otherwise the read deadline has passed
// or the connection is closed on this side.
func WaitForClose(raw syscall.RawConn) bool {
	isClosed := false
	// The runtime waits for edges, so the function runs again when more data or the
	// close arrives, although earlier data is unread.
	err := raw.Read(func(fd uintptr) bool {
		state := Peek(fd)
		isClosed = state == Closed || state == DataReady && HungUp(fd)
		return isClosed
	})
	return err == nil && isClosed
}

// Unacked returns the number of bytes that were written to a socket and that the peer has
// not acknowledged, zero if the system call fails. The end of the sending side counts as
// one byte.
func Unacked(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}
