package main

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccasleep"
)

// serverSettings is the settings file of the server command, which runs fake
// backend servers.
type serverSettings struct {
	// Control is the address that accepts changes of server behaviour and serves
	// the execution log.
	Control string `toml:"control"`
	// RestartDelay is the interval at which crashed servers are started again;
	// zero means never.
	RestartDelay yuccaconfig.Duration `toml:"revive"`
	// Servers are the fake backend servers to run.
	Servers []serverRow `toml:"server"`
}

// serverRow is one fake backend server.
type serverRow struct {
	// Name identifies the server in the control API.
	Name string `toml:"name"`
	// Addr is the address that the server listens on.
	Addr string `toml:"addr"`
	// Slots is the number of requests that the server handles concurrently.
	Slots int `toml:"slots"`
	// Conns is the maximum number of open connections.
	Conns int `toml:"conns"`
	// Work is how long the server works on a request.
	Work yuccaconfig.Duration `toml:"work"`
	// Rate bounds the bytes per second of one response; zero means no bound.
	Rate int `toml:"rate"`
	// Shed makes the server reject requests while no slot is free; otherwise they
	// wait for a slot.
	Shed bool `toml:"shed"`
}

// Validate implements yuccaconfig.Validator.
func (s *serverSettings) Validate() []yuccaconfig.Problem {
	problems := checkAddr("control", s.Control)
	for _, r := range s.Servers {
		problems = append(problems, checkAddr("server.addr", r.Addr)...)
		if r.Slots < 1 {
			problems = append(problems, yuccaconfig.Problem{Key: "server.slots", Message: "too small", Allowed: "1 or more"})
		}
	}
	return problems
}

// runServers runs the fake backend servers and their control server until ctx
// ends.
func runServers(ctx context.Context, set *serverSettings) error {
	executions := yuccafake.NewExecutionLog()
	servers := map[string]*yuccafake.Server{}
	for _, r := range set.Servers {
		s := yuccafake.NewServer(r.Addr, yuccafake.Behaviour{
			Slots:        r.Slots,
			Conns:        r.Conns,
			Work:         time.Duration(r.Work),
			Rate:         r.Rate,
			Shed:         r.Shed,
			ReportedBusy: -1,
		}, executions)
		if err := s.Start(); err != nil {
			return err
		}
		defer s.Close()
		servers[r.Name] = s
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serveAll(ctx, []listener{{set.Control, serverControl(servers, executions)}}) })
	if set.RestartDelay > 0 {
		group.Go(func() error { return restartCrashed(ctx, servers, time.Duration(set.RestartDelay)) })
	}
	return group.Wait()
}

// restartCrashed starts the crashed servers again, once per interval.
func restartCrashed(ctx context.Context, servers map[string]*yuccafake.Server, interval time.Duration) error {
	for yuccasleep.For(ctx, interval) {
		for _, s := range servers {
			if !s.Alive() {
				if err := s.Start(); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// serverControl returns the handler of the control server: /ledger returns the
// execution log, /total its summary. A DELETE of /servers/NAME crashes that
// server; any other method merges the JSON body into its behaviour.
func serverControl(servers map[string]*yuccafake.Server, executions *yuccafake.ExecutionLog) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if path == "/ledger" {
			writeJSON(ctx, executions)
			return
		}
		if path == "/total" {
			writeJSON(ctx, executions.Total())
			return
		}
		name, _ := strings.CutPrefix(path, "/servers/")
		s, ok := servers[name]
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		if ctx.IsDelete() {
			s.Crash()
			return
		}
		s.UpdateBehaviour(func(b *yuccafake.Behaviour) { decode(ctx, b) })
	}
}
