package yuccarelay

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafault"
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
		return nil, yuccafault.New(yuccafault.Malformed, "request body: %w", err)
	}
	s.head = head
	if len(head) > maxReplay {
		s.rest = stream
	}
	return s, nil
}

// reader returns the body from its start.
func (s *source) reader() io.Reader {
	s.used = true
	if s.rest == nil {
		return bytes.NewReader(s.head)
	}
	return io.MultiReader(bytes.NewReader(s.head), s.rest)
}

// rewind reports whether the body can be sent once more.
func (s *source) rewind() bool { return s.rest == nil || !s.used }
