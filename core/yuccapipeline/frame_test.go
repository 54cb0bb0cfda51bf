package yuccapipeline

import (
	"bufio"
	"bytes"
	"testing"

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
