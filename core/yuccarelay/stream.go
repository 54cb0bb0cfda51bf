package yuccarelay

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaidempotency"
)

// stream is the body of an answer on its way to the caller.
type stream struct {
	task   *task
	x      *exchange
	first  *exchange
	count  int64
	ended  bool
	held   *holding
	resume *resume
}

// pass hands the answer to the caller.
func (t *task) pass() {
	t.took = time.Since(t.arrived)
	x := t.winner.exchange
	copyAnswer(&t.ctx.Response, x)
	s := &stream{task: t, x: x, first: x, resume: newResume(t, x)}
	if t.claim != nil {
		s.held = &holding{}
	}
	switch {
	case x.bodyless(t.head):
		t.ctx.Response.SkipBody = true
		x.finish(nil)
		s.finish(nil)
		return
	case x.whole && t.claim == nil && !x.trailed():
		t.ctx.Response.SetBodyRaw(x.held)
		s.count = int64(len(x.held))
		s.finish(nil)
		return
	}
	if !x.arrived() {
		t.watchCaller()
	}
	t.ctx.Response.SetBodyStream(s, x.length())
}

// Read implements io.Reader. It gives io.EOF only at the end of a whole body.
func (s *stream) Read(p []byte) (int, error) {
	for {
		asked := time.Now()
		n, err := s.x.Read(p)
		s.count += int64(n)
		if s.held != nil {
			s.held.add(p[:n])
		}
		if err == io.EOF {
			s.finish(nil)
			return n, err
		}
		if err == nil && s.resume.slow(n, time.Since(asked)) {
			err = errStalled
		}
		if err != nil && !s.carryOn(err) {
			s.finish(err)
			return n, err
		}
		if n > 0 {
			return n, nil
		}
	}
}

// carryOn reports whether the body goes on. A server that is only slow or silent
// is kept until another has taken over.
func (s *stream) carryOn(err error) bool {
	waits := err != errStalled
	x := s.resume.next(s.count, waits)
	switch {
	case x != nil:
		_ = s.x.Close()
		s.x = x
	case waits:
		return false
	case s.resume.spent():
		s.x.stall = stallTimeout
	}
	return true
}

// Close ends the stream; a body that was not read whole counts as broken.
func (s *stream) Close() error {
	s.finish(io.ErrUnexpectedEOF)
	return nil
}

func (s *stream) finish(err error) {
	if s.ended {
		return
	}
	s.ended = true
	s.x.finish(err)
	t := s.task
	if err != nil {
		t.ctx.SetConnectionClose()
		f := ErrorResponse{Kind: s.kind(), Ran: yuccaerror.MayHaveRun}
		t.err = err
		t.observe(f, s.first.status(), s.count)
		t.end(nil)
		t.report(f, s.first.status())
		return
	}
	copyTrailer(&t.ctx.Response.Header, &s.x.head)
	t.observe(ErrorResponse{}, s.first.status(), s.count)
	t.end(s.answer())
}

func (s *stream) answer() *yuccaidempotency.Response {
	if s.held == nil {
		return nil
	}
	return s.held.answer(&s.first.head)
}

// kind tells a caller that hung up from a server that broke.
func (s *stream) kind() yuccaerror.Kind {
	select {
	case <-s.task.gone:
		return yuccaerror.Canceled
	default:
		return yuccaerror.Broken
	}
}

// copyAnswer copies the head of the server's answer to the caller's.
func copyAnswer(to *fasthttp.Response, x *exchange) {
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

// copyTrailer copies the fields that came after the body.
func copyTrailer(to, from *fasthttp.ResponseHeader) {
	for name := range from.Trailers() {
		if v := from.PeekBytes(name); len(v) > 0 {
			to.SetBytesKV(name, v)
		}
	}
}
