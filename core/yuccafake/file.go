package yuccafake

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

const chunk = 16 << 10

// FileByte returns the byte of a file at an offset, so that a reader can check
// what it got.
func FileByte(name string, offset int64) byte {
	return byte(xxhash.Sum64String(name)>>(8*(offset%8))) ^ byte(offset>>3)
}

// file answers with a body that is the same on every server.
func (s *Server) file(ctx *fasthttp.RequestCtx, act Behaviour, name string) {
	total := int64(size(ctx))
	tag := fmt.Sprintf(`"%x-%d"`, xxhash.Sum64String(name), total)
	start := int64(0)
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	ctx.Response.Header.Set(fasthttp.HeaderAcceptRanges, "bytes")
	ifRange := string(ctx.Request.Header.Peek(fasthttp.HeaderIfRange))
	if from, ok := rangeStart(string(ctx.Request.Header.Peek(fasthttp.HeaderRange)), total); ok && (ifRange == "" || ifRange == tag) {
		start = from
		ctx.SetStatusCode(fasthttp.StatusPartialContent)
		ctx.Response.Header.Set(fasthttp.HeaderContentRange, fmt.Sprintf("bytes %d-%d/%d", start, total-1, total))
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBodyStream(&fileBody{server: s, name: name, at: start, end: total, start: start, act: act}, int(total-start))
}

func rangeStart(text string, total int64) (int64, bool) {
	text, ok := strings.CutPrefix(text, "bytes=")
	if !ok || !strings.HasSuffix(text, "-") {
		return 0, false
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(text, "-"), 10, 64)
	return n, err == nil && n >= 0 && n < total
}

type fileBody struct {
	server         *Server
	name           string
	start, at, end int64
	act            Behaviour
}

func (b *fileBody) Read(p []byte) (int, error) {
	if b.at >= b.end {
		return 0, io.EOF
	}
	if b.act.Cut && b.at-b.start > (b.end-b.start)/2 {
		return 0, io.ErrUnexpectedEOF
	}
	if b.act.Silent && b.at-b.start > (b.end-b.start)/2 {
		<-b.server.closed
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), chunk, int(b.end-b.at))
	if b.act.Rate > 0 {
		time.Sleep(time.Duration(float64(n) / float64(b.act.Rate) * float64(time.Second)))
	}
	for i := range n {
		p[i] = FileByte(b.name, b.at+int64(i))
	}
	b.at += int64(n)
	return n, nil
}
