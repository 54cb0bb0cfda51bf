package yuccarelay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

// TestMalformedResponseIsNoAnswer has a server in trouble send responses that no grammar of
// HTTP allows. It guards against one that the caller gets as the answer, with a status, a
// field or a body that the server did not mean.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	const body = "Content-Length: 4\r\n\r\nbody"
	const chunks = "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nbody\r\n0\r\n"
	tests := []struct{ name, response string }{
		{"status 000", "HTTP/1.1 000 OK\r\n" + body},
		{"status 099", "HTTP/1.1 099 OK\r\n" + body},
		{"status 999", "HTTP/1.1 999 OK\r\n" + body},
		{"version", "HTTP/7.1 200 OK\r\n" + body},
		{"blanks before the status", "HTTP/1.1   200 OK\r\n" + body},
		{"control byte in the reason", "HTTP/1.1 200 O\x08K\r\n" + body},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX y: z\r\n" + body},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + body},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: z\r\n" + body},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nX: z\x1b[2J\r\n" + body},
		{"status 000 of an interim response", "HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early\r\nX y: z\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		{"empty lines before", "\r\n\r\nHTTP/1.1 200 OK\r\n" + body},
		{"blank in a name of a trailer", "HTTP/1.1 200 OK\r\n" + chunks + "Su m: 1\r\n\r\n"},
		{"control byte in a name of a trailer", "HTTP/1.1 200 OK\r\n" + chunks + "Su\x01m: 1\r\n\r\n"},
		{"control byte in a trailer", "HTTP/1.1 200 OK\r\n" + chunks + "Sum: \x071\r\n\r\n"},
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\n" + chunks + "\r\n"},
	}
	for _, buffered := range []int{0, 64 << 10} {
		for _, test := range tests {
			t.Run(fmt.Sprint(test.name, " ", buffered), func(t *testing.T) {
				c := qt.New(t)
				options := yuccarelay.Options{MaxBufferedBytes: buffered, NoResume: true, NoHedge: true}
				w := newFaultyServers(t, 1, options, func(int64) yuccafake.Fault { return yuccafake.Fault{} }, func(string) string { return test.response })
				conn, err := net.Dial("tcp", w.addr)
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				c.Assert(conn.SetDeadline(time.Now().Add(longTimeout)), qt.IsNil)
				_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: s.example\r\n%s: t\r\nContent-Length: 0\r\n\r\n", yuccafake.TokenHeader)
				c.Assert(err, qt.IsNil)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				c.Assert(err, qt.IsNil)
				_, err = io.ReadAll(resp.Body)
				refused := resp.StatusCode >= http.StatusInternalServerError && resp.Header.Get(yuccarelay.ErrorHeader) != ""
				// A head may be on its way before a trailer is read. The body is cut then.
				cut := strings.Contains(test.name, "trailer") && buffered == 0 && err != nil
				c.Assert(refused || cut, qt.IsTrue, qt.Commentf("%d %v %v", resp.StatusCode, resp.Header, err))
			})
		}
	}
}
