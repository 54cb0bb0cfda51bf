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

// chunkSize is the maximum number of bytes of one read.
const chunkSize = 16 << 10

// FileByte returns the byte at an offset of the file that a Server serves under a
// name, so that a test can check a download.
func FileByte(name string, offset int64) byte {
	return byte(xxhash.Sum64String(name)>>(8*(offset%8))) ^ byte(offset>>3)
}

// serveFile answers with a file that is the same on every server. It honours an
// open-ended Range (bytes=N-) and If-Range.
func (s *Server) serveFile(ctx *fasthttp.RequestCtx, behaviour Behaviour, name string) {
	total := int64(bodySize(ctx))
	tag := fmt.Sprintf(`"%x-%d"`, xxhash.Sum64String(name), total)
	start := int64(0)
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	ctx.Response.Header.Set(fasthttp.HeaderAcceptRanges, "bytes")
	ifRange := string(ctx.Request.Header.Peek(fasthttp.HeaderIfRange))
	if first, ok := rangeStart(string(ctx.Request.Header.Peek(fasthttp.HeaderRange)), total); ok && (ifRange == "" || ifRange == tag) {
		start = first
		ctx.SetStatusCode(fasthttp.StatusPartialContent)
		ctx.Response.Header.Set(fasthttp.HeaderContentRange, fmt.Sprintf("bytes %d-%d/%d", start, total-1, total))
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBodyStream(&fileBody{server: s, name: name, offset: start, end: total, start: start, behaviour: behaviour}, int(total-start))
}

// rangeStart returns the first offset of an open-ended byte range, and whether
// the range is valid for a file of total bytes.
func rangeStart(text string, total int64) (int64, bool) {
	text, ok := strings.CutPrefix(text, "bytes=")
	if !ok || !strings.HasSuffix(text, "-") {
		return 0, false
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(text, "-"), 10, 64)
	return n, err == nil && n >= 0 && n < total
}

// fileBody is the body of a file response.
type fileBody struct {
	server *Server
	name   string
	// start is the offset of the first byte of the response.
	start int64
	// offset is the offset of the next byte to send.
	offset int64
	// end is the size of the file.
	end       int64
	behaviour Behaviour
}

// Read returns the next bytes of the file. Under CutBody or StallBody it fails or blocks
// once more than half of the response has been read.
func (b *fileBody) Read(p []byte) (int, error) {
	if b.offset >= b.end {
		return 0, io.EOF
	}
	if b.behaviour.CutBody && b.offset-b.start > (b.end-b.start)/2 {
		return 0, io.ErrUnexpectedEOF
	}
	if b.behaviour.StallBody && b.offset-b.start > (b.end-b.start)/2 {
		<-b.server.closed
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), chunkSize, int(b.end-b.offset))
	if b.behaviour.Rate > 0 {
		time.Sleep(time.Duration(float64(n) / float64(b.behaviour.Rate) * float64(time.Second)))
	}
	for i := range n {
		p[i] = FileByte(b.name, b.offset+int64(i))
	}
	b.offset += int64(n)
	return n, nil
}
