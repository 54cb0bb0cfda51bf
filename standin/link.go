package main

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccafake"
)

// linkSettings is the settings file of the link command, which runs TCP proxies
// that simulate the network between regions.
type linkSettings struct {
	// Control is the address that accepts changes of link conditions.
	Control string `toml:"control"`
	// Links are the TCP proxies to run.
	Links []linkRow `toml:"link"`
}

// linkRow is one TCP proxy and its initial conditions.
type linkRow struct {
	// Name is shared by all links whose conditions change together.
	Name string `toml:"name"`
	// Addr is the address that the proxy listens on.
	Addr string `toml:"addr"`
	// To is the address that the proxy connects to.
	To string `toml:"to"`
	// Delay is added in each direction.
	Delay yuccaconfig.Duration `toml:"delay"`
	// Rate bounds the bytes per second in each direction; zero means no bound.
	Rate int `toml:"rate"`
	// Silence is the connection age from which the link drops all bytes without
	// closing the connection; zero means never.
	Silence yuccaconfig.Duration `toml:"silence"`
}

// Validate implements yuccaconfig.Validator.
func (s *linkSettings) Validate() []yuccaconfig.Problem {
	problems := checkAddr("control", s.Control)
	for _, r := range s.Links {
		problems = append(problems, checkAddr("link.addr", r.Addr)...)
		problems = append(problems, checkAddr("link.to", r.To)...)
	}
	return problems
}

// conditions returns the initial conditions of the link.
func (r linkRow) conditions() yuccafake.LinkConditions {
	return yuccafake.LinkConditions{Delay: time.Duration(r.Delay), Rate: r.Rate, BlackholeAfter: time.Duration(r.Silence)}
}

// runLinks runs the TCP proxies and their control server until ctx ends.
func runLinks(ctx context.Context, set *linkSettings) error {
	links := map[string][]*yuccafake.TCPProxy{}
	initial := map[string]yuccafake.LinkConditions{}
	for _, r := range set.Links {
		l := yuccafake.NewTCPProxy(r.Addr, r.To, r.conditions())
		if err := l.Start(); err != nil {
			return err
		}
		defer l.Close()
		links[r.Name] = append(links[r.Name], l)
		initial[r.Name] = r.conditions()
	}
	return serveAll(ctx, []listener{{set.Control, linkControl(links, initial)}})
}

// linkControl returns the handler of /links/NAME, which sets the conditions of
// all links with that name. Fields that the JSON body leaves out keep the values
// of the settings file.
func linkControl(links map[string][]*yuccafake.TCPProxy, initial map[string]yuccafake.LinkConditions) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		name, _ := strings.CutPrefix(string(ctx.Path()), "/links/")
		conditions, ok := initial[name]
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		if !decode(ctx, &conditions) {
			return
		}
		for _, l := range links[name] {
			l.SetConditions(conditions)
		}
	}
}
