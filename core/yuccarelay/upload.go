package yuccarelay

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
)

const (
	// longBodyBytes is the length above which a request body may not fit the buffers on
	// its way to a server that does not read it.
	longBodyBytes = 16 << 10
	// writeEndDelay is how long the end of the writing may show later than the response
	// to the whole request.
	writeEndDelay = 10 * time.Millisecond
)

// errWriteStopped is the cause of a write to a server that has already responded.
var errWriteStopped = errors.New("server has responded before it had the whole request")

// isLong reports whether a server may respond before the body is written.
func (s *requestBody) isLong() bool { return !s.inMemory() || len(s.buffered) > longBodyBytes }

// sendLong writes a request with a long body and reads the response header at the same
// time: a server may respond before it has read the body, and read on much later. The rest
// of the body is then not written, and the response goes to the caller.
func (x *exchange) sendLong(t *task, h *fasthttp.RequestHeader) error {
	x.writing.Store(true)
	if !t.body.inMemory() {
		t.body.rest.onEnd = func() error {
			answerBy, err := t.checkEnd(time.Now())
			if !answerBy.IsZero() {
				x.answerBy.Store(&answerBy)
			}
			return err
		}
	}
	written := make(chan struct{})
	group := &errgroup.Group{}
	group.Go(func() (err error) {
		defer close(written)
		defer x.writing.Store(false)
		defer yuccaerror.Recover(&err)
		err = x.writeRequest(t, h)
		if (errors.Is(err, errCallerBody) || errors.Is(err, errBodyTooLate)) && !x.conn.writeStopped.Load() {
			// Nothing can come of it: end the wait for the response.
			_ = x.conn.Close()
		}
		return err
	})
	err := x.readResponse(t)
	x.endWriting(t, written, err == nil)
	writeErr := group.Wait()
	x.unfinished = writeErr != nil
	// Why the caller's body ended early matters more than what the server made of it.
	if err != nil && errors.Is(writeErr, errCallerBody) && !t.body.interrupted {
		return errCallerBody
	}
	if err != nil && errors.Is(writeErr, errBodyTooLate) {
		return errBodyTooLate
	}
	return err
}

// endWriting ends the writing of the request unless it is complete.
func (x *exchange) endWriting(t *task, written <-chan struct{}, responded bool) {
	select {
	case <-written:
		return
	case <-time.After(writeEndDelay):
	}
	if !responded {
		_ = x.conn.Close()
	}
	x.conn.stopWriting()
	if !t.body.inMemory() {
		t.interruptBody()
	}
}

// interruptBody ends a read of the body from the caller. The rest of the body stays unread,
// so that the connection can carry no further request.
func (t *task) interruptBody() {
	t.body.interrupted = true
	_ = t.ctx.Conn().SetReadDeadline(time.Unix(1, 0))
}
