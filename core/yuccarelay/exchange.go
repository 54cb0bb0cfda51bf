package yuccarelay

import (
	"errors"
	"io"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// stallTimeout bounds the wait for the next byte to or from a server.
	stallTimeout = 30 * time.Second
	// maxInterim is how many 1xx heads may come before the final one.
	maxInterim = 8
	copySize   = 32 << 10
	// maxStray is how many answers are read to find the request's own, maxSkip
	// how many bytes the body of one that is not may have.
	maxStray = 3
	maxSkip  = 1 << 20
	// maxDecline is the longest body, in bytes, of an answer that declines which
	// is read to keep the connection.
	maxDecline = 4 << 10
	// keepMargin is how much sooner than its server a connection is given up.
	keepMargin = time.Second
)

// What fasthttp gives in place of a body's length.
const (
	chunked  = -1
	noLength = -2
)

var (
	errSwitch  = errors.New("server switched protocols unasked")
	errInterim = errors.New("too many interim answers")
	errStalled = errors.New("server is silent")
	errCaller  = errors.New("the caller's body ended early")
	errAnswer  = errors.New("answer is not the server's own to this request")
)

// exchange is one request and its answer on one connection. It is the reader of
// the answer's body.
type exchange struct {
	conn  *conn
	head  fasthttp.ResponseHeader
	body  io.Reader
	stall time.Duration
	// deadline is when the caller stops waiting; the zero time means never.
	deadline time.Time
	left     int64
	count    int64
	ended    bool
	// held is the part of the body that was read ahead, whole says that it is
	// all of it.
	held  []byte
	whole bool
	// end is called once, with the error that ended the exchange.
	end func(n int64, err error)
}

func newExchange(c *conn, end func(int64, error)) *exchange {
	return &exchange{conn: c, left: -1, stall: stallTimeout, end: end}
}

// send writes the request and reads the head of the answer.
func (x *exchange) send(t *task, h *fasthttp.RequestHeader) error {
	if err := x.write(t, h); err != nil {
		return err
	}
	x.deadline = t.deadline
	for range maxStray {
		if err := x.conn.SetReadDeadline(x.limit()); err != nil {
			return err
		}
		if err := x.readHead(); err != nil {
			return err
		}
		x.openBody(t.head)
		if t.relay.opt.Protocol.ClassifyResponse(t.id, &x.head) != Mismatched {
			return nil
		}
		if err := x.skip(); err != nil {
			return err
		}
	}
	return errAnswer
}

