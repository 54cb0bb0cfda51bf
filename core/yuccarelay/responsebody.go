package yuccarelay

import (
	"io"
	"net/http/httputil"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccahead"
)

const (
	// maxSkippedBodyBytes is the longest body of a mismatched response that is
	// skipped.
	maxSkippedBodyBytes = 1 << 20
	// maxDeclineBodyBytes is the longest body of a declining response that is
	// read to keep the connection.
	maxDeclineBodyBytes = 4 << 10
	// unusedBodyTimeout bounds the reading of a body that the caller does not get: the
	// request waits for it. A server that sends it byte by byte would hold the request
	// for as long as it likes.
	unusedBodyTimeout = 250 * time.Millisecond
)

// The values below zero of fasthttp's content length.
const (
	// chunkedLength means that the body is chunked.
	chunkedLength = -1
	// identityLength means that the length is unknown and the body is not
	// chunked.
	identityLength = -2
)

// skipBody reads the body of a response that belongs to another request. It
// fails if the body has no known end, is too long or takes longer than
// unusedBodyTimeout.
func (x *exchange) skipBody() error {
	if x.bodyLeft < 0 && x.head.ContentLength() != chunkedLength || x.bodyLeft > maxSkippedBodyBytes {
		return errWrongResponse
	}
	x.unusedUntil = time.Now().Add(unusedBodyTimeout)
	for x.bodyLeft != 0 {
		var p [connBufferBytes]byte
		n, err := x.readBody(p[:])
		if x.bodyRead += int64(n); x.bodyRead > maxSkippedBodyBytes {
			return errWrongResponse
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	x.bodyRead, x.unusedUntil = 0, time.Time{}
	return nil
}

// bufferUnused reads up to n bytes of a body that the caller does not get, within
// unusedBodyTimeout.
func (x *exchange) bufferUnused(n int) error {
	x.unusedUntil = time.Now().Add(unusedBodyTimeout)
	return x.bufferBody(n)
}

// bufferBody reads up to n bytes of the body in advance, unless the body is
// known to be longer. The exchange ends if this reaches the end of the body.
func (x *exchange) bufferBody(n int) error {
	if x.bodyLeft == 0 || n == 0 || x.bodyLeft > int64(n) {
		x.allReadAhead = x.bodyLeft == 0 && n > 0
		if x.allReadAhead {
			x.finish(nil)
		}
		return nil
	}
	buffer := make([]byte, 0, min(n, max(int(x.bodyLeft), connBufferBytes)))
	for len(buffer) < n {
		if len(buffer) == cap(buffer) {
			buffer = slices.Grow(buffer, min(n-len(buffer), len(buffer)))
		}
		got, err := x.readConn(buffer[len(buffer):min(n, cap(buffer))])
		buffer = buffer[:len(buffer)+got]
		if err == io.EOF {
			x.readAhead, x.allReadAhead = buffer, true
			return nil
		}
		if err != nil {
			return err
		}
	}
	x.readAhead = buffer
	return nil
}

// openBody sets up the reading of the body. The response to a HEAD request has
// none.
func (x *exchange) openBody(isHead bool) {
	n := x.head.ContentLength()
	x.bodyLeft = -1
	switch {
	case x.hasNoBody(isHead):
		x.bodyLeft = 0
	case n >= 0:
		x.bodyLeft = int64(n)
		x.body = x.conn.r
	case n == chunkedLength:
		x.body = httputil.NewChunkedReader(x.conn.r)
	default:
		x.body = x.conn.r
		x.head.SetConnectionClose()
	}
}

// hasTrailers reports whether trailer fields may follow the body.
func (x *exchange) hasTrailers() bool {
	for range x.head.Trailers() {
		return true
	}
	return false
}

// bodyArrived reports whether the rest of the body can be read without waiting.
func (x *exchange) bodyArrived() bool {
	return x.bodyLeft >= 0 && x.bodyLeft <= int64(x.conn.r.Buffered())
}

// contentLength returns the length of the body, -1 if unknown.
func (x *exchange) contentLength() int {
	return max(x.head.ContentLength(), chunkedLength)
}

func (x *exchange) hasNoBody(isHead bool) bool {
	s := x.status()
	return isHead || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified
}

// Read implements io.Reader on the body. For a truncated body it returns
// io.ErrUnexpectedEOF, never io.EOF.
func (x *exchange) Read(p []byte) (int, error) {
	if len(x.readAhead) > 0 {
		n := copy(p, x.readAhead)
		x.readAhead = x.readAhead[n:]
		return n, nil
	}
	if x.allReadAhead {
		return 0, io.EOF
	}
	return x.readConn(p)
}

// readConn reads the body from the connection and ends the exchange on its end
// or an error. It returns errStalled if the body may still continue.
func (x *exchange) readConn(p []byte) (int, error) {
	n, err := x.readBody(p)
	x.bodyRead += int64(n)
	if n > 0 {
		x.stalledFor = 0
	}
	if x.isStall(err) {
		x.stalledFor += x.readTimeout
		return n, errStalled
	}
	if err != nil {
		x.finish(nilIfEOF(err))
	}
	return n, err
}

// readBody reads the body from the connection within the read deadline.
func (x *exchange) readBody(p []byte) (int, error) {
	if x.bodyLeft == 0 {
		return 0, io.EOF
	}
	if x.bodyLeft > 0 && int64(len(p)) > x.bodyLeft {
		p = p[:x.bodyLeft]
	}
	if err := x.conn.SetReadDeadline(x.readDeadline()); err != nil {
		return 0, err
	}
	n, err := x.body.Read(p)
	if x.bodyLeft > 0 {
		x.bodyLeft -= int64(n)
	}
	return n, x.bodyError(err)
}

// isStall reports whether a read timed out before the wait for the next byte has reached
// stallTimeout, and before the caller's deadline. The server may still send the rest of
// the body.
func (x *exchange) isStall(err error) bool {
	expired := !x.deadline.IsZero() && !time.Now().Before(x.deadline)
	return isTimeout(err) && x.stalledFor+x.readTimeout < stallTimeout && !expired
}

// bodyError replaces the error of a read by io.EOF if the body is complete and
// by io.ErrUnexpectedEOF if it is truncated.
func (x *exchange) bodyError(err error) error {
	switch {
	case x.bodyLeft == 0:
		return io.EOF
	case err == io.EOF && x.bodyLeft > 0:
		return io.ErrUnexpectedEOF
	case err == io.EOF && x.head.ContentLength() == chunkedLength:
		return x.readTrailer()
	}
	return err
}

// readTrailer reads the trailer section, which follows the last chunk.
func (x *exchange) readTrailer() error {
	if err := yuccahead.PeekTrailer(x.conn.r); err != nil {
		return unexpectedEOF(err)
	}
	if err := x.head.ReadTrailer(x.conn.r); err != nil {
		return unexpectedEOF(err)
	}
	return io.EOF
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func nilIfEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}
