package yuccapipeline

import (
	"errors"
	"os"
	"slices"
	"syscall"
	"time"

	"yuccawell.example/core/yuccasocket"
)

// readBytes is the largest number of bytes that one system call reads ahead.
const readBytes = 4 << 10

// watcher is a request that wants to know when the caller closes its connection.
type watcher struct {
	// ahead is the connection of the request, nil if the server reads the request from
	// the caller's connection.
	ahead   *Ahead
	onClose func()
}

// WatchClose calls onClose, at most once, when the caller closes the connection or the
// request cannot be answered any more. Meanwhile further requests are read ahead if
// concurrent is set, which says that the request in progress allows that. The function
// stop ends the watch and must be called before the connection is read again; onClose
// may still be running afterwards.
func (c *Conn) WatchClose(concurrent bool, onClose func()) (stop func()) {
	c.mu.Lock()
	c.readAhead = concurrent && !c.last && !c.closing && c.frame.mode == inHead
	c.mu.Unlock()
	return c.startWatch(&watcher{onClose: onClose})
}

// WatchClose calls onClose, at most once, when the caller closes its connection or the
// request cannot be answered any more. The function stop ends the watch; onClose may
// still be running afterwards.
func (a *Ahead) WatchClose(_ bool, onClose func()) (stop func()) {
	return a.conn.startWatch(&watcher{ahead: a, onClose: onClose})
}

func (c *Conn) startWatch(w *watcher) (stop func()) {
	c.watchMu.Lock()
	defer c.watchMu.Unlock()
	c.mu.Lock()
	if c.gone || w.ahead != nil && w.ahead.canceled {
		c.mu.Unlock()
		w.onClose()
		return func() {}
	}
	c.watchers = append(c.watchers, w)
	c.mu.Unlock()
	if !c.watching {
		c.watching = true
		c.watch.Go(c.runWatch)
	}
	return func() { c.stopWatch(w) }
}

// stopWatch removes a watcher. Without any, the goroutine of the watch ends.
func (c *Conn) stopWatch(w *watcher) {
	c.watchMu.Lock()
	defer c.watchMu.Unlock()
	c.mu.Lock()
	c.watchers = slices.DeleteFunc(c.watchers, func(other *watcher) bool { return other == w })
	last := len(c.watchers) == 0
	c.mu.Unlock()
	if !last || !c.watching {
		return
	}
	c.stopping.Store(true)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	c.watch.Wait()
	_ = c.TCPConn.SetReadDeadline(time.Time{})
	c.stopping.Store(false)
	c.watching = false
}

// resumeWatch makes the watch look at the socket again after atLimit was set.
func (c *Conn) resumeWatch() {
	c.watchMu.Lock()
	defer c.watchMu.Unlock()
	if c.watching {
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// runWatch reads requests ahead and waits for the caller to close the connection.
func (c *Conn) runWatch() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	c.startAheads()
	for {
		closed := false
		err := raw.Read(func(fd uintptr) bool {
			closed = c.readSocket(fd)
			return closed
		})
		if closed {
			c.callerClosed()
			return
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		// Either stopWatch or resumeWatch has set the deadline. If stopWatch does so from
		// here on, it is seen below or by the next read.
		_ = c.TCPConn.SetReadDeadline(time.Time{})
		if c.stopping.Load() {
			return
		}
	}
}

// readSocket reads ahead what it may and reports whether the caller has closed the
// connection.
func (c *Conn) readSocket(fd uintptr) (closed bool) {
	for {
		switch yuccasocket.Peek(fd) {
		case yuccasocket.NoData:
			return false
		case yuccasocket.Closed:
			return true
		}
		if !c.fill(fd) {
			return yuccasocket.HungUp(fd)
		}
		c.startAheads()
	}
}

// fill reads unread bytes from the socket if requests may be read ahead, and reports
// whether it did.
func (c *Conn) fill(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readAhead || c.atLimit || len(c.unread) >= maxHeadBytes {
		return false
	}
	have := len(c.unread)
	room := min(maxHeadBytes-have, readBytes)
	c.unread = slices.Grow(c.unread, room)
	n, err := syscall.Read(int(fd), c.unread[have:have+room])
	if err != nil || n <= 0 {
		c.consume(0)
		return false
	}
	c.unread, c.readAt = c.unread[:have+n], time.Now()
	return true
}

// callerClosed cancels all requests of the connection.
func (c *Conn) callerClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone, c.ended, c.callerEnded = true, true, true
	c.cancelAheads()
	c.notify(func(*watcher) bool { return true })
}

// notify calls and removes the watchers that match. The caller holds the mutex, which
// is unlocked during the calls.
func (c *Conn) notify(match func(*watcher) bool) {
	var matched []*watcher
	c.watchers = slices.DeleteFunc(c.watchers, func(w *watcher) bool {
		if match(w) {
			matched = append(matched, w)
			return true
		}
		return false
	})
	c.mu.Unlock()
	defer c.mu.Lock()
	for _, w := range matched {
		w.onClose()
	}
}
