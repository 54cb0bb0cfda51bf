// Package yuccafront listens for callers: it answers look-ups itself and hands
// every other request to the relay.
package yuccafront

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccapause"
)

// Settings of a Listener.
type Settings struct {
	// Addr is the address to listen on as host:port.
	Addr string
	// TTL is how long callers may keep the answer to a look-up.
	TTL time.Duration
	// DrainDelay is how long the entry goes on serving after it has left the
	// look-ups.
	DrainDelay time.Duration
	// DrainTimeout bounds the wait for the last answers after that; zero means none.
	DrainTimeout time.Duration
	// Full tells whether an entry has no slot of a service free; it may be nil.
	Full func(service, entry string) bool
}

const (
	// maxHeaderBytes leaves room for a request line beyond 16 KiB of fields.
	maxHeaderBytes = 20 << 10
	maxBodyBytes   = 1 << 50
	idleTimeout    = 2 * time.Minute
)

// Listener is the service that listens for callers. Make one with New.
type Listener struct {
	set     Settings
	handler fasthttp.RequestHandler
	log     zerolog.Logger
	server  *fasthttp.Server
	socket  net.Listener
	leaving atomic.Bool
	done    chan struct{}
}

// New returns a front that answers look-ups from source and hands every other
// request to relay.
func New(set Settings, source Source, relay fasthttp.RequestHandler, log zerolog.Logger) *Listener {
	l := lookup{set: set, source: source, relay: relay}
	return NewWithHandler(set, l.serve, refuse, log)
}

// NewWithHandler returns a front that hands every request to handler, and those that
// cannot be read to refuse.
func NewWithHandler(set Settings, handler fasthttp.RequestHandler, refuse func(*fasthttp.RequestCtx, error), log zerolog.Logger) *Listener {
	f := &Listener{set: set, handler: handler, log: log, done: make(chan struct{})}
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
		CloseOnShutdown:               true,
		ErrorHandler:                  refuse,
		Logger:                        quiet{},
	}
	return f
}

// Start implements yuccakernel.Service.
func (f *Listener) Start(_ context.Context, group *errgroup.Group) error {
	l, err := net.Listen("tcp", f.set.Addr)
	if err != nil {
		return err
	}
	f.log.Info().Str("addr", l.Addr().String()).Msg("listening")
	f.socket = l
	group.Go(func() error { return f.server.Serve(l) })
	return nil
}

// Stop serves until callers' look-ups have run out and the last request has
// ended.
func (f *Listener) Stop(ctx context.Context) error {
	defer close(f.done)
	f.leaving.Store(true)
	yuccapause.For(ctx, f.set.DrainDelay)
	_ = f.socket.Close()
	if f.set.DrainTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.set.DrainTimeout)
		defer cancel()
	}
	if err := f.server.ShutdownWithContext(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Done implements yuccakernel.Service.
func (f *Listener) Done() <-chan struct{} { return f.done }

// Leaving reports whether the entry is stopping.
func (f *Listener) Leaving() bool { return f.leaving.Load() }

// serve answers one request. An entry that is stopping ends each connection
// with an answer that says so, which a caller cannot mistake for a failure.
func (f *Listener) serve(ctx *fasthttp.RequestCtx) {
	f.handler(ctx)
	if f.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// quiet drops what fasthttp logs; every failure has its own event.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
