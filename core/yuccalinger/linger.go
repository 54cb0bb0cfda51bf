// Package yuccalinger closes TCP connections so that the peer gets all that was written.
//
// A close with unread bytes resets a connection, and so does a close before the peer has
// stopped sending: its next bytes reach a socket that is gone. The kernel then drops what
// the peer has not received yet, such as the end of a response that it reads slowly. A
// lingering connection ends its sending side only, and discards what still arrives until
// the peer has closed too, or has received everything and had time to see the end.
//
//	closer := yuccalinger.New()
//	closer.Close(conn)
//	closer.Wait(deadline)
package yuccalinger

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccasocket"
)

const (
	// maxLingering bounds the connections that linger at a time. Each holds a descriptor.
	maxLingering = 1024
	// closeDelay is how long a peer that has received everything may take to close its
	// side. It covers the way of the end to the peer and that of its answer.
	closeDelay = time.Second
	// stallTimeout is how long a peer may receive nothing.
	stallTimeout = 5 * time.Second
	// pollInterval is the time between two looks at a connection.
	pollInterval = 20 * time.Millisecond
	// busyPollInterval is that time while the peer is sending.
	busyPollInterval = time.Millisecond
	// discardBytes is the size of the buffer for bytes that are discarded.
	discardBytes = 32 << 10
	// maxDiscards is the number of reads for one look.
	maxDiscards = 64
)

// Closer closes connections. Create one with New.
type Closer struct {
	group errgroup.Group
	// lingering is the number of connections that linger.
	lingering atomic.Int64
	// ended is closed when connections may no longer linger, once.
	ended chan struct{}
	end   sync.Once
}

// New returns a Closer.
func New() *Closer { return &Closer{ended: make(chan struct{})} }

// Close ends the sending side of a connection at once and closes it in the background. It
// does not wait for reads in progress elsewhere, which may go on until the connection is
// closed. Too many connections at a time are closed at once.
func (l *Closer) Close(c *net.TCPConn) {
	if l.lingering.Add(1) > maxLingering {
		l.lingering.Add(-1)
		Discard(c)
		_ = c.Close()
		return
	}
	l.group.Go(func() error {
		defer l.lingering.Add(-1)
		l.linger(c)
		return c.Close()
	})
}

// Wait waits until a deadline for the connections that linger. They are closed then, as are
// later ones, at once.
func (l *Closer) Wait(deadline time.Time) {
	for l.lingering.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(busyPollInterval)
	}
	l.end.Do(func() { close(l.ended) })
	for l.lingering.Load() > 0 {
		time.Sleep(busyPollInterval)
	}
}

// linger ends the sending side and returns when the connection may be closed. It polls the
// socket, since a read would wait for those that are in progress.
func (l *Closer) linger(c *net.TCPConn) {
	if c.CloseWrite() != nil {
		return
	}
	now := time.Now()
	p := progress{at: now, unacked: unsent(c)}
	for {
		n, closed := discard(c)
		now = time.Now()
		if p = p.update(now, unsent(c)); closed || p.over(now) {
			return
		}
		wait := pollInterval
		if n > 0 {
			wait = busyPollInterval
		}
		select {
		case <-time.After(wait):
		case <-l.ended:
			return
		}
	}
}

// progress is how far the peer has received what was written.
type progress struct {
	// at is when that last changed.
	at time.Time
	// unacked is the number of bytes that the peer has not received yet.
	unacked int
}

// update returns the progress after another look.
func (p progress) update(now time.Time, unacked int) progress {
	if unacked < p.unacked {
		return progress{now, unacked}
	}
	return p
}

// over reports whether waiting longer is of no use.
func (p progress) over(now time.Time) bool {
	if p.unacked == 0 {
		return now.Sub(p.at) >= closeDelay
	}
	return now.Sub(p.at) >= stallTimeout
}

// HasUnsent reports whether the peer has not received yet all that was written.
func HasUnsent(c *net.TCPConn) bool { return unsent(c) > 0 }

// Discard discards what the peer has sent, up to a bound, without waiting for more.
func Discard(c *net.TCPConn) { _, _ = discard(c) }

// Reset closes a connection so that the peer gets an error, not the end of a complete
// stream.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func unsent(c *net.TCPConn) (n int) {
	// A connection that cannot be examined is closed already.
	_ = control(c, func(fd uintptr) { n = yuccasocket.Unacked(fd) })
	return n
}

// discard returns the number of bytes that it has discarded, and whether the peer has
// closed its side.
func discard(c *net.TCPConn) (n int, closed bool) {
	var b [discardBytes]byte
	err := control(c, func(fd uintptr) {
		for range maxDiscards {
			got, err := syscall.Read(int(fd), b[:])
			switch {
			case err == syscall.EINTR:
				continue
			case err == syscall.EAGAIN:
				return
			case err != nil || got == 0:
				closed = true
				return
			}
			n += got
		}
	})
	return n, closed || err != nil
}

// control runs f with the descriptor of a connection. Unlike a read, it does not wait for
// another one that is in progress.
func control(c *net.TCPConn, f func(fd uintptr)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}
