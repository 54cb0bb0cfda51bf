package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaconfig"
)

// shutdownTimeout bounds the graceful shutdown of a listener.
const shutdownTimeout = 200 * time.Millisecond

// listener is an HTTP server to run: its address and its request handler.
type listener struct {
	addr    string
	handler fasthttp.RequestHandler
}

// serveAll serves every listener until ctx ends or one of them fails. A shutdown
// that exceeds shutdownTimeout is no error.
func serveAll(ctx context.Context, listeners []listener) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range listeners {
		server := &fasthttp.Server{Handler: l.handler, Name: "yucca-standin"}
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return err
		}
		group.Go(func() error { return server.Serve(ln) })
		group.Go(func() error {
			<-ctx.Done()
			shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			err := server.ShutdownWithContext(shutdownCtx)
			if errors.Is(err, context.DeadlineExceeded) {
				return nil
			}
			return err
		})
	}
	return group.Wait()
}

// writeJSON responds with v as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// decode merges the JSON request body into v: fields that the body leaves out
// keep their values. If the body is invalid it responds with status 400 and
// returns false.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error() + "\n")
		return false
	}
	return true
}

// checkAddr reports a problem with the setting key unless addr has the form
// HOST:PORT.
func checkAddr(key, addr string) []yuccaconfig.Problem {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return []yuccaconfig.Problem{{Key: key, Message: "not an address", Allowed: "an IP number and port such as 127.0.0.1:7000"}}
	}
	return nil
}
