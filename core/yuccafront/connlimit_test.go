package yuccafront_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafront"
)

// TestConnsBeyondLimit guards against a connection that is refused without saying that its
// request has not run, and against a request that is cut by the refusal of another one.
func TestConnsBeyondLimit(t *testing.T) {
	c := qt.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := socket.Addr().String()
	_ = socket.Close()
	running, release := make(chan struct{}), make(chan struct{})
	f := yuccafront.NewWithHandler(yuccafront.Settings{Addr: addr, MaxConns: 1}, func(ctx *fasthttp.RequestCtx) {
		close(running)
		<-release
		ctx.SetBodyString("served")
	}, nil, zerolog.Nop())
	group := &errgroup.Group{}
	c.Assert(f.Start(context.Background(), group), qt.IsNil)
	dial := func(open int) net.Conn {
		conn, err := net.Dial("tcp", addr)
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		for end := time.Now().Add(time.Second); f.ConnStatus().Open < open && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return conn
	}
	busy := dial(1)
	_, err = io.WriteString(busy, "GET /busy HTTP/1.1\r\nHost: s\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-running
	refused := dial(2)
	_, err = dial(2).Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	response, err := roundTrip(refused, "POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: 1\r\n\r\nb")
	c.Assert(err, qt.IsNil)
	for _, part := range []string{"HTTP/1.1 503", "Yucca-Run: no", "Retry-After: ", "Connection: close"} {
		c.Assert(response, qt.Contains, part)
	}
	close(release)
	response, err = roundTrip(busy, "")
	c.Assert(err, qt.IsNil)
	c.Assert(response, qt.Contains, "served")
	status := f.ConnStatus()
	c.Assert([]any{status.Refused, status.Dropped, status.Evicted, status.Full}, qt.DeepEquals, []any{uint64(1), uint64(1), uint64(0), true})
	c.Assert(f.Stop(context.Background()), qt.IsNil)
	c.Assert(group.Wait(), qt.IsNil)
}
