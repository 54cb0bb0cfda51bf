package yuccarelay

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
)

// maxBufferedBodyBytes is the largest request body that is kept in memory so
// that it can be sent again.
const maxBufferedBodyBytes = 64 << 10

// requestBody is the body of a caller's request. A body that is in memory can
// be read several times.
type requestBody struct {
	// buffered is the start of the body, or all of it.
	buffered []byte
	// rest reads what follows buffered, nil if nothing does.
	rest *endingBody
	// length is the content length as fasthttp reports it.
	length int
	// started is set when reading the body has started.
	started bool
	// interrupted is set when reading the body was ended before its end.
	interrupted bool
}

// MayHaveUnreadBody reports whether a part of the body may still be on its way from the
// caller, so that the connection can carry no further request after a response of the relay.
// A body of the length zero is a stream too, but nothing of it is unread.
func MayHaveUnreadBody(r *fasthttp.Request) bool {
	return r.IsBodyStream() && r.Header.ContentLength() != 0
}

// newRequestBody reads the body up to maxBufferedBodyBytes.
func newRequestBody(ctx *fasthttp.RequestCtx) (*requestBody, error) {
	s := &requestBody{length: ctx.Request.Header.ContentLength()}
	if !ctx.Request.IsBodyStream() {
		s.buffered = ctx.Request.Body()
		return s, nil
	}
	stream := ctx.RequestBodyStream()
	head, err := io.ReadAll(io.LimitReader(stream, maxBufferedBodyBytes+1))
	if err != nil {
		return nil, yuccaerror.New(yuccaerror.Malformed, "reading the request body failed: %w", err)
	}
	if len(head) <= maxBufferedBodyBytes && s.length > len(head) {
		return nil, yuccaerror.New(yuccaerror.Malformed, "request body ends after %d of %d bytes", len(head), s.length)
	}
	s.buffered = head
	if len(head) > maxBufferedBodyBytes {
		s.rest = &endingBody{Reader: stream, left: max(s.length-len(head), chunkedLength)}
	}
	return s, nil
}

// reader returns the body from its start. A body that is not in memory can be
// read once only.
func (s *requestBody) reader() io.Reader {
	s.started = true
	return io.MultiReader(bytes.NewReader(s.buffered), callerReader{s.rest})
}

func (s *requestBody) inMemory() bool { return s.rest == nil }

func (s *requestBody) isEmpty() bool { return s.inMemory() && len(s.buffered) == 0 }

// canResend reports whether the body can be sent from its start.
func (s *requestBody) canResend() bool { return s.inMemory() || !s.started }

// callerReader replaces errors of reading from the caller by errCallerBody, to
// distinguish them from errors of the server.
type callerReader struct{ *endingBody }

// Read implements io.Reader.
func (b callerReader) Read(p []byte) (int, error) {
	n, err := b.endingBody.Read(p)
	if err != nil && err != io.EOF && err != errBodyTooLate {
		err = errCallerBody
	}
	return n, err
}
