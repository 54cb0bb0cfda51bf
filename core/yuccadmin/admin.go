// Package yuccadmin serves operators on an address of its own: /live, /ready,
// /metrics and /status.
package yuccadmin

import (
	"context"
	"encoding/json"
	"errors"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"golang.org/x/sync/errgroup"
)

// Probe says whether the entry can serve, and why not when it cannot.
type Probe func() (ready bool, reason string)

// Status returns what /status shows as JSON.
type Status func() any

// Admin is the service for operators. Make one with New.
type Admin struct {
	addr   string
	server *fasthttp.Server
	socket net.Listener
	done   chan struct{}
}

// New returns an admin service for the given address.
func New(addr string, registry *prometheus.Registry, probe Probe, status Status) *Admin {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	handler := func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/live":
			ctx.SetBodyString("live\n")
		case "/ready":
			serveReady(ctx, probe)
		case "/metrics":
			metrics(ctx)
		case "/status":
			serveJSON(ctx, status())
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
	return &Admin{addr: addr, server: &fasthttp.Server{Handler: handler, Name: "yuccawell", CloseOnShutdown: true}, done: make(chan struct{})}
}

func serveReady(ctx *fasthttp.RequestCtx, probe Probe) {
	ready, reason := probe()
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func serveJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Start implements yuccakernel.Service.
func (a *Admin) Start(_ context.Context, group *errgroup.Group) error {
	l, err := net.Listen("tcp", a.addr)
	if err != nil {
		return err
	}
	a.socket = l
	group.Go(func() error { return a.server.Serve(l) })
	return nil
}

// Stop implements yuccakernel.Service.
func (a *Admin) Stop(ctx context.Context) error {
	defer close(a.done)
	_ = a.socket.Close()
	if err := a.server.ShutdownWithContext(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Done implements yuccakernel.Service.
func (a *Admin) Done() <-chan struct{} { return a.done }
