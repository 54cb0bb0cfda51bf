package yuccafake

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

// API returns a handler that serves the platform's objects and list of instances
// over HTTP. The routes map an instance's address to the address at which the
// clients of this API reach it; addresses without a route stay as they are.
func API(p *Platform, routes map[string]string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		key, isObject := strings.CutPrefix(path, "/objects/")
		switch {
		case path == "/instances" && ctx.IsGet():
			list, err := p.Instances(ctx)
			writeReply(ctx, err, func() { writeJSON(ctx, mapAddresses(list, routes)) })
		case path == "/objects" && ctx.IsGet():
			serveList(ctx, p)
		case isObject && ctx.IsGet():
			o, err := p.Get(ctx, key)
			writeReply(ctx, err, func() {
				setObjectHeaders(ctx, o)
				ctx.SetBody(o.Value)
			})
		case isObject && ctx.IsPut():
			o, err := p.Put(ctx, key, ctx.PostBody(), writeCondition(ctx))
			writeReply(ctx, err, func() { setObjectHeaders(ctx, o) })
		case isObject && ctx.IsDelete():
			err := p.Delete(ctx, key, writeCondition(ctx))
			writeReply(ctx, err, func() { ctx.SetStatusCode(fasthttp.StatusNoContent) })
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// serveList answers a list or watch request.
func serveList(ctx *fasthttp.RequestCtx, p *Platform) {
	args := ctx.QueryArgs()
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	wait, _ := time.ParseDuration(string(args.Peek("wait")))
	page, err := p.List(ctx, string(args.Peek("prefix")), after, wait)
	writeReply(ctx, err, func() { writeJSON(ctx, page) })
}

// writeCondition returns the condition of a write from the request's If-Match and
// If-None-Match headers.
func writeCondition(ctx *fasthttp.RequestCtx) yuccastore.Cond {
	return yuccastore.Cond{
		Tag:    string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)),
		Absent: string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == "*",
	}
}

func setObjectHeaders(ctx *fasthttp.RequestCtx, o yuccastore.Object) {
	ctx.Response.Header.Set(fasthttp.HeaderETag, o.Tag)
	ctx.Response.Header.Set(yuccastore.SeqHeader, strconv.FormatUint(o.Seq, 10))
}

// writeReply calls write when err is nil; otherwise it sets the HTTP status for
// the kind of the error.
func writeReply(ctx *fasthttp.RequestCtx, err error, write func()) {
	switch yuccaerror.KindOf(err) {
	case yuccaerror.None:
		write()
	case yuccaerror.NotFound:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case yuccaerror.WriteConflict:
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case yuccaerror.TooLarge:
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// mapAddresses returns the list with the routes applied to each address.
func mapAddresses(list yuccastore.Instances, routes map[string]string) yuccastore.Instances {
	mapped := make([]yuccastore.Instance, len(list.Instances))
	for n, i := range list.Instances {
		i.Addr = mapAddress(routes, i.Addr)
		i.Peer = mapAddress(routes, i.Peer)
		mapped[n] = i
	}
	return yuccastore.Instances{Instances: mapped}
}

func mapAddress(routes map[string]string, addr string) string {
	if to, ok := routes[addr]; ok {
		return to
	}
	return addr
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
