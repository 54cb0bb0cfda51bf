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
	// inBody means that they belong to a body of known length.
	inBody
	// inChunks means that they belong to a chunked body.
	inChunks
	// unframed means that it is unknown where the next request starts. It lasts until
	// the server waits for that request.
	unframed
)

// framer splits the bytes of a connection, so that the server never gets bytes beyond
// the request that it is reading. The server would hold back its response for the request
// behind it otherwise, and lose it if the next response breaks off.
type framer struct {
	mode frameMode
	// lineEnd is what the bytes so far of the head end with.
	lineEnd lineEnd
	// begun is set when a byte of the head has been passed on that is not part of an empty
	// line before it.
	begun bool
	// head holds the bytes so far of a head that arrives in parts.
	head []byte
	// length is the length of the body of the latest head, chunkedLength if it is chunked.
	length int
	// left is the number of body bytes that follow in mode inBody.
	left int
	// chunks finds the end of the body in mode inChunks.
	chunks chunkScanner
}

// take returns how many of the next bytes may be passed on, at least one, and whether
// they complete the head of a request.
func (f *framer) take(p []byte) (n int, headEnded bool) {
	switch f.mode {
	case inHead:
		return f.takeHead(p)
	case inBody:
		n = min(f.left, len(p))
		if f.left -= n; f.left == 0 {
			f.startHead()
		}
		return n, false
	case inChunks:
		n, ended, valid := f.chunks.scan(p)
		switch {
		case !valid:
			f.mode = unframed
			return len(p), false
		case ended:
			f.startHead()
		}
		return n, false
	}
	return len(p), false
}

// takeHead is take for the bytes of a head.
func (f *framer) takeHead(p []byte) (n int, ended bool) {
	if !f.begun {
		n = len(p) - len(bytes.TrimLeft(p, "\r\n"))
		f.begun = n < len(p)
		if !f.begun {
			return n, false
		}
	}
	scanned, ended := f.lineEnd.scan(p[n:])
	end := n + scanned
	if !ended && len(f.head)+scanned <= maxHeadBytes {
		f.head = append(f.head, p[n:end]...)
	}
	if !ended {
		return end, false
	}
	head := p[n:end]
	if len(f.head) > 0 {
		head = append(f.head, head...)
	}
	f.startBody(bodyLength(head))
	return end, true
}

// startBody notes the length of the body that follows.
func (f *framer) startBody(length int, known bool) {
	f.startHead()
	f.length = length
	switch {
	case !known:
		f.mode = unframed
	case length == chunkedLength:
		f.mode, f.chunks = inChunks, chunkScanner{}
	case length > 0:
		f.mode, f.left = inBody, length
	}
}

// requestRead notes the content length of the request that the server has read, as
// fasthttp reports it: negative if unknown or if there is no body. The framer gives up if
// the server has read the head in another way.
func (f *framer) requestRead(length int) {
	if length < chunkedLength {
		length = 0
	}
	if length != f.length {
		f.mode = unframed
	}
}

func (f *framer) startHead() {
	f.mode, f.lineEnd, f.begun, f.head = inHead, noLineEnd, false, nil
}

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
