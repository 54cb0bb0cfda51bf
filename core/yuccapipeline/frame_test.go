package yuccapipeline

import (
	"bufio"
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// FuzzScan compares the end of a head with what fasthttp takes for it. If it were found
// too late, the server would read the start of the next request, which could then run
// before its turn, or as a part of this one.
func FuzzScan(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\n\n",
		"\r\nGET / HTTP/1.1\r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\r\nA: b\r\n c\r\n\r\nx",
		"GET / HTTP/1.1\r\n\n\r\n",
		"GET / HTTP/1.1\r\nA: b\r\r\n\r\n",
	} {
		f.Add([]byte(s), 7)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		source := bytes.NewReader(data)
		r := bufio.NewReaderSize(source, len(data)+16)
		var h fasthttp.RequestHeader
		if h.Read(r) != nil {
			return
		}
		end := len(data) - r.Buffered() - source.Len()
		start := len(data) - len(bytes.TrimLeft(data, "\r\n"))
		var whole lineEnd
		n, found := whole.scan(data[start:])
		if !found || start+n > end {
			t.Fatalf("the head ends after %d bytes, not %d (%t)", end, start+n, found)
		}
		// The result must not depend on how the bytes arrive.
		var parts lineEnd
		cut = min(len(data)-start, max(0, cut))
		m, found := parts.scan(data[start : start+cut])
		if !found {
			rest, _ := parts.scan(data[start+cut:])
			m += rest
		}
		if m != n {
			t.Fatalf("the head ends after %d bytes, in parts after %d", n, m)
		}
	})
}

// FuzzBody compares the end of a request with a body with what fasthttp takes for it. If it
// were found too late, the server would hold back its response for the request behind it.
func FuzzBody(f *testing.F) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, s := range []string{
		head + "Content-Length: 4\r\n\r\nbodyGET /2 HTTP/1.1\r\n\r\n",
		head + "Content-Length: 0\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
		head + "content-length:  4  \r\n\r\nbody",
		head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbodyGET",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\nA\r\n0123456789\r\n00\r\nT: v\r\n\r\nGET",
		head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\nT: v\r\n\r\nGET",
		"\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbodyGET",
		"PUT / HTTP/1.1\r\nTransfer-Encoding: CHUNKED\r\n\r\nfffffffffffff\r\n",
	} {
		f.Add([]byte(s), 40)
	}
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		source := bytes.NewReader(data)
		r := bufio.NewReaderSize(source, len(data)+16)
		var h fasthttp.RequestHeader
		if h.Read(r) != nil {
			return
		}
		length := h.ContentLength()
		var req fasthttp.Request
		source.Reset(data)
		r.Reset(source)
		if req.ReadLimitBody(r, 1<<20) != nil || req.MayContinue() {
			return
		}
		end := len(data) - r.Buffered() - source.Len()
		n, framed := frameRequest(data, length, len(data))
		if framed && n != end {
			t.Fatalf("the request ends after %d bytes, not %d", end, n)
		}
		// The result must not depend on how the bytes arrive.
		m, inPartsToo := frameRequest(data, length, max(1, cut))
		if m != n || inPartsToo != framed {
			t.Fatalf("the request ends after %d bytes (%t), in parts after %d (%t)", n, framed, m, inPartsToo)
		}
	})
}

// TestFramerGivesUp guards against requests that are read ahead behind bytes whose end is
// not clear, and that could overtake them: all bytes are then passed on as they come, until
// the server waits for the next request.
func TestFramerGivesUp(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name, data string
		// length is the content length that the server has read.
		length  int
		givesUp bool
	}{
		{"body", head + "Content-Length: 4\r\n\r\n", 4, false},
		{"no body", head + "\r\n", -2, false},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo", -1, false},
		{"two lengths", head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n", 4, true},
		{"length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", -1, true},
		{"no number", head + "Content-Length: x\r\n\r\n", 0, true},
		{"number that is too large", head + "Content-Length: 99999999999999999999\r\n\r\n", 0, true},
		{"other coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n", -1, true},
		{"the server has read another length", head + "Content-Length: 4\r\n\r\n", 5, true},
		{"the server has read no body", head + "Content-Length: 4\r\n\r\n", -2, true},
		{"chunk without a size", head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", -1, true},
		{"chunk that is too long", head + "Transfer-Encoding: chunked\r\n\r\n1234567890123\r\n", -1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var f framer
			for data := []byte(test.data); len(data) > 0; {
				n, headEnded := f.take(data)
				if headEnded {
					f.requestRead(test.length)
				}
				data = data[n:]
			}
			c.Assert(f.mode == unframed, qt.Equals, test.givesUp)
			if test.givesUp {
				n, headEnded := f.take([]byte("rest\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
				c.Assert(n, qt.Equals, 26)
				c.Assert(headEnded, qt.IsFalse)
				f.startHead()
				c.Assert(f.mode, qt.Equals, inHead)
			}
		})
	}
}

// frameRequest takes the bytes of one request, in parts of a size, and returns its length. It
// returns false if the framer has given up.
func frameRequest(data []byte, length, size int) (n int, framed bool) {
	var f framer
	for headRead := false; n < len(data); {
		taken, headEnded := f.take(data[n:min(len(data), n+size)])
		n += taken
		if headEnded {
			f.requestRead(length)
			headRead = true
		}
		if f.mode == unframed {
			return 0, false
		}
		if headRead && f.mode == inHead {
			return n, true
		}
	}
	return n, true
}
