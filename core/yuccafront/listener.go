// Package yuccafront is the HTTP server that clients connect to. An entry is a proxy
// instance of the system. A client first asks any entry with a lookup which
// entries to use for a service, and then sends its requests to one of them.
//
// Listener accepts the connections and drains them when the entry stops. It answers
// lookups from the current snapshot and passes all other requests to the relay.
//
//	listener := yuccafront.New(settings, syncer, relay.Serve, log)
//
// A lookup names the service and, optionally, the address of the client, which
// defaults to the address of the connection.
//
//	GET /where?service=archive&addr=10.2.0.9
package yuccafront

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaconns"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapipeline"
	"yuccawell.example/core/yuccasleep"
	"yuccawell.example/core/yuccasocket"
)

// Settings configure a Listener.
type Settings struct {
	// Addr is the address to listen on as host:port.
	Addr string
	// LookupTTL is how long clients may cache a lookup response. The response states it
	// in whole seconds, rounded down.
	LookupTTL time.Duration
	// DrainDelay is how long the entry accepts new connections and requests after
	// Stop, so that lookup responses that name it expire in the clients' caches
	// before it closes its socket.
	DrainDelay time.Duration
	// DrainTimeout bounds the wait for the requests in flight after DrainDelay.
	// Zero means no bound.
	DrainTimeout time.Duration
	// ReceiveTimeout is how long after DrainTimeout clients may take to receive the last
	// responses.
	ReceiveTimeout time.Duration
	// Full reports whether an entry has no free slot of a service. Lookup responses
	// name such entries last. Nil means that no entry is full.
	Full func(service, entry string) bool
	// Concurrency returns which requests on the same connection may run beside a request
	// without a body. Nil means that none may.
	Concurrency func(h *fasthttp.RequestHeader) yuccapipeline.Concurrency
	// Name is the name of the listener in log lines; empty means its address.
	Name string
	// MaxConns limits the open connections, 0 for no limit.
	MaxConns int
	// Refuse answers a request on a connection beyond MaxConns. It says that the request has
	// not run and when to come back. Nil means a response like those of New.
	Refuse fasthttp.RequestHandler
}

const (
	// maxHeaderBytes bounds the request line and the header fields together. It
	// allows 16 KiB of fields and 4 KiB for the request line.
	maxHeaderBytes = 20 << 10
	// maxBodyBytes is too large to limit any body in practice.
	maxBodyBytes = 1 << 50
	// idleTimeout is how long a connection may stay idle between two requests.
	idleTimeout = 2 * time.Minute
	// maxReceiveTime is how long clients may take to receive the last responses if there is no
	// DrainTimeout.
	maxReceiveTime = 5 * time.Second
	// newConnGrace is how long a connection that was accepted last has for its first
	// request when the listener stops. It covers a packet that is sent again, which takes
	// 200 ms at least.
	newConnGrace = 500 * time.Millisecond
)

// Listener is the service that accepts clients' connections. Create one with New or
// NewWithHandler.
type Listener struct {
	settings Settings
	handler  fasthttp.RequestHandler
	log      zerolog.Logger
	server   *fasthttp.Server
	pipeline *yuccapipeline.Pipeline
	socket   *drainableSocket
	// conns limits the number of connections.
	conns *connLimiter
	// listening is set once connections are accepted.
	listening atomic.Bool
	leaving   atomic.Bool
	done      chan struct{}

	// mu guards newConns.
	mu sync.Mutex
	// newConns holds the connections on which nothing has been received yet.
	newConns map[net.Conn]struct{}
}

// New returns a listener that answers lookups from source and passes all other
// requests to relay.
func New(settings Settings, source Source, relay fasthttp.RequestHandler, log zerolog.Logger) *Listener {
	l := lookupHandler{settings: settings, source: source, relay: relay}
	return NewWithHandler(settings, l.serve, writeReadError, log)
}

// NewWithHandler returns a listener that passes all requests to handler. It calls
// handleReadError for a request that cannot be read or parsed.
func NewWithHandler(settings Settings, handler fasthttp.RequestHandler, handleReadError func(*fasthttp.RequestCtx, error), log zerolog.Logger) *Listener {
	settings.Name = cmp.Or(settings.Name, settings.Addr)
	if settings.Refuse == nil {
		settings.Refuse = writeRefusal
	}
	f := &Listener{settings: settings, handler: handler, log: log, done: make(chan struct{}), newConns: map[net.Conn]struct{}{}}
	f.conns = newConnLimiter(settings.Name, settings.MaxConns, log)
	f.server = &fasthttp.Server{
		Handler:                       f.serve,
		Name:                          "yuccawell",
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		DisableHeaderNamesNormalizing: false,
		NoDefaultContentType:          true,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		ReadBufferSize:                maxHeaderBytes,
		MaxRequestBodySize:            maxBodyBytes,
		IdleTimeout:                   idleTimeout,
		ErrorHandler:                  handleReadError,
		ConnState:                     f.trackConn,
		Logger:                        discardLogger{},
	}
	f.pipeline = yuccapipeline.New(settings.Concurrency, f.server.ServeConn)
	return f
}

