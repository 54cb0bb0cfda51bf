package yuccafront_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafront"
	"yuccawell.example/core/yuccapipeline"
	"yuccawell.example/core/yuccarelay"
)

// concurrencyOf returns what may run beside a request. The responses below bulkPath are bulk.
func concurrencyOf(h *fasthttp.RequestHeader) yuccapipeline.Concurrency {
	switch {
	case !h.IsGet() && !h.IsHead():
		return yuccapipeline.Alone
	case strings.HasPrefix(string(h.RequestURI()), bulkPath):
		return yuccapipeline.Last
	}
	return yuccapipeline.Beside
}

// bulkPath is the start of the paths of bulk responses.
const bulkPath = "/bulk"

// gatedHandler is a handler that watches its caller like the relay. The path of a
// request is its token; the response is the token, and with ?size=N a body of N bytes
// that the token determines. A path that starts with /gate waits for release.
type gatedHandler struct {
	mu sync.Mutex
	// started and canceled are the tokens of the requests in the order of these events.
	started, canceled []string
	gates             map[string]chan struct{}
	arrivals          map[string]time.Time
	// produced is the number of body bytes that the server has taken.
	produced atomic.Int64
}

func newGatedHandler() *gatedHandler {
	return &gatedHandler{gates: map[string]chan struct{}{}, arrivals: map[string]time.Time{}}
}

func (g *gatedHandler) serve(ctx *fasthttp.RequestCtx) {
	token := string(ctx.Path())
	conn := ctx.Conn().(yuccarelay.CallerConn)
	gone := make(chan struct{})
	arrived := conn.ArrivedAt()
	if arrived.IsZero() {
		arrived = time.Now()
	}
	g.mu.Lock()
	g.started = append(g.started, token)
	g.arrivals[token] = arrived
	g.mu.Unlock()
	if len(ctx.Request.Body()) == 0 {
		stop := conn.WatchClose(concurrencyOf(&ctx.Request.Header) == yuccapipeline.Beside, func() { close(gone) })
		defer stop()
	}
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("us")) * time.Microsecond
	opened := make(chan struct{})
	if strings.HasPrefix(strings.TrimPrefix(token, bulkPath), "/gate") {
		opened = g.gate(token)
		wait = time.Minute
	}
	select {
	case <-gone:
		g.mu.Lock()
		g.canceled = append(g.canceled, token)
		g.mu.Unlock()
	case <-opened:
	case <-time.After(wait):
	}
	size := ctx.QueryArgs().GetUintOrZero("size")
	if ctx.QueryArgs().Has("close") {
		ctx.SetConnectionClose()
	}
	switch {
	case ctx.QueryArgs().Has("hijack"):
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	case ctx.QueryArgs().Has("cut"):
		ctx.SetBodyStream(io.MultiReader(strings.NewReader(strings.Repeat("x", cutBytes)), failingReader{}), 2*cutBytes)
	case size > 0:
		ctx.SetBodyStream(&countingReader{io.LimitReader(&tokenReader{token: token}, int64(size)), &g.produced}, size)
	default:
		ctx.SetBodyString(token)
	}
}

func (g *gatedHandler) gate(token string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gates[token] == nil {
		g.gates[token] = make(chan struct{})
	}
	return g.gates[token]
}

func (g *gatedHandler) release(token string) { close(g.gate(token)) }

func (g *gatedHandler) startedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.started)
}

func (g *gatedHandler) canceledCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.canceled)
}

// tokenReader is an endless body that repeats a token.
type tokenReader struct {
	token string
	next  int
}

func (r *tokenReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.token[r.next%len(r.token)]
		r.next++
	}
	return len(p), nil
}

type countingReader struct {
	io.Reader
	count *atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}

// cutBytes is the length of a body that is cut short. It does not fit in the server's
// write buffer.
const cutBytes = 10_000

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("server gone") }

// pipelineFixture is a listener that handles pipelined GET and HEAD requests
// concurrently.
type pipelineFixture struct {
	*gatedHandler
	addr string
	stop func() error
}

func newPipelineFixture(t testing.TB) *pipelineFixture {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f := &pipelineFixture{gatedHandler: newGatedHandler(), addr: socket.Addr().String()}
	_ = socket.Close()
	settings := yuccafront.Settings{Addr: f.addr, DrainTimeout: 10 * time.Second, Concurrency: concurrencyOf}
	listener := yuccafront.NewWithHandler(settings, f.serve, func(ctx *fasthttp.RequestCtx, _ error) { ctx.SetStatusCode(400) }, zerolog.Nop())
	group := &errgroup.Group{}
	qt.Assert(t, listener.Start(context.Background(), group), qt.IsNil)
	f.stop = sync.OnceValue(func() error { return errors.Join(listener.Stop(context.Background()), group.Wait()) })
	t.Cleanup(func() { qt.Check(t, f.stop(), qt.IsNil) })
	return f
}

// send opens a connection and sends bytes on it.
func (f *pipelineFixture) send(t testing.TB, segments ...string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", f.addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	for i, s := range segments {
		if i > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		_, err = io.WriteString(conn, s)
		qt.Assert(t, err, qt.IsNil)
	}
	return conn, bufio.NewReader(conn)
}

// get returns pipelined GET requests for paths.
func get(paths ...string) string {
	var b strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", p)
	}
	return b.String()
}

func waitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// settle is how long a request that must not start gets to start nevertheless.
const settle = 30 * time.Millisecond

// readBodies reads responses and returns their bodies.
func readBodies(t testing.TB, r *bufio.Reader, n int) []string {
	t.Helper()
	var bodies []string
	for range n {
		var resp fasthttp.Response
		qt.Assert(t, resp.Read(r), qt.IsNil)
		bodies = append(bodies, string(resp.Body()))
	}
	return bodies
}
