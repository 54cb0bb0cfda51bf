package yuccarelay_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

// TestCutHeadIsNoResponse has a server close the connection at each byte of the head of a
// response. It guards against a part of a head that counts as a response with an empty or
// short body.
func TestCutHeadIsNoResponse(t *testing.T) {
	heads := []struct{ name, lines string }{
		{"length", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 20\r\n\r\n"},
		{"no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n\r\n"},
		{"no length", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nA: b\nContent-Length: 0\n\n"},
		{"interim", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n"},
		{"after empty lines", "\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n"},
	}
	closing := func(int64) yuccafake.Fault {
		return yuccafake.Fault{Step: yuccafake.MidBody, Mode: yuccafake.CloseConn}
	}
	for _, head := range heads {
		for n := range len(head.lines) - 1 {
			t.Run(fmt.Sprint(head.name, "/", n), func(t *testing.T) {
				c := qt.New(t)
				// The fault drops the last byte.
				part := head.lines[:n] + "!"
				w := newFaultyServers(t, 1, yuccarelay.Options{}, closing, func(string) string { return part })
				for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
					resp, err := w.callWithToken(method, method[:1], longTimeout)
					c.Assert(err, qt.IsNil)
					c.Assert(resp.StatusCode() >= 500, qt.IsTrue, qt.Commentf("%s %q: %s", method, strings.TrimSuffix(part, "!"), resp))
				}
				c.Assert(w.executions.Total().Tokens, qt.Equals, 2)
			})
		}
	}
}
