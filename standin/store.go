package main

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccastore"
)

// storeSettings is the settings file of the store command, which runs a fake of
// the platform.
type storeSettings struct {
	// Control is the address that accepts faults and changes of instances and
	// serves the call counts.
	Control string `toml:"control"`
	// Views are the addresses that entries use, one for each region.
	Views []viewSettings `toml:"view"`
	// Instances is the initial list of instances.
	Instances []yuccastore.Instance `toml:"instance"`
}

// viewSettings is the platform API as one region sees it.
type viewSettings struct {
	// Addr is the address that the API listens on.
	Addr string `toml:"addr"`
	// Region is the name of the region.
	Region string `toml:"region"`
	// Routes maps an instance's real address to the one that this region uses.
	Routes map[string]string `toml:"routes"`
}

// Validate implements yuccaconfig.Validator.
func (s *storeSettings) Validate() []yuccaconfig.Problem {
	problems := checkAddr("control", s.Control)
	for _, v := range s.Views {
		problems = append(problems, checkAddr("view.addr", v.Addr)...)
	}
	return problems
}

// runStore runs the fake platform and its control server until ctx ends.
func runStore(ctx context.Context, set *storeSettings) error {
	platform := yuccafake.NewPlatform()
	platform.SetInstances(set.Instances...)
	listeners := []listener{{set.Control, storeControl(platform)}}
	for _, v := range set.Views {
		listeners = append(listeners, listener{v.Addr, yuccafake.API(platform, v.Routes)})
	}
	return serveAll(ctx, listeners)
}

// storeControl returns the handler of the control server: /faults returns the
// injected faults and merges a POST body into them, /calls returns the call
// counts, and /instances/NAME accepts PUT, which merges the body into the
// instance, and DELETE.
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
			writeJSON(ctx, f)
		case path == "/calls":
			writeJSON(ctx, p.Calls())
		case isInstance && ctx.IsDelete():
			p.RemoveInstance(name)
		case isInstance && ctx.IsPut():
			i := findInstance(p, name)
			if decode(ctx, &i) {
				p.SetInstance(i)
			}
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// findInstance returns the instance with the given name, or a new one with only
// the name set.
func findInstance(p *yuccafake.Platform, name string) yuccastore.Instance {
	for _, i := range p.CurrentInstances() {
		if i.Name == name {
			return i
		}
	}
	return yuccastore.Instance{Name: name}
}
