// Package yuccaadmin serves operators on an address of its own: /live, /ready,
// /metrics and pages of JSON such as /status.
package yuccaadmin

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

// Page returns what a path shows as JSON.
type Page func() (any, error)

// Admin is the service for operators. Make one with New.
type Admin struct {
	addr   string
	server *fasthttp.Server
	socket net.Listener
	done   chan struct{}
}

// New returns an admin service for the given address. Each of the pages is served
// under its path, such as /status.
func New(addr string, registry *prometheus.Registry, probe Probe, pages map[string]Page) *Admin {
	handler := Handler(registry, probe, pages)
	return &Admin{addr: addr, server: &fasthttp.Server{Handler: handler, Name: "yuccawell", CloseOnShutdown: true}, done: make(chan struct{})}
}

// Handler answers what an admin service is asked.
func Handler(registry *prometheus.Registry, probe Probe, pages map[string]Page) fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if page, ok := pages[path]; ok {
			serveJSON(ctx, page)
			return
		}
		switch path {
		case "/live":
			ctx.SetBodyString("live\n")
		case "/ready":
			serveReady(ctx, probe)
		case "/metrics":
			metrics(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
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

func serveJSON(ctx *fasthttp.RequestCtx, page Page) {
	v, err := page()
	var body []byte
	if err == nil {
		body, err = json.Marshal(v)
	}
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
