// Package yuccapipeline lets an HTTP/1.1 server handle the pipelined requests of a
// connection concurrently. A caller pipelines if it sends further requests before it
// has the response to the first.
//
// A Pipeline stands between the listening socket and a fasthttp.Server. The server
// handles the first request on the connection itself, as without this package. While
// that request is in progress, the Conn reads ahead: it splits the unread bytes into
// requests and passes those that may run concurrently to the server, each on an
// in-memory connection of its own (Ahead). The responses to these are held back until
// all responses before them have been written.
//
//	p := yuccapipeline.New(relay.Concurrency, func(c net.Conn) error { return server.ServeConn(c) })
//	server.ConnState = p.SetState
//	server.Serve(p.Listener(socket))
//
// The handler calls Begin before and End after each request. The server must have an
// IdleTimeout and no ReadTimeout, since a read deadline tells where a request starts. It
// must not close connections on its own accord when it stops (CloseOnShutdown).
//
// A request is read ahead only while the handler watches the connection of the request
// before it with WatchClose. A connection on which nobody pipelines has no goroutine,
// buffer or system call beyond that watch.
package yuccapipeline

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccalinger"
)

const (
	// maxAhead is the largest number of requests that are read ahead on a connection.
	maxAhead = 8
	// maxAheadTotal bounds the requests that are read ahead on all connections. Each
	// holds about 30 KiB of the server's buffers.
	maxAheadTotal = 512
	// maxWaitingBytes bounds the bytes of responses that wait for their turn on a
	// connection.
	maxWaitingBytes = 128 << 10
	// maxWaitingBytesTotal bounds these bytes on all connections.
	maxWaitingBytesTotal = 8 << 20
	// closeInterval is the time between two looks at the number of open connections.
	closeInterval = time.Millisecond
	// maxHeadBytes bounds the unread bytes that a connection keeps in memory. It is as
	// large as the longest request head that the server accepts.
	maxHeadBytes = 20 << 10
)

// Concurrency says which requests of a connection may run beside a request without a body.
type Concurrency uint8

const (
	// Alone means that the request runs when all requests before it have been answered, and
	// those behind it run when it has been.
	Alone Concurrency = iota
	// Last means that the request may run beside those before it. Those behind it wait: they
	// would be lost if its response broke off, which ends the connection.
	Last
	// Beside means that it may run beside those before and behind it.
	Beside
)

// Pipeline handles the pipelined requests of all connections of a server. Create one
// with New.
type Pipeline struct {
	concurrency func(*fasthttp.RequestHeader) Concurrency
	serve       func(net.Conn) error
	// running is the number of requests that were read ahead and have not ended.
	running atomic.Int64
	// waiting is the number of response bytes that wait for their turn.
	waiting atomic.Int64
	group   sync.WaitGroup
	// open is the number of connections that have not been closed or left to closer.
	open atomic.Int64
	// closer closes the connections whose callers may still be sending.
	closer *yuccalinger.Closer
}

// New returns a Pipeline. The function concurrency returns what may run beside a request;
// requests with a body are never asked for. If it is nil, all run alone. The function serve
// serves all requests of a connection and closes it.
func New(concurrency func(*fasthttp.RequestHeader) Concurrency, serve func(net.Conn) error) *Pipeline {
	if concurrency == nil {
		concurrency = func(*fasthttp.RequestHeader) Concurrency { return Alone }
	}
	return &Pipeline{concurrency: concurrency, serve: serve, closer: yuccalinger.New()}
}

// Listener returns a listener whose connections are of type *Conn if those of l are
// TCP connections.
func (p *Pipeline) Listener(l net.Listener) net.Listener { return listener{l, p} }

// Wait waits for the requests that were read ahead, and until a deadline for callers that
// are still receiving or sending on a connection which the server has closed. It must not be
// called while the server still serves connections.
func (p *Pipeline) Wait(deadline time.Time) {
	p.group.Wait()
	// The server does not count a connection any more when it closes it.
	for p.open.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(closeInterval)
	}
	p.closer.Wait(deadline)
}

// Begin notes that the handler of a request starts. It must be called before the
// handler.
func (p *Pipeline) Begin(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*Conn); ok {
		c.begin(&ctx.Request.Header)
	}
}

// End notes that the handler of a request has returned. If the server is leaving, or
// the handler closes the connection, no further requests are read ahead. If the server
// is leaving, the last response on the connection is the one that closes it.
func (p *Pipeline) End(ctx *fasthttp.RequestCtx, leaving bool) {
	if !leaving && !ctx.Response.ConnectionClose() {
		return
	}
	last := true
	switch c := ctx.Conn().(type) {
	case *Conn:
		last = c.stopReadingAhead(nil)
	case *Ahead:
		last = c.conn.stopReadingAhead(c)
	}
	if leaving && last {
		ctx.SetConnectionClose()
	}
}

// SetState is the ConnState hook of the server.
func (p *Pipeline) SetState(nc net.Conn, state fasthttp.ConnState) {
	switch c := nc.(type) {
	case *Conn:
		switch state {
		case fasthttp.StateIdle:
			c.deliver()
		case fasthttp.StateHijacked:
			c.hijacked()
		case fasthttp.StateClosed:
			c.closeNow()
		}
	case *Ahead:
		if state == fasthttp.StateIdle {
			c.keep()
		}
	}
}

// acquire reserves room for a request that is read ahead, and reports whether there
// is any.
func (p *Pipeline) acquire() bool { return reserve(&p.running, 1, maxAheadTotal) }

// reserve adds n to the counter unless that exceeds the limit.
func reserve(counter *atomic.Int64, n, limit int64) bool {
	if counter.Add(n) <= limit {
		return true
	}
	counter.Add(-n)
	return false
}

// listener is a net.Listener that wraps its connections.
type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		l.pipeline.open.Add(1)
		return &Conn{TCPConn: tcp, pipeline: l.pipeline}, nil
	}
	return c, err
}
