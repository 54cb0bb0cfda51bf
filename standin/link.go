package main

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccafake"
)

// linkSettings is the settings file of links.
type linkSettings struct {
	Control string    `toml:"control"`
	Links   []linkRow `toml:"link"`
}

type linkRow struct {
	// Name is shared by all links that are cut together.
	Name    string               `toml:"name"`
	Addr    string               `toml:"addr"`
	To      string               `toml:"to"`
	Delay   yuccaconfig.Duration `toml:"delay"`
	Rate    int                  `toml:"rate"`
	Silence yuccaconfig.Duration `toml:"silence"`
}

// Validate implements yuccaconfig.Validator.
func (s *linkSettings) Validate() []yuccaconfig.Problem {
	faults := checkAddr("control", s.Control)
	for _, r := range s.Links {
		faults = append(faults, checkAddr("link.addr", r.Addr)...)
		faults = append(faults, checkAddr("link.to", r.To)...)
	}
	return faults
}

func (r linkRow) line() yuccafake.LinkConditions {
	return yuccafake.LinkConditions{Delay: time.Duration(r.Delay), Rate: r.Rate, BlackholeAfter: time.Duration(r.Silence)}
}

func runLinks(ctx context.Context, set *linkSettings) error {
	links := map[string][]*yuccafake.TCPProxy{}
	lines := map[string]yuccafake.LinkConditions{}
	for _, r := range set.Links {
		l := yuccafake.NewTCPProxy(r.Addr, r.To, r.line())
		if err := l.Start(); err != nil {
			return err
		}
		defer l.Close()
		links[r.Name] = append(links[r.Name], l)
		lines[r.Name] = r.line()
	}
	return serveAll(ctx, []listener{{set.Control, linkControl(links, lines)}})
}

// linkControl serves /links/NAME, which takes a line as JSON.
func linkControl(links map[string][]*yuccafake.TCPProxy, lines map[string]yuccafake.LinkConditions) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		name, _ := strings.CutPrefix(string(ctx.Path()), "/links/")
		line, ok := lines[name]
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		if !decode(ctx, &line) {
			return
		}
		for _, l := range links[name] {
			l.Set(line)
		}
	}
}
