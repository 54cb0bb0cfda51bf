package yuccarelay

import (
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccahead"
)

const (
	// stallTimeout bounds the wait for the next byte to or from a server.
	stallTimeout = 30 * time.Second
	// silenceDelay is how long a server may take for the first byte of a response before
	// the path is told. It is longer than most requests take, and leaves time to find
	// another way within the few seconds that callers wait.
	silenceDelay = 500 * time.Millisecond
	// silenceInterval is the time between two further reports of the same silence.
	silenceInterval = 250 * time.Millisecond
	// maxInterimResponses is the number of 1xx responses that may precede the
	// final one.
	maxInterimResponses = 8
	// copyBufferBytes is the size of the buffer through which a request body is
	// streamed to a server.
	copyBufferBytes = 32 << 10
	// maxResponsesRead is the number of responses that are read to find the one
	// that belongs to the request.
	maxResponsesRead = 3
	// keepAliveMargin is how much earlier than the server the relay closes an
	// idle connection, so that the server does not close it while a request is
	// on its way.
	keepAliveMargin = time.Second
)

var (
	errProtocolSwitch = errors.New("server switched protocols although the request did not ask for it")
	errTooManyInterim = errors.New("server sent too many 1xx responses")
	errStalled        = errors.New("server sends no data or is too slow")
	errCallerBody     = errors.New("request body from the caller is incomplete")
	errWrongResponse  = errors.New("response is invalid or belongs to another request")
	errUnnamed        = errors.New("response does not say which request it belongs to")
	errAbandoned      = errors.New("response is not read to its end")
	errLinkLost       = errors.New("no response, and the link to the servers delivers no data")
)

// exchange is one request and its response on one connection. It is the reader
// of the response body.
type exchange struct {
	conn *conn
	// head is the response header.
	head fasthttp.ResponseHeader
	// body reads the decoded body from the connection.
	body io.Reader
	// readTimeout bounds the wait for the next byte of the response.
	readTimeout time.Duration
	// deadline is when the caller stops waiting; the zero time means never.
	deadline time.Time
	// answerBy is when the server must have answered since the entry exits, nil if it does
	// not. It is set when a body ends that is not kept in memory.
	answerBy atomic.Pointer[time.Time]
	// unusedUntil is when a body that the caller does not get must have ended; the zero
	// time means that the caller gets it.
	unusedUntil time.Time
	// bodyLeft is the number of body bytes still to be read from the
	// connection, -1 if unknown.
	bodyLeft int64
	// bodyRead is the number of body bytes read from the connection.
	bodyRead int64
	// stalledFor is the time spent waiting for the next byte of the body in reads that
	// timed out.
	stalledFor time.Duration
	// writing is set while the request is written beside the wait for the response.
	writing atomic.Bool
	// unfinished is set if the server responded before it had the whole request.
	unfinished bool
	// ended is set when onEnd has been called.
	ended bool
	// readAhead is the part of the body that bufferBody has read and Read has
	// not yet returned.
	readAhead []byte
	// allReadAhead is set if bufferBody has read the body to its end.
	allReadAhead bool
	// onEnd is called once, with the length of the body and the error that
	// ended the exchange, nil if the body is complete.
	onEnd func(n int64, err error)
	// onSilent is called while the server sends no byte of a response. It reports
	// whether the exchange is to be given up.
	onSilent func() bool
}

func newExchange(c *conn, end func(int64, error), silent func() bool) *exchange {
	return &exchange{conn: c, bodyLeft: -1, readTimeout: stallTimeout, onEnd: end, onSilent: silent}
}

// send writes the request and reads the response header. It skips responses
// that belong to other requests, and those that do not say which they belong to unless
// another server may run the request too.
func (x *exchange) send(t *task, h *fasthttp.RequestHeader) error {
	x.deadline = t.deadline
	if t.body.isLong() {
		return x.sendLong(t, h)
	}
	if err := x.writeRequest(t, h); err != nil {
		return err
	}
	return x.readResponse(t)
}

