package yuccapipeline

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"
)

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

// frameMode says what the next bytes of a connection belong to.
type frameMode uint8

const (
	// inHead means that they belong to the head of a request.
	inHead frameMode = iota
	// afterHead means that the last byte of a head has been passed on, and that the
	// server has not said yet whether a body follows.
	afterHead
	// inBody means that they belong to a body of known length.
	inBody
	// unframed means that it is unknown where the next request starts. It lasts until
	// the server waits for that request.
	unframed
)

// framer splits the bytes of a connection, so that the server never gets bytes beyond
// the request that it is reading.
type framer struct {
	mode frameMode
	// lineEnd is what the bytes so far of the head end with.
	lineEnd lineEnd
	// left is the number of body bytes that follow in mode inBody, and the number that
	// have been passed on in mode afterHead.
	left int
}

// take returns how many of the next bytes may be passed on, at least one, and whether
// they complete the head of a request.
func (f *framer) take(p []byte) (n int, headEnded bool) {
	switch f.mode {
	case inHead:
		n, headEnded = f.lineEnd.scan(p)
		if headEnded {
			f.mode, f.left = afterHead, 0
		}
		return n, headEnded
	case afterHead:
		f.left += len(p)
	case inBody:
		n = min(f.left, len(p))
		if f.left -= n; f.left == 0 {
			f.startHead()
		}
		return n, false
	}
	return len(p), false
}

// requestRead notes the content length of the request that the server has read, as
// fasthttp reports it: negative if unknown or if there is no body.
func (f *framer) requestRead(length int) {
	if f.mode != afterHead {
		// The server found the end of the head elsewhere.
		f.mode = unframed
		return
	}
	if length == chunkedLength || f.left > max(0, length) {
		f.mode = unframed
		return
	}
	length = max(0, length)
	if f.mode, f.left = inBody, length-f.left; f.left == 0 {
		f.startHead()
	}
}

func (f *framer) startHead() { f.mode, f.lineEnd = inHead, noLineEnd }

// lineEnd is what the scanned bytes of a head end with.
type lineEnd uint8

const (
	noLineEnd lineEnd = iota
	// newLine is LF.
	newLine
	// newLineReturn is LF and CR.
	newLineReturn
)

// scan returns the number of bytes up to and including the first empty line, or all if
// there is none, and whether there is one. Lines may end without CR, since fasthttp
// accepts that.
func (e *lineEnd) scan(p []byte) (n int, found bool) {
	for n < len(p) {
		if *e == noLineEnd {
			i := bytes.IndexByte(p[n:], '\n')
			if i < 0 {
				return len(p), false
			}
			n += i + 1
			*e = newLine
			continue
		}
		b := p[n]
		n++
		switch {
		case b == '\n':
			*e = noLineEnd
			return n, true
		case b == '\r' && *e == newLine:
			*e = newLineReturn
		default:
			*e = noLineEnd
		}
	}
	return n, false
}

// parseHead parses the head of a request that may run ahead. It reports false if the
// request is malformed, has a body or expects an answer before it sends one.
func parseHead(head []byte, h *fasthttp.RequestHeader) bool {
	r := bufio.NewReaderSize(bytes.NewReader(head), len(head))
	if err := h.Read(r); err != nil || r.Buffered() > 0 {
		return false
	}
	return h.IsHTTP11() &&
		h.ContentLength() <= 0 &&
		len(h.Peek(fasthttp.HeaderTransferEncoding)) == 0 &&
		len(h.Peek(fasthttp.HeaderExpect)) == 0 &&
		len(h.Peek(fasthttp.HeaderUpgrade)) == 0
}
