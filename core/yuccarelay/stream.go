package yuccarelay

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
)

// responseStream is a response body on its way to the caller. It may be read
// from several servers, one after another.
type responseStream struct {
	task *task
	// exchange is the one that the body is being read from.
	exchange *exchange
	// first is the exchange whose response header the caller received.
	first *exchange
	// count is the number of body bytes read.
	count int64
	ended bool
	// replay collects the body for replays, nil if the request holds no claim.
	replay *replayBuffer
	// resumer continues the body from another server, nil if that is
	// impossible.
	resumer *resumer
}

// relayResponse sets the caller's response to that of the attempt that won.
func (t *task) relayResponse() {
	t.timeToHeader = time.Since(t.arrived)
	x := t.winner.exchange
	copyResponseHeader(&t.ctx.Response, x)
	if t.body.interrupted {
		t.ctx.SetConnectionClose()
	}
	s := &responseStream{task: t, exchange: x, first: x, resumer: newResumer(t, x)}
	if t.claim != nil {
		s.replay = &replayBuffer{}
	}
	switch {
	case x.hasNoBody(t.isHead):
		t.ctx.Response.SkipBody = true
		x.finish(nil)
		s.finish(nil)
		return
	case x.allReadAhead && t.claim == nil && !x.hasTrailers():
		t.ctx.Response.SetBodyRaw(x.readAhead)
		s.count = int64(len(x.readAhead))
		s.finish(nil)
		return
	}
	if !x.bodyArrived() {
		t.watchCaller()
	}
	t.ctx.Response.SetBodyStream(s, x.contentLength())
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete
// body.
func (s *responseStream) Read(p []byte) (int, error) {
	for {
		asked := time.Now()
		n, err := s.exchange.Read(p)
		s.count += int64(n)
		if s.replay != nil {
			s.replay.add(p[:n])
		}
		if err == io.EOF {
			s.finish(nil)
			return n, err
		}
		if err == nil && s.resumer.isTooSlow(n, time.Since(asked)) {
			err = errStalled
		}
		if err != nil && !s.continueBody(err) {
			s.finish(err)
			return n, err
		}
		if n > 0 {
			return n, nil
		}
	}
}

// continueBody reports whether the body can continue after an error. A server
// that is only slow or stalled is kept until another one continues the body.
func (s *responseStream) continueBody(err error) bool {
	waitForSlot := err != errStalled
	x := s.resumer.switchServer(s.count, waitForSlot)
	switch {
	case x != nil:
		_ = s.exchange.Close()
		s.exchange = x
	case waitForSlot:
		return false
	}
	return true
}

// Close ends the stream. A body that was not read to its end counts as broken.
func (s *responseStream) Close() error {
	s.finish(errAbandoned)
	return nil
}

// finish ends the request, once.
func (s *responseStream) finish(err error) {
	if s.ended {
		return
	}
	s.ended = true
	s.exchange.finish(err)
	t := s.task
	if err != nil {
		t.ctx.SetConnectionClose()
		f := ErrorResponse{Kind: s.errorKind(), RunStatus: yuccaerror.MayHaveRun}
		t.err = err
		t.observe(f, s.first.status(), s.count)
		t.end(nil)
		t.logFailure(f, s.first.status())
		return
	}
	copyTrailer(&t.ctx.Response.Header, &s.exchange.head)
	t.observe(ErrorResponse{}, s.first.status(), s.count)
	t.end(s.replayResponse())
}

// replayResponse returns the response to keep for replays, nil if none.
func (s *responseStream) replayResponse() *yuccaidempotency.Response {
	if s.replay == nil {
		return nil
	}
	return s.replay.response(&s.first.head)
}

// errorKind returns Canceled if the caller closed its connection, else ConnectionLost.
func (s *responseStream) errorKind() yuccaerror.Kind {
	select {
	case <-s.task.callerGone:
		return yuccaerror.Canceled
	default:
		return yuccaerror.ConnectionLost
	}
}

// copyResponseHeader copies the server's response header to the caller's
// response.
func copyResponseHeader(to *fasthttp.Response, x *exchange) {
	closing := x.head.ConnectionClose()
	x.head.CopyTo(&to.Header)
	removeHopHeaders(&to.Header)
	if closing {
		to.Header.ResetConnectionClose()
	}
	for name := range x.head.Trailers() {
		_ = to.Header.AddTrailerBytes(name)
	}
}

// copyTrailer copies the trailer fields, which follow the body.
func copyTrailer(to, from *fasthttp.ResponseHeader) {
	for name := range from.Trailers() {
		if v := from.PeekBytes(name); len(v) > 0 {
			to.SetBytesKV(name, v)
		}
	}
}
