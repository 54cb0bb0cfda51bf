// Package yuccaadmin is the HTTP server for operators, on a separate address. It
// serves the probes /live and /ready, the Prometheus metrics under /metrics, and
// pages of JSON such as /status.
//
//	admin := yuccaadmin.New("127.0.0.1:7103", registry, probe, map[string]yuccaadmin.Page{
//		"/status": func() (any, error) { return status, nil },
//	}, log)
//	kernel.Add("admin", admin)
package yuccaadmin

import (
	"context"
	"encoding/json"
	"errors"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccalog"
	"yuccawell.example/core/yuccasocket"
)

// failureLinesPerSecond limits the log lines about pages that fail.
const failureLinesPerSecond = 1

// Probe reports whether the process is ready to serve requests, and the reason if
// it is not.
type Probe func() (ready bool, reason string)

// Page returns the value that a path serves as JSON. An error makes the response
// status 500.
type Page func() (any, error)

// Admin is the HTTP server for operators, a service of yuccakernel. Make one with
// New.
type Admin struct {
	addr     string
	server   *fasthttp.Server
	log      zerolog.Logger
	listener net.Listener
	done     chan struct{}
}

// New returns an admin server that listens on addr as host:port once it is
// started. It serves each of the pages under its path, such as /status.
func New(addr string, registry *prometheus.Registry, probe Probe, pages map[string]Page, log zerolog.Logger) *Admin {
	handler := Handler(registry, probe, pages, log)
	return &Admin{addr: addr, log: log, server: &fasthttp.Server{Handler: handler, Name: "yuccawell", CloseOnShutdown: true}, done: make(chan struct{})}
}

// Handler returns the request handler of an admin server. The response to
// any unknown path has status 404. Pages that fail are logged.
func Handler(registry *prometheus.Registry, probe Probe, pages map[string]Page, log zerolog.Logger) fasthttp.RequestHandler {
	failures := log.Sample(yuccalog.NewRateSampler(failureLinesPerSecond))
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if page, ok := pages[path]; ok {
			if err := serveJSON(ctx, page); err != nil {
				failures.Warn().Err(err).Str("path", path).Msg("page_failed")
			}
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

// serveReady answers with status 200 if the probe is ready, else with status 503
// and the reason.
func serveReady(ctx *fasthttp.RequestCtx, probe Probe) {
	ready, reason := probe()
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// serveJSON answers with the value of a page as JSON, or with status 500 and an error.
func serveJSON(ctx *fasthttp.RequestCtx, page Page) error {
	v, err := page()
	var body []byte
	if err == nil {
		body, err = json.Marshal(v)
	}
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return err
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	return nil
}

// Start listens on the server's address and serves in the background.
func (a *Admin) Start(_ context.Context, group *errgroup.Group) error {
	l, err := net.Listen("tcp", a.addr)
	if err != nil {
		return err
	}
	a.listener = yuccasocket.NewListener(l, l.Addr().String(), a.log)
	group.Go(func() error { return a.server.Serve(a.listener) })
	return nil
}

// Stop closes the listener and waits for the requests in flight until ctx ends.
func (a *Admin) Stop(ctx context.Context) error {
	defer close(a.done)
	_ = a.listener.Close()
	if err := a.server.ShutdownWithContext(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Done implements yuccakernel.Service.
func (a *Admin) Done() <-chan struct{} { return a.done }
