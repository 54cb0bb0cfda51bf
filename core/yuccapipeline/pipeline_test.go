package yuccapipeline

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// TestTotalsAreBounded handles three pipelined requests while other connections hold
// all that is allowed in total. It guards against totals that are not respected, or
// not given back, which would end all reading ahead after some time.
func TestTotalsAreBounded(t *testing.T) {
	const body = "response"
	tests := []struct {
		name             string
		running, waiting int64
		// startedAtOnce is the number of requests in progress while the first is.
		startedAtOnce int64
		// held says whether responses are held in memory behind the first.
		held bool
	}{
		{"room", 0, 0, 3, true},
		{"requests", maxAheadTotal - 1, 0, 2, true},
		{"bytes", 0, maxWaitingBytesTotal, 3, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var started atomic.Int64
			gate := make(chan struct{})
			server := &fasthttp.Server{IdleTimeout: time.Minute}
			p := New(func(*fasthttp.RequestHeader) Concurrency { return Beside }, server.ServeConn)
			server.ConnState = p.SetState
			server.Handler = func(ctx *fasthttp.RequestCtx) {
				p.Begin(ctx)
				defer p.End(ctx, false)
				started.Add(1)
				conn, ok := ctx.Conn().(*Conn)
				if ok {
					defer conn.WatchClose(true, func() {})()
					<-gate
				}
				ctx.SetBodyString(body)
			}
			p.running.Store(test.running)
			p.waiting.Store(test.waiting)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			group := &errgroup.Group{}
			group.Go(func() error { return server.Serve(p.Listener(l)) })
			conn, err := net.Dial("tcp", l.Addr().String())
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3))
			c.Assert(err, qt.IsNil)
			time.Sleep(50 * time.Millisecond)
			c.Assert(started.Load(), qt.Equals, test.startedAtOnce)
			c.Assert(p.waiting.Load() > test.waiting, qt.Equals, test.held)
			close(gate)
			r := bufio.NewReader(conn)
			for range 3 {
				var resp fasthttp.Response
				c.Assert(resp.Read(r), qt.IsNil)
				c.Assert(string(resp.Body()), qt.Equals, body)
			}
			c.Assert(conn.Close(), qt.IsNil)
			c.Assert(server.Shutdown(), qt.IsNil)
			c.Assert(group.Wait(), qt.IsNil)
			p.Wait(time.Now())
			c.Assert(p.running.Load(), qt.Equals, test.running)
			c.Assert(p.waiting.Load(), qt.Equals, test.waiting)
		})
	}
}