// Start implements yuccakernel.Service. It returns an error if it cannot listen on
// the address.
func (f *Listener) Start(ctx context.Context, group *errgroup.Group) error {
	socket, err := listen(ctx, f.settings.Addr, f.log)
	if err != nil {
		return err
	}
	f.log.Info().Str("addr", socket.Addr().String()).Msg("listening")
	f.socket = socket
	f.listening.Store(true)
	l := f.pipeline.Listener(yuccasocket.NewListener(socket, socket.Addr().String(), f.log))
	group.Go(func() error { return f.server.Serve(l) })
	return nil
}

// Stop implements yuccakernel.Service. It drains the listener: it serves new
// requests for DrainDelay, then closes the socket and waits up to DrainTimeout for
// the requests in flight. It returns an error if they have not ended by then.
func (f *Listener) Stop(ctx context.Context) error {
	defer close(f.done)
	f.leaving.Store(true)
	yuccasleep.For(ctx, f.settings.DrainDelay)
	f.socket.drain(ctx)
	// The server closes idle connections itself, but waits for those without a request.
	unused := time.AfterFunc(newConnGrace, f.closeNewConns)
	defer unused.Stop()
	drained := time.Now().Add(f.settings.DrainTimeout)
	if f.settings.DrainTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, drained)
		defer cancel()
	}
	if err := f.server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	received := drained.Add(f.settings.ReceiveTimeout)
	if f.settings.DrainTimeout == 0 {
		received = time.Now().Add(maxReceiveTime)
	}
	f.pipeline.Wait(received)
	return nil
}

// SetMaxConns changes Settings.MaxConns. Connections beyond it are closed as new ones come.
func (f *Listener) SetMaxConns(n int) { f.conns.setLimit(n) }

// ConnStatus describes the open connections.
func (f *Listener) ConnStatus() ConnStatus { return f.conns.status(time.Now()) }

// trackConn keeps newConns up to date and tells the pipeline and the limit of the change.
func (f *Listener) trackConn(c net.Conn, state fasthttp.ConnState) {
	f.updateNewConns(c, state)
	f.pipeline.SetState(c, state)
	// The pipeline has written all responses when a connection is idle.
	f.conns.track(c, state)
}

func (f *Listener) updateNewConns(c net.Conn, state fasthttp.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == fasthttp.StateNew {
		f.newConns[c] = struct{}{}
		return
	}
	delete(f.newConns, c)
}

// closeNewConns closes the connections on which nothing has been received yet.
func (f *Listener) closeNewConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.newConns {
		_ = c.Close()
	}
}

// Done implements yuccakernel.Service.
func (f *Listener) Done() <-chan struct{} { return f.done }

// Listening reports whether the listener has begun to accept connections.
func (f *Listener) Listening() bool { return f.listening.Load() }

// Leaving reports whether Stop has been called.
func (f *Listener) Leaving() bool { return f.leaving.Load() }

// serve handles one request. While the listener drains, each response has the
// header Connection: close, so that clients do not mistake the end of the
// connection for a failure. Of pipelined requests in progress only the last has it.
func (f *Listener) serve(ctx *fasthttp.RequestCtx) {
	f.pipeline.Begin(ctx)
	f.handle(ctx)
	f.pipeline.End(ctx, f.leaving.Load())
}

// handle calls the handler that the limit of connections allows. A panic ends only this
// request and its connection; the server would not recover it.
func (f *Listener) handle(ctx *fasthttp.RequestCtx) {
	handler := f.handler
	switch f.conns.serves(ctx.Conn()) {
	case yuccaconns.Refuse:
		handler = f.refuse
	case yuccaconns.Drop:
		handler = (*fasthttp.RequestCtx).SetConnectionClose
	}
	err := func() (err error) {
		defer yuccaerror.Recover(&err)
		handler(ctx)
		return nil
	}()
	if err != nil {
		f.log.Error().Err(err).Msg("handler_panicked")
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		ctx.SetConnectionClose()
	}
}

// refuse answers a request on a connection beyond the limit and closes the connection.
func (f *Listener) refuse(ctx *fasthttp.RequestCtx) {
	f.settings.Refuse(ctx)
	ctx.SetConnectionClose()
}

// discardLogger drops the log output of fasthttp, since every failure is logged as
// an event of its own.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
