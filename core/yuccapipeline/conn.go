package yuccapipeline

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Conn is a caller's connection. The server's goroutine for the connection reads and
// writes it; the requests that are read ahead write their responses to it in deliver.
type Conn struct {
	*net.TCPConn
	pipeline *Pipeline

	// watchMu serialises the start and the end of the watch, and changes of the read
	// deadline. It is locked before mu.
	watchMu sync.Mutex
	// watching is set while the goroutine of the watch runs.
	watching bool
	// stopping tells that goroutine to end.
	stopping atomic.Bool
	watch    sync.WaitGroup

	// mu guards the fields below and the state of every Ahead.
	mu    sync.Mutex
	frame framer
	// unread holds the bytes that have been read from the socket and not been passed
	// on.
	unread []byte
	// readAt is when the last of them were read.
	readAt time.Time
	// arrivedAt is when the head of the request that the server reads was read, the
	// zero time if the server read it from the socket itself.
	arrivedAt time.Time
	// readAhead is set while requests behind the one in progress may be started.
	readAhead bool
	// atLimit is set if requests are left in the socket because too many run.
	atLimit bool
	// aheads are the requests that were read ahead and whose responses have not been
	// written, in the order of their arrival.
	aheads   []*Ahead
	watchers []*watcher
	// waiting is the number of response bytes that wait for their turn.
	waiting int
	// last is set if the request in progress asks for the end of the connection.
	last bool
	// idle is set while the server waits for the first byte of a request.
	idle bool
	// ended is set if the server may read no further request.
	ended bool
	// gone is set if the caller has closed the connection, or the server has.
	gone bool
	// closing is set if Close has been called while responses were outstanding.
	closing bool
	// received is set when a byte has been received.
	received bool
	// callerEnded is set when the caller has ended its sending side.
	callerEnded bool
	// closed is set when the connection has been closed, or left to the closer.
	closed bool
}

// ArrivedAt returns when the head of the request in progress was read, the zero time
// if it was read just before its handler started.
func (c *Conn) ArrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivedAt
}

// Buffered returns the number of bytes that have been read from the socket and that the
// server has not got yet.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread)
}

// Read implements net.Conn. It returns no bytes beyond the request that the server is
// reading.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.ended || c.closing {
		c.mu.Unlock()
		return 0, io.EOF
	}
	if c.idle {
		c.frame.startHead()
	}
	if len(c.unread) > 0 {
		defer c.mu.Unlock()
		c.idle = false
		n, headEnded := c.frame.take(c.unread[:min(len(p), len(c.unread))])
		if headEnded {
			c.arrivedAt = c.readAt
		}
		copy(p, c.unread[:n])
		c.consume(n)
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, io.EOF
	}
	if n <= 0 {
		c.callerEnded = c.callerEnded || err == io.EOF
		return n, err
	}
	c.received, c.idle = true, false
	taken, headEnded := c.frame.take(p[:n])
	if headEnded {
		c.arrivedAt = time.Time{}
	}
	if taken < n {
		c.unread, c.readAt = append(c.unread, p[taken:n]...), time.Now()
	}
	return taken, err
}

// WriteTo implements io.WriterTo. It hides the method of TCPConn, which would bypass
// Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// consume removes the first n unread bytes.
func (c *Conn) consume(n int) {
	if c.unread = c.unread[n:]; len(c.unread) == 0 {
		c.unread = nil
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. The server sets a deadline only while it waits for
// the first byte of a request behind another, when it has consumed all that it has read. One
// that has passed ends the read of a body.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.watchMu.Lock()
	defer c.watchMu.Unlock()
	c.mu.Lock()
	c.idle = time.Now().Before(t)
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(t)
}

// begin notes that the server has read a request.
func (c *Conn) begin(h *fasthttp.RequestHeader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frame.requestRead(h.ContentLength())
	c.readAhead = false
	c.last = h.ConnectionClose() || !h.IsHTTP11()
}

// stopReadingAhead ends the reading ahead until the server's next request, and reports
// whether a is the last request that was read ahead. For the request that the server
// reads itself, a is nil.
func (c *Conn) stopReadingAhead(a *Ahead) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = false
	if len(c.aheads) == 0 {
		return a == nil
	}
	return c.aheads[len(c.aheads)-1] == a
}

// startAheads starts the requests among the unread bytes that may run ahead, up to the
// first one that may not.
func (c *Conn) startAheads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atLimit = false
	for c.readAhead {
		var e lineEnd
		n, found := e.scan(c.unread)
		if !found {
			return
		}
		var h fasthttp.RequestHeader
		concurrency := Alone
		if parseHead(c.unread[:n], &h) {
			concurrency = c.pipeline.concurrency(&h)
		}
		if concurrency == Alone {
			c.readAhead = false
			return
		}
		if c.atLimit = len(c.aheads) == maxAhead || !c.pipeline.acquire(); c.atLimit {
			return
		}
		a := newAhead(c, slices.Clone(c.unread[:n]), c.readAt)
		c.consume(n)
		c.aheads = append(c.aheads, a)
		c.readAhead = concurrency == Beside && !h.ConnectionClose()
		c.pipeline.group.Go(a.run)
	}
}

// deliver writes the responses of the requests that were read ahead, in their order,
// until none is left. It is called when the server has written the response to the
// request that it has read itself and keeps the connection. A response that is cut
// short or closes the connection cancels the requests behind it.
func (c *Conn) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.aheads) > 0 {
		a := c.aheads[0]
		if !a.deliver() {
			c.ended = true
			c.cancelAheads()
			return
		}
		c.aheads = slices.Delete(c.aheads, 0, 1)
		if c.atLimit {
			c.mu.Unlock()
			c.startAheads()
			c.resumeWatch()
			c.mu.Lock()
		}
	}
	c.readAhead = false
}

// cancelAheads cancels the requests that were read ahead. The mutex is unlocked while
// the handlers are told.
func (c *Conn) cancelAheads() {
	c.readAhead = false
	aheads := c.aheads
	c.aheads = nil
	for _, a := range aheads {
		a.cancel()
	}
	c.notify(func(w *watcher) bool { return w.ahead != nil && w.ahead.canceled })
}

// Close implements net.Conn. While responses are outstanding, the connection closes
// only after they have been written, since the server closes connections that are idle
// to its knowledge when it shuts down.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.readAhead = false
	if len(c.aheads) > 0 && !c.gone {
		c.closing = true
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	return c.closeNow()
}

// hijacked cancels the requests behind one whose handler has taken over the
// connection.
func (c *Conn) hijacked() {
	c.mu.Lock()
	c.ended = true
	c.cancelAheads()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.closeNow()
	}
}
