package main

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccafake"
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

// Validate implements yuccaconfig.Validator.
func (s *storeSettings) Validate() []yuccaconfig.Problem {
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
		all = append(all, listener{v.Addr, yuccafake.API(platform, v.Routes)})
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
