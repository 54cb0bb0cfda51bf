package yuccarelay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccarelay"
)

// maxEndlessBytes is what a server may send on a connection before it is closed: more
// than the relay reads, with the buffers of the sockets.
const maxEndlessBytes = 32 << 20

// serveEndless starts a server that sends a text and then repeats another one until its
// connection is closed. It reports when a request begins, and the bytes that it has sent
// when the connection has been closed.
func serveEndless(t *testing.T, first, repeated string, pause time.Duration) (server backend, sent <-chan int, begun <-chan bool) {
	n, requests := make(chan int, 16), make(chan bool, 16)
	server = serveResponses(t, func(w *bufio.Writer, label string) {
		requests <- true
		n <- sendEndless(w, strings.ReplaceAll(first, "LABEL", label), repeated, pause)
	})
	return server, n, requests
}

// sendEndless sends a text and repeats another one until an error. It returns the bytes
// that it has sent.
func sendEndless(w *bufio.Writer, first, repeated string, pause time.Duration) int {
	if pause == 0 {
		repeated = strings.Repeat(repeated, 1+4096/len(repeated))
	}
	n, err := w.WriteString(first)
	for err == nil && n < 2*maxEndlessBytes {
		if err = w.Flush(); err == nil {
			time.Sleep(pause)
			_, err = w.WriteString(repeated)
			n += len(repeated)
		}
	}
	return n
}

// TestEndlessResponsesAreBounded has a server that sends bytes without end in each part of
// a response. It guards against a request that never ends, against a connection that is
// read until the server stops, and against memory that grows with what the server sends.
func TestEndlessResponsesAreBounded(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nLabel: LABEL\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		other   = "HTTP/1.1 200 OK\r\nLabel: other\r\n"
	)
	tests := []struct {
		name, first, repeated string
		pause                 time.Duration
		// truncated means that the caller has the header of the response already.
		truncated bool
	}{
		{"no status line", "", "\x00\xff", 0, false},
		{"empty lines", "", "\r\n", 0, false},
		{"line feeds", "", "\n", 0, false},
		{"status line", "HTTP/1.1 200 ", "O", 0, false},
		{"field", ok + "A: ", "a", 0, false},
		{"fields", ok, "A: b\r\n", 0, false},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 0, false},
		{"responses to another request", "", other + "Content-Length: 1\r\n\r\nx", 0, false},
		{"body of another response", other + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0, false},
		{"chunk extension of another response", other + "Transfer-Encoding: chunked\r\n\r\n1;", "a", 0, false},
		{"body of another response, slow", other + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50 * time.Millisecond, false},
		{"chunk size", chunked, "0", 0, true},
		{"chunk extension", chunked + "1;", "a", 0, true},
		{"chunk extensions", chunked, "1;" + strings.Repeat("a", 500) + "\r\nx\r\n", 0, true},
		{"chunk end", chunked + "1\r\nx", "x", 0, true},
		{"trailer", chunked + "0\r\nA: ", "a", 0, true},
		{"trailers", chunked + "0\r\n", "A: b\r\n", 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			server, sent, _ := serveEndless(t, test.first, test.repeated, test.pause)
			w := &fixture{}
			w.start(t, yuccarelay.Options{Protocol: labelProtocol{}, NoHedge: true}, []backend{server})
			resp, err := w.call(func(r *fasthttp.Request) {
				r.Header.SetMethod(fasthttp.MethodPost)
				r.Header.Set("Label", "r")
				r.SetTimeout(10 * time.Second)
			})
			if test.truncated {
				c.Assert(err, qt.IsNotNil)
				c.Assert(err, qt.Not(qt.ErrorIs), fasthttp.ErrTimeout)
			} else {
				c.Assert(err, qt.IsNil)
				c.Assert(resp.StatusCode(), qt.Equals, fasthttp.StatusBadGateway)
				c.Assert(string(resp.Header.Peek(yuccarelay.RunHeader)), qt.Not(qt.Equals), "no")
			}
			select {
			case n := <-sent:
				c.Assert(n < maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", n))
			case <-time.After(10 * time.Second):
				c.Fatal("the connection is still open")
			}
			c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
		})
	}
}

// TestDeclineWithEndlessBody has a server that declines with a body that does not end. It
// guards against a request that waits for that body instead of being sent to another
// server.
func TestDeclineWithEndlessBody(t *testing.T) {
	const decline = "HTTP/1.1 503 Service Unavailable\r\n" + yuccarelay.RunHeader + ": no\r\n"
	tests := []struct {
		name, first, repeated string
		pause                 time.Duration
	}{
		{"fast", decline + "\r\n", "x", 0},
		{"slow", decline + "\r\n", "x", 50 * time.Millisecond},
		{"slow chunks", decline + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50 * time.Millisecond},
		{"stalled", decline + "Content-Length: 9\r\n\r\n", "x", 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			declining, sent, declined := serveEndless(t, test.first, test.repeated, test.pause)
			other := serveResponses(t, func(w *bufio.Writer, _ string) {
				_, _ = w.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			})
			w := &fixture{}
			w.start(t, yuccarelay.Options{NoHedge: true}, []backend{declining, other})
			for reached := 0; reached == 0; reached = len(declined) {
				began := time.Now()
				resp, err := w.call(func(r *fasthttp.Request) {
					r.Header.SetMethod(fasthttp.MethodPost)
					r.SetTimeout(10 * time.Second)
				})
				c.Assert(err, qt.IsNil)
				c.Assert(resp.StatusCode(), qt.Equals, fasthttp.StatusOK)
				c.Assert(time.Since(began) < 1500*time.Millisecond, qt.IsTrue)
			}
			c.Assert(<-sent < maxEndlessBytes, qt.IsTrue)
		})
	}
}

// serveOnce starts a server that answers the first request and then sends a text every
// 20 ms. It returns when the connection has been closed.
func serveOnce(t *testing.T, extra string) (server backend, closed <-chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	end, group := make(chan error, 1), &errgroup.Group{}
	group.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		if _, err = http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		}
		for err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err = c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
				_, err = io.WriteString(c, extra)
			}
		}
		end <- err
		return nil
	})
	return backend{l.Addr().String(), 4}, end
}

// TestUnusedConnectionsAreClosed has a server that gets one request only. It guards against
// connections that stay open for as long as the process runs, with what the server sends on
// them unread.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	tests := []struct{ name, extra string }{
		{"nothing more is sent", ""},
		{"more is sent", strings.Repeat("x", 1024)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			server, closed := serveOnce(t, test.extra)
			w := &fixture{}
			w.start(t, yuccarelay.Options{IdleTimeout: 300 * time.Millisecond}, []backend{server})
			resp, err := w.call(func(*fasthttp.Request) {})
			c.Assert(err, qt.IsNil)
			c.Assert(string(resp.Body()), qt.Equals, "body")
			select {
			case <-closed:
			case <-time.After(3 * time.Second):
				c.Fatal("the connection is still open")
			}
		})
	}
}