// skip reads past the body of an answer that belongs to another request, where
// its end can be told.
func (x *exchange) skip() error {
	if x.left < 0 && x.head.ContentLength() != chunked || x.left > maxSkip {
		return errAnswer
	}
	for x.left != 0 {
		var p [bufferSize]byte
		n, err := x.readBody(p[:])
		if x.count += int64(n); x.count > maxSkip {
			return errAnswer
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	x.count = 0
	return nil
}

// hold reads up to n bytes of the body ahead. The exchange ends when that is all
// of it.
func (x *exchange) hold(n int) error {
	if x.left == 0 || n == 0 || x.left > int64(n) {
		x.whole = x.left == 0 && n > 0
		if x.whole {
			x.finish(nil)
		}
		return nil
	}
	buffer := make([]byte, 0, min(n, max(int(x.left), bufferSize)))
	for len(buffer) < n {
		if len(buffer) == cap(buffer) {
			buffer = slices.Grow(buffer, min(n-len(buffer), len(buffer)))
		}
		got, err := x.readOn(buffer[len(buffer):min(n, cap(buffer))])
		buffer = buffer[:len(buffer)+got]
		if err == io.EOF {
			x.held, x.whole = buffer, true
			return nil
		}
		if err != nil {
			return err
		}
	}
	x.held = buffer
	return nil
}

// limit returns when a silent server is given up on.
func (x *exchange) limit() time.Time {
	end := time.Now().Add(x.stall)
	if !x.deadline.IsZero() && x.deadline.Before(end) {
		return x.deadline
	}
	return end
}

func (x *exchange) write(t *task, h *fasthttp.RequestHeader) error {
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
		n, err := copyBody(x.conn.w, s)
		if err == nil && s.length >= 0 && n != int64(s.length) {
			return errCaller
		}
		return err
	}
	w := httputil.NewChunkedWriter(x.conn.w)
	if _, err := copyBody(w, s); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(x.conn.w, "\r\n")
	return err
}

func copyBody(w io.Writer, s *source) (int64, error) {
	if s.rest == nil {
		n, err := w.Write(s.head)
		return int64(n), err
	}
	return io.CopyBuffer(struct{ io.Writer }{w}, s.reader(), make([]byte, copySize))
}

// readHead reads heads until one is final.
func (x *exchange) readHead() error {
	for range maxInterim {
		x.head.Reset()
		if err := checkHead(x.conn.r); err != nil {
			return err
		}
		if err := x.head.Read(x.conn.r); err != nil {
			return err
		}
		switch status := x.head.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errSwitch
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errInterim
}

func (x *exchange) openBody(head bool) {
	n := x.head.ContentLength()
	x.left = -1
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

// trailed reports whether fields may follow the body.
func (x *exchange) trailed() bool {
	for range x.head.Trailers() {
		return true
	}
	return false
}

func (x *exchange) status() int { return x.head.StatusCode() }

// arrived reports whether the whole body can be read without waiting.
func (x *exchange) arrived() bool {
	return x.left >= 0 && x.left <= int64(x.conn.r.Buffered())
}

// length returns the length of the body, -1 when it is not known.
func (x *exchange) length() int {
	return max(x.head.ContentLength(), chunked)
}

func (x *exchange) bodyless(head bool) bool {
	s := x.status()
	return head || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified
}

// Read implements io.Reader on the body. A body that was cut short gives
// io.ErrUnexpectedEOF, never io.EOF.
func (x *exchange) Read(p []byte) (int, error) {
	if len(x.held) > 0 {
		n := copy(p, x.held)
		x.held = x.held[n:]
		return n, nil
	}
	if x.whole {
		return 0, io.EOF
	}
	return x.readOn(p)
}

// readOn reads from the connection and ends the exchange with the body.
func (x *exchange) readOn(p []byte) (int, error) {
	n, err := x.readBody(p)
	x.count += int64(n)
	if x.stalled(err) {
		return n, errStalled
	}
	if err != nil {
		x.finish(unlessEnd(err))
	}
	return n, err
}

func (x *exchange) readBody(p []byte) (int, error) {
	if x.left == 0 {
		return 0, io.EOF
	}
	if x.left > 0 && int64(len(p)) > x.left {
		p = p[:x.left]
	}
	if err := x.conn.SetReadDeadline(x.limit()); err != nil {
		return 0, err
	}
	n, err := x.body.Read(p)
	if x.left > 0 {
		x.left -= int64(n)
	}
	return n, x.bodyError(err)
}

// stalled reports whether the server was silent for a shorter time than would
// end the exchange: the body may still go on.
func (x *exchange) stalled(err error) bool {
	late := !x.deadline.IsZero() && !time.Now().Before(x.deadline)
	return isTimeout(err) && x.stall < stallTimeout && !late
}

// bodyError turns the error of a read into io.EOF when the body is whole, and
// into io.ErrUnexpectedEOF when it was cut short.
func (x *exchange) bodyError(err error) error {
	switch {
	case x.left == 0:
		return io.EOF
	case err == io.EOF && x.left > 0:
		return io.ErrUnexpectedEOF
	case err == io.EOF && x.head.ContentLength() == chunked:
		return x.readTrailer()
	}
	return err
}

// readTrailer reads what follows the last chunk.
func (x *exchange) readTrailer() error {
	if err := x.head.ReadTrailer(x.conn.r); err != nil {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

func unlessEnd(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
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
	x.end(x.count, err)
}

// reusable reports whether the connection may carry another request.
func (x *exchange) reusable() bool { return !x.head.ConnectionClose() }

// keepAlive returns how long the server keeps the connection unused, less a
// margin for a request on its way.
func (x *exchange) keepAlive() time.Duration {
	for _, part := range strings.Split(string(x.head.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-keepMargin)
		}
	}
	return maxIdleAge
}