// readResponse reads the response header.
func (x *exchange) readResponse(t *task) error {
	for range maxResponsesRead {
		if err := x.awaitResponse(); err != nil {
			return err
		}
		if err := x.readHead(); err != nil {
			return err
		}
		x.openBody(t.isHead)
		switch t.relay.opt.Protocol.ClassifyResponse(t.id, &x.head) {
		case Mismatched:
		case Unnamed:
			t.relay.unnamed.Add(1)
			if t.body.inMemory() && t.mayRepeat() {
				return errUnnamed
			}
		default:
			return nil
		}
		if t.isHead && x.announcesBody() {
			return errWrongResponse
		}
		if err := x.skipBody(); err != nil {
			return err
		}
	}
	return errWrongResponse
}

// announcesBody reports whether a body follows the header unless it responds to a HEAD
// request. A mismatched response may belong to a request of another method.
func (x *exchange) announcesBody() bool {
	return !x.hasNoBody(false) && x.head.ContentLength() != 0
}

// awaitResponse waits for the first byte of a response and sets the deadline for reading
// its header. A server need not respond before it has the whole request.
func (x *exchange) awaitResponse() error {
	end := x.readDeadline()
	for wait := silenceDelay; x.conn.r.Buffered() == 0; wait = silenceInterval {
		writing := x.writing.Load()
		if writing {
			end = x.readDeadline()
		}
		end = x.beforeExit(end)
		next := time.Now().Add(wait)
		if !next.Before(end) {
			break
		}
		if err := x.conn.SetReadDeadline(next); err != nil {
			return err
		}
		if _, err := x.conn.r.Peek(1); err != nil && !isTimeout(err) {
			return err
		} else if err != nil && !writing && x.onSilent() {
			return errLinkLost
		}
	}
	return x.conn.SetReadDeadline(end)
}

// readDeadline returns when the next read from the server times out.
func (x *exchange) readDeadline() time.Time {
	end := time.Now().Add(x.readTimeout)
	for _, limit := range [...]time.Time{x.deadline, x.unusedUntil} {
		if !limit.IsZero() && limit.Before(end) {
			end = limit
		}
	}
	return x.beforeExit(end)
}

// beforeExit returns the earlier of a time and answerBy.
func (x *exchange) beforeExit(end time.Time) time.Time {
	if by := x.answerBy.Load(); by != nil && by.Before(end) {
		return *by
	}
	return end
}

func (x *exchange) writeRequest(t *task, h *fasthttp.RequestHeader) error {
	if err := h.Write(x.conn.w); err != nil {
		return err
	}
	if err := x.writeBody(t.body); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

func (x *exchange) writeBody(s *requestBody) error {
	if s.length != chunkedLength {
		n, err := copyBody(x.conn.w, s)
		if err == nil && s.length >= 0 && n != int64(s.length) {
			return errCallerBody
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

func copyBody(w io.Writer, s *requestBody) (int64, error) {
	if s.rest == nil {
		n, err := w.Write(s.buffered)
		return int64(n), err
	}
	return io.CopyBuffer(struct{ io.Writer }{w}, s.reader(), make([]byte, copyBufferBytes))
}

// readHead reads response headers up to the first final one.
func (x *exchange) readHead() error {
	for range maxInterimResponses {
		x.head.Reset()
		if err := yuccahead.PeekResponse(x.conn.r); err != nil {
			return err
		}
		if err := x.head.Read(x.conn.r); err != nil {
			return err
		}
		switch status := x.head.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errProtocolSwitch
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errTooManyInterim
}

func (x *exchange) status() int { return x.head.StatusCode() }

// Close ends the exchange. A body that was not read to its end counts as
// broken.
func (x *exchange) Close() error {
	x.finish(errAbandoned)
	return nil
}

// finish calls onEnd, once.
func (x *exchange) finish(err error) {
	if x.ended {
		return
	}
	x.ended = true
	x.onEnd(x.bodyRead, err)
}

// reusable reports whether the connection may carry another request.
func (x *exchange) reusable() bool { return !x.unfinished && !x.head.ConnectionClose() }

// keepAlive returns how long the server keeps an idle connection open, less
// keepAliveMargin, and maxIdleTime if the server doesn't say.
func (x *exchange) keepAlive() time.Duration {
	for _, part := range strings.Split(string(x.head.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return maxIdleTime
}
