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

// API serves a platform over HTTP. The routes map an instance's address to the
// one that the callers of this API use.
func API(p *Platform, routes map[string]string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		key, isObject := strings.CutPrefix(path, "/objects/")
		switch {
		case path == "/instances" && ctx.IsGet():
			list, err := p.Instances(ctx)
			replyTo(ctx, err, func() { answerJSON(ctx, routed(list, routes)) })
		case path == "/objects" && ctx.IsGet():
			serveList(ctx, p)
		case isObject && ctx.IsGet():
			o, err := p.Get(ctx, key)
			replyTo(ctx, err, func() {
				setObject(ctx, o)
				ctx.SetBody(o.Value)
			})
		case isObject && ctx.IsPut():
			o, err := p.Put(ctx, key, ctx.PostBody(), condition(ctx))
			replyTo(ctx, err, func() { setObject(ctx, o) })
		case isObject && ctx.IsDelete():
			err := p.Delete(ctx, key, condition(ctx))
			replyTo(ctx, err, func() { ctx.SetStatusCode(fasthttp.StatusNoContent) })
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func serveList(ctx *fasthttp.RequestCtx, p *Platform) {
	args := ctx.QueryArgs()
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	wait, _ := time.ParseDuration(string(args.Peek("wait")))
	page, err := p.List(ctx, string(args.Peek("prefix")), after, wait)
	replyTo(ctx, err, func() { answerJSON(ctx, page) })
}

func condition(ctx *fasthttp.RequestCtx) yuccastore.Cond {
	return yuccastore.Cond{
		Tag:    string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)),
		Absent: string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == "*",
	}
}

func setObject(ctx *fasthttp.RequestCtx, o yuccastore.Object) {
	ctx.Response.Header.Set(fasthttp.HeaderETag, o.Tag)
	ctx.Response.Header.Set(yuccastore.SeqHeader, strconv.FormatUint(o.Seq, 10))
}

func replyTo(ctx *fasthttp.RequestCtx, err error, write func()) {
	switch yuccaerror.KindOf(err) {
	case yuccaerror.None:
		write()
	case yuccaerror.Missing:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case yuccaerror.WriteConflict:
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case yuccaerror.Large:
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// routed replaces addresses by those that a region uses.
func routed(list yuccastore.Instances, routes map[string]string) yuccastore.Instances {
	seen := make([]yuccastore.Instance, len(list.Instances))
	for n, i := range list.Instances {
		i.Addr = route(routes, i.Addr)
		i.Peer = route(routes, i.Peer)
		seen[n] = i
	}
	return yuccastore.Instances{Instances: seen}
}

func route(routes map[string]string, addr string) string {
	if to, ok := routes[addr]; ok {
		return to
	}
	return addr
}

func answerJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
