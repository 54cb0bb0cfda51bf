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

// stopWait bounds the end of a listener.
const stopWait = 200 * time.Millisecond

// listener is an address and what answers on it.
type listener struct {
	addr    string
	handler fasthttp.RequestHandler
}

// serveAll answers on every address until ctx ends.
func serveAll(ctx context.Context, all []listener) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range all {
		server := &fasthttp.Server{Handler: l.handler, Name: "yucca-standin"}
		socket, err := net.Listen("tcp", l.addr)
		if err != nil {
			return err
		}
		group.Go(func() error { return server.Serve(socket) })
		group.Go(func() error {
			<-ctx.Done()
			end, cancel := context.WithTimeout(context.Background(), stopWait)
			defer cancel()
			err := server.ShutdownWithContext(end)
			if errors.Is(err, context.DeadlineExceeded) {
				return nil
			}
			return err
		})
	}
	return group.Wait()
}

// answer writes v as JSON.
func answer(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// decode reads JSON over the values that v holds.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error() + "\n")
		return false
	}
	return true
}

func checkAddr(key, addr string) []yuccaconfig.Problem {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return []yuccaconfig.Problem{{Key: key, Message: "not an address", Allowed: "an IP number and port such as 127.0.0.1:7000"}}
	}
	return nil
}
