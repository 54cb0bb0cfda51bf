package yuccarelay

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
)

// maxReplay is the largest request body, in bytes, that is kept so that it can
// be sent again.
const maxReplay = 64 << 10

// source is a caller's request body. A short one can be read again.
type source struct {
	head   []byte
	rest   io.Reader
	length int
	used   bool
}

func newSource(ctx *fasthttp.RequestCtx) (*source, error) {
	s := &source{length: ctx.Request.Header.ContentLength()}
	if !ctx.Request.IsBodyStream() {
		s.head = ctx.Request.Body()
		return s, nil
	}
	stream := ctx.RequestBodyStream()
	head, err := io.ReadAll(io.LimitReader(stream, maxReplay+1))
	if err != nil {
		return nil, yuccaerror.New(yuccaerror.Malformed, "request body: %w", err)
	}
	if len(head) <= maxReplay && s.length > len(head) {
		return nil, yuccaerror.New(yuccaerror.Malformed, "request body ends after %d of %d bytes", len(head), s.length)
	}
	s.head = head
	if len(head) > maxReplay {
		s.rest = stream
	}
	return s, nil
}

// reader returns the body from its start, once when it is not whole in memory.
func (s *source) reader() io.Reader {
	s.used = true
	return io.MultiReader(bytes.NewReader(s.head), &callerBody{s.rest})
}

// whole reports whether the body is in memory.
func (s *source) whole() bool { return s.rest == nil }

// rewind reports whether the body can be sent once more.
func (s *source) rewind() bool { return s.whole() || !s.used }

// callerBody tells failures of the caller's body from those of the server.
type callerBody struct{ io.Reader }

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		err = errCaller
	}
	return n, err
}
