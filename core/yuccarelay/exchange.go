package yuccarelay

import (
	"io"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafault"
)

// stallTimeout bounds the wait for the next byte of a server.
const stallTimeout = 30 * time.Second

// What fasthttp gives in place of a body's length.
const (
	chunked  = -1
	noLength = -2
)

// exchange is one request and its answer on one connection. It is the reader of
// the answer's body.
type exchange struct {
	conn  *conn
	pool  *pool
	head  fasthttp.ResponseHeader
	body  io.Reader
	left  int64
	count int64
	ended bool
	end   func(int64, error)
}

func newExchange(c *conn) *exchange { return &exchange{conn: c, left: -1} }

// send writes the request and reads the head of the answer.
func (x *exchange) send(t *task) error {
	x.pool = t.relay.pool
	if err := x.conn.SetDeadline(limit(t.deadline)); err != nil {
		return err
	}
	if err := x.write(t); err != nil {
		return err
	}
	if err := x.readHead(); err != nil {
		return err
	}
	x.openBody(t.ctx.IsHead())
	return nil
}

// limit returns when a silent server is given up on.
func limit(deadline time.Time) time.Time {
	end := time.Now().Add(stallTimeout)
	if !deadline.IsZero() && deadline.Before(end) {
		return deadline
	}
	return end
}

func (x *exchange) write(t *task) error {
	var h fasthttp.RequestHeader
	t.ctx.Request.Header.CopyTo(&h)
	removeHopHeaders(&h)
	h.Del(DeadlineHeader)
	if !t.deadline.IsZero() {
		h.Set(DeadlineHeader, time.Until(t.deadline).Round(time.Millisecond).String())
	}
	if t.body.length != noLength {
		h.SetContentLength(t.body.length)
	}
	if err := h.Write(x.conn.w); err != nil {
		return err
	}
	if err := x.writeBody(t.body); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

func (x *exchange) writeBody(s *source) error {
	if s.length != chunked {
		_, err := io.Copy(x.conn.w, s.reader())
		return err
	}
	w := httputil.NewChunkedWriter(x.conn.w)
	if _, err := io.Copy(w, s.reader()); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(x.conn.w, "\r\n")
	return err
}

// readHead reads heads until one is final.
func (x *exchange) readHead() error {
	for {
		x.head.Reset()
		if err := x.head.Read(x.conn.r); err != nil {
			return err
		}
		if x.head.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

func (x *exchange) openBody(head bool) {
	n := x.head.ContentLength()
	switch {
	case x.bodyless(head):
		x.left = 0
	case n >= 0:
		x.left = int64(n)
		x.body = x.conn.r
	case n == chunked:
		x.body = httputil.NewChunkedReader(x.conn.r)
	default:
		x.body = x.conn.r
		x.head.SetConnectionClose()
	}
}

func (x *exchange) status() int { return x.head.StatusCode() }

// length returns the length of the body, -1 when it is not known.
func (x *exchange) length() int {
	return max(x.head.ContentLength(), chunked)
}

func (x *exchange) bodyless(head bool) bool {
	s := x.status()
	return head || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified
}

// declined reports whether the server says that it did not run the request.
func (x *exchange) declined() bool {
	return x.status() == fasthttp.StatusServiceUnavailable && string(x.head.Peek(RunHeader)) == string(yuccafault.NotRun)
}

func (x *exchange) onEnd(fn func(int64, error)) { x.end = fn }

// Read implements io.Reader on the body. A body that was cut short gives
// io.ErrUnexpectedEOF, never io.EOF.
func (x *exchange) Read(p []byte) (int, error) {
	if x.left == 0 {
		x.finish(nil)
		return 0, io.EOF
	}
	if x.left > 0 && int64(len(p)) > x.left {
		p = p[:x.left]
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	n, err := x.body.Read(p)
	x.count += int64(n)
	if x.left > 0 {
		x.left -= int64(n)
	}
	if err == io.EOF && x.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err == io.EOF || x.left == 0:
		x.finish(nil)
		return n, io.EOF
	case err != nil:
		x.finish(err)
	}
	return n, err
}

// Close ends the exchange; a body that was not read whole counts as broken.
func (x *exchange) Close() error {
	x.finish(io.ErrUnexpectedEOF)
	return nil
}

func (x *exchange) finish(err error) {
	if x.ended {
		return
	}
	x.ended = true
	if err == nil && !x.head.ConnectionClose() {
		x.keep()
	} else {
		_ = x.conn.Close()
	}
	if x.end != nil {
		x.end(x.count, err)
	}
}

// keep gives the connection back. A chunked body is followed by its trailer.
func (x *exchange) keep() {
	if x.head.ContentLength() == chunked && x.body != nil {
		if err := x.head.ReadTrailer(x.conn.r); err != nil && err != io.EOF {
			_ = x.conn.Close()
			return
		}
	}
	x.pool.put(x.conn)
}

// abandon closes the connection of a try that is of no use.
func (x *exchange) abandon() {
	x.ended = true
	_ = x.conn.Close()
}

// copyAnswer copies the head of the server's answer to the caller's.
func copyAnswer(to *fasthttp.Response, x *exchange) {
	closing := x.head.ConnectionClose()
	x.head.CopyTo(&to.Header)
	removeHopHeaders(&to.Header)
	if closing {
		to.Header.ResetConnectionClose()
	}
}
