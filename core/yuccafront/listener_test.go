package yuccafront_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccafront"
	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// staticSource is a Source with a fixed snapshot.
type staticSource struct{ snapshot yuccasync.Snapshot }

func (f staticSource) Snapshot() *yuccasync.Snapshot { return &f.snapshot }

// testSnapshot returns a snapshot with two regions, the service s in both, one entry
// in a, and in b one entry and one that is leaving. The clients in 10.2.0.0/16
// belong to region b.
func testSnapshot(t *testing.T) yuccasync.Snapshot {
	rules, faults := yuccarule.Parse("r", []byte("region a domains=a1 # t\nregion b domains=b1 # t\nservice s host=s regions=a,b # t\nblock 10.2.0.0/16 site=b # t\n"))
	qt.Assert(t, faults, qt.HasLen, 0)
	view := yuccamembership.NewView([]yuccastore.Instance{
		{Name: "e1", Kind: yuccastore.KindEntry, Addr: "10.9.0.1:80", Region: "a", Domain: "a1"},
		{Name: "e2", Kind: yuccastore.KindEntry, Addr: "10.9.0.2:80", Region: "b", Domain: "b1"},
		{Name: "e3", Kind: yuccastore.KindEntry, Addr: "10.9.0.3:80", Region: "b", Domain: "b1", Leaving: true},
	})
	return yuccasync.Snapshot{Document: yuccarule.Document{Version: 12}, Rules: rules, View: view, Table: yuccalocator.New(rules, "a")}
}

// startListener starts a listener with a relay that responds with the request's
// path. It returns the address and a function that stops the listener.
func startListener(t *testing.T, snapshot yuccasync.Snapshot, drainDelay time.Duration) (string, func()) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := socket.Addr().String()
	_ = socket.Close()
	relay := func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/panic" {
			panic("bug")
		}
		ctx.SetBody(ctx.Path())
	}
	f := yuccafront.New(yuccafront.Settings{Addr: addr, LookupTTL: 5 * time.Second, DrainDelay: drainDelay}, staticSource{snapshot}, relay, zerolog.Nop())
	group := &errgroup.Group{}
	qt.Assert(t, f.Start(context.Background(), group), qt.IsNil)
	return addr, func() {
		qt.Assert(t, f.Stop(context.Background()), qt.IsNil)
		<-f.Done()
		qt.Assert(t, group.Wait(), qt.IsNil)
	}
}

// roundTrip sends a request on a connection and returns the whole response.
func roundTrip(c net.Conn, request string) (string, error) {
	if _, err := io.WriteString(c, request); err != nil {
		return "", err
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		return "", err
	}
	return resp.String(), nil
}

// TestDrainAnnouncesConnectionClose uses a connection while the listener stops. The
// listener keeps responding and announces the end of the connection with
// Connection: close. Without it, a client may send a request on a connection that
// is about to be closed.
func TestDrainAnnouncesConnectionClose(t *testing.T) {
	c := qt.New(t)
	addr, stop := startListener(t, testSnapshot(t), 300*time.Millisecond)
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	response, err := roundTrip(conn, "GET /one HTTP/1.1\r\nHost: s\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(response, qt.Not(qt.Contains), "Connection: close")
	group := &errgroup.Group{}
	group.Go(func() error {
		stop()
		return nil
	})
	for !strings.Contains(response, "Connection: close") {
		next, err := roundTrip(conn, "GET /two HTTP/1.1\r\nHost: s\r\n\r\n")
		c.Assert(err, qt.IsNil, qt.Commentf("connection closed without Connection: close; the previous response was %q", response))
		c.Assert(next, qt.Contains, "/two")
		response = next
	}
	c.Assert(group.Wait(), qt.IsNil)
}

// TestListeningOnlyWhenConnectionsAreAccepted guards against an entry that says it is ready
// while connections to it are refused.
func TestListeningOnlyWhenConnectionsAreAccepted(t *testing.T) {
	c := qt.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := socket.Addr().String()
	settings := yuccafront.Settings{Addr: addr, DrainTimeout: time.Second}
	f := yuccafront.NewWithHandler(settings, func(*fasthttp.RequestCtx) {}, nil, zerolog.Nop())
	c.Assert(f.Listening(), qt.IsFalse)
	group := &errgroup.Group{}
	c.Assert(f.Start(t.Context(), group), qt.IsNotNil, qt.Commentf("the address is in use"))
	c.Assert(f.Listening(), qt.IsFalse)
	c.Assert(socket.Close(), qt.IsNil)
	c.Assert(f.Start(t.Context(), group), qt.IsNil)
	c.Assert(f.Listening(), qt.IsTrue)
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Close(), qt.IsNil)
	c.Assert(f.Stop(t.Context()), qt.IsNil)
	c.Assert(group.Wait(), qt.IsNil)
}

// TestStopClosesUnusedConnections has a client open a connection and send nothing, as
// clients do that dial ahead. The listener stops nevertheless, long before its timeout.
func TestStopClosesUnusedConnections(t *testing.T) {
	const timeout = 5 * time.Second
	c := qt.New(t)
	addr, stop := startListener(t, testSnapshot(t), 0)
	unused, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = unused.Close() }()
	used, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = used.Close() }()
	_, err = roundTrip(used, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	begin := time.Now()
	stop()
	c.Assert(time.Since(begin) < timeout, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
}

// TestPanicInHandlerEndsOnlyItsConnection guards against a bug in a handler that ends the
// process, and against an error that says that the request is malformed or has not run.
func TestPanicInHandlerEndsOnlyItsConnection(t *testing.T) {
	c := qt.New(t)
	addr, stop := startListener(t, testSnapshot(t), 0)
	defer stop()
	for path, want := range map[string]string{"/panic": "HTTP/1.1 500", "/other": "HTTP/1.1 200"} {
		conn, err := net.Dial("tcp", addr)
		c.Assert(err, qt.IsNil)
		response, err := roundTrip(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
		c.Assert(response, qt.Contains, want)
		c.Assert(strings.Contains(response, "Connection: close"), qt.Equals, path == "/panic")
		c.Assert(conn.Close(), qt.IsNil)
	}
}

// TestStopUnderLoadCutsNoRequest stops the listener while callers send one request after
// another, each on a new connection or on the one before. It guards against a request that
// was accepted and gets no response.
func TestStopUnderLoadCutsNoRequest(t *testing.T) {
	const callers = 24
	addr, stop := startListener(t, testSnapshot(t), 300*time.Millisecond)
	var group errgroup.Group
	var served atomic.Int64
	for i := range callers {
		group.Go(func() error {
			for {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					return nil
				}
				for response := ""; !strings.Contains(response, "Connection: close"); {
					if response, err = roundTrip(conn, "GET /x HTTP/1.1\r\nHost: s\r\n\r\n"); err != nil {
						_ = conn.Close()
						return fmt.Errorf("request without a response after %d others: %w", served.Load(), err)
					}
					served.Add(1)
					if i%2 == 0 {
						break
					}
				}
				_ = conn.Close()
			}
		})
	}
	for served.Load() < 10*callers {
		time.Sleep(time.Millisecond)
	}
	stop()
	qt.Assert(t, group.Wait(), qt.IsNil)
}
