package main

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccafault"
	"yuccawell.example/core/yuccaset"
	"yuccawell.example/core/yuccastore"
)

// storeSettings is the settings file of the platform's stand-in.
type storeSettings struct {
	// Control is the address for faults, instances and counts.
	Control string `toml:"control"`
	// Views are the addresses that entries use, one a region.
	Views []viewSettings `toml:"view"`
	// Instances is the list at the start.
	Instances []yuccastore.Instance `toml:"instance"`
}

// viewSettings is the platform as one region sees it.
type viewSettings struct {
	Addr   string `toml:"addr"`
	Region string `toml:"region"`
	// Routes maps an instance's address to the one that this region uses.
	Routes map[string]string `toml:"routes"`
}

// Check implements yuccaset.Checked.
func (s *storeSettings) Check() []yuccaset.Fault {
	faults := checkAddr("control", s.Control)
	for _, v := range s.Views {
		faults = append(faults, checkAddr("view.addr", v.Addr)...)
	}
	return faults
}

func runStore(ctx context.Context, set *storeSettings) error {
	platform := yuccafake.NewPlatform()
	platform.SetInstances(set.Instances...)
	all := []listener{{set.Control, storeControl(platform)}}
	for _, v := range set.Views {
		all = append(all, listener{v.Addr, storeView(platform, v)})
	}
	return serveAll(ctx, all)
}

// storeControl serves /faults, /calls and /instances/NAME.
func storeControl(p *yuccafake.Platform) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		name, isInstance := strings.CutPrefix(path, "/instances/")
		switch {
		case path == "/faults":
			f := p.Faults()
			if ctx.IsPost() && decode(ctx, &f) {
				p.Fail(f)
			}
			answer(ctx, f)
		case path == "/calls":
			answer(ctx, p.Calls())
		case isInstance && ctx.IsDelete():
			p.RemoveInstance(name)
		case isInstance && ctx.IsPut():
			i := instance(p, name)
			if decode(ctx, &i) {
				p.SetInstance(i)
			}
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func instance(p *yuccafake.Platform, name string) yuccastore.Instance {
	for _, i := range p.Listed() {
		if i.Name == name {
			return i
		}
	}
	return yuccastore.Instance{Name: name}
}

func storeView(p *yuccafake.Platform, v viewSettings) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		key, isObject := strings.CutPrefix(path, "/objects/")
		switch {
		case path == "/instances" && ctx.IsGet():
			list, err := p.Instances(ctx)
			reply(ctx, err, func() { answer(ctx, routed(list, v.Routes)) })
		case path == "/objects" && ctx.IsGet():
			serveList(ctx, p)
		case isObject && ctx.IsGet():
			o, err := p.Get(ctx, key)
			reply(ctx, err, func() {
				setObject(ctx, o)
				ctx.SetBody(o.Value)
			})
		case isObject && ctx.IsPut():
			o, err := p.Put(ctx, key, ctx.PostBody(), condition(ctx))
			reply(ctx, err, func() { setObject(ctx, o) })
		case isObject && ctx.IsDelete():
			err := p.Delete(ctx, key, condition(ctx))
			reply(ctx, err, func() { ctx.SetStatusCode(fasthttp.StatusNoContent) })
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func serveList(ctx *fasthttp.RequestCtx, p *yuccafake.Platform) {
	args := ctx.QueryArgs()
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	wait, _ := time.ParseDuration(string(args.Peek("wait")))
	page, err := p.List(ctx, string(args.Peek("prefix")), after, wait)
	reply(ctx, err, func() { answer(ctx, page) })
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

func reply(ctx *fasthttp.RequestCtx, err error, write func()) {
	switch yuccafault.KindOf(err) {
	case yuccafault.None:
		write()
	case yuccafault.Missing:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case yuccafault.Raced:
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case yuccafault.Large:
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
