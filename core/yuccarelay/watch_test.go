package yuccarelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccafront"
	"yuccawell.example/core/yuccarelay"
)

// pipelinedAddr starts a listener for pipelined requests in front of the relay and
// returns its address.
func (w *fixture) pipelinedAddr(t *testing.T) string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := socket.Addr().String()
	_ = socket.Close()
	listener := yuccafront.NewWithHandler(yuccafront.Settings{Addr: addr, Concurrency: w.relay.Concurrency}, w.relay.Serve, func(*fasthttp.RequestCtx, error) {}, zerolog.Nop())
	group := &errgroup.Group{}
	qt.Assert(t, listener.Start(context.Background(), group), qt.IsNil)
	t.Cleanup(func() {
		qt.Check(t, listener.Stop(context.Background()), qt.IsNil)
		qt.Check(t, group.Wait(), qt.IsNil)
	})
	return addr
}

// waitForInFlight waits until the number of requests at the servers is n.
func (w *fixture) waitForInFlight(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); w.picker.InFlight("s", "a") != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests are in flight, not %d", w.picker.InFlight("s", "a"), n)
		}
	}
}

// TestPipelinedRequestsReachServersAtOnce guards against a pipelined request that
// reaches its server only after the response to the one before it, against one that is
// not idempotent and does not wait, and against requests that go on without a caller.
func TestPipelinedRequestsReachServersAtOnce(t *testing.T) {
	const work = 300 * time.Millisecond
	c := qt.New(t)
	w := newFixtureWithOptions(t, yuccarelay.Options{NoHedge: true}, yuccafake.Behaviour{Slots: 8, Work: work})
	addr := w.pipelinedAddr(t)
	var requests strings.Builder
	for i, method := range []string{"GET", "GET", "HEAD", "POST", "GET", "GET"} {
		fmt.Fprintf(&requests, "%s /x HTTP/1.1\r\nHost: s.example\r\n%s: t%d\r\nContent-Length: 0\r\n\r\n", method, yuccafake.TokenHeader, i)
	}
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, requests.String())
	c.Assert(err, qt.IsNil)
	w.waitForInFlight(t, 3)
	time.Sleep(work / 6)
	c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 3)
	r := bufio.NewReader(conn)
	for i := range 4 {
		var resp fasthttp.Response
		resp.SkipBody = i == 2
		c.Assert(resp.Read(r), qt.IsNil)
		if i != 2 {
			c.Assert(string(resp.Body()), qt.Equals, fmt.Sprintf("t%d\n", i))
		}
		if i == 2 {
			w.waitForInFlight(t, 1)
			time.Sleep(work / 6)
			c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 1, qt.Commentf("behind a POST"))
		}
	}
	w.waitForInFlight(t, 2)
	c.Assert(conn.Close(), qt.IsNil)
	closed := time.Now()
	w.waitForInFlight(t, 0)
	c.Assert(time.Since(closed) < work/2, qt.IsTrue, qt.Commentf("%v", time.Since(closed)))
}

// TestCallerCloseBehindUnreadBytes closes a connection to a plain server whose next
// request is unread, and guards against a close that is noticed only after it.
func TestCallerCloseBehindUnreadBytes(t *testing.T) {
	c := qt.New(t)
	w := newFixtureWithOptions(t, yuccarelay.Options{NoHedge: true}, yuccafake.Behaviour{Slots: 8, Work: time.Minute})
	conn, err := net.Dial("tcp", w.addr)
	c.Assert(err, qt.IsNil)
	const request = "GET /x HTTP/1.1\r\nHost: s.example\r\n\r\n"
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	w.waitForInFlight(t, 1)
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	time.Sleep(10 * time.Millisecond)
	c.Assert(conn.Close(), qt.IsNil)
	w.waitForInFlight(t, 0)
}
