package main

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccapause"
)

// serverSettings is the settings file of backend servers' stand-ins.
type serverSettings struct {
	// Control is the address for behaviour and the ledger.
	Control string `toml:"control"`
	// RestartDelay is how long a server that crashed stays away; zero means for good.
	RestartDelay yuccaconfig.Duration `toml:"revive"`
	Servers      []serverRow          `toml:"server"`
}

type serverRow struct {
	Name  string               `toml:"name"`
	Addr  string               `toml:"addr"`
	Slots int                  `toml:"slots"`
	Conns int                  `toml:"conns"`
	Work  yuccaconfig.Duration `toml:"work"`
	Rate  int                  `toml:"rate"`
	Shed  bool                 `toml:"shed"`
}

// Validate implements yuccaconfig.Validator.
func (s *serverSettings) Validate() []yuccaconfig.Problem {
	faults := checkAddr("control", s.Control)
	for _, r := range s.Servers {
		faults = append(faults, checkAddr("server.addr", r.Addr)...)
		if r.Slots < 1 {
			faults = append(faults, yuccaconfig.Problem{Key: "server.slots", Message: "too small", Allowed: "1 or more"})
		}
	}
	return faults
}

func runServers(ctx context.Context, set *serverSettings) error {
	ledger := yuccafake.NewExecutionLog()
	servers := map[string]*yuccafake.Server{}
	for _, r := range set.Servers {
		s := yuccafake.NewServer(r.Addr, yuccafake.Behaviour{
			Slots:        r.Slots,
			Conns:        r.Conns,
			Work:         time.Duration(r.Work),
			Rate:         r.Rate,
			Shed:         r.Shed,
			ReportedBusy: -1,
		}, ledger)
		if err := s.Start(); err != nil {
			return err
		}
		defer s.Close()
		servers[r.Name] = s
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serveAll(ctx, []listener{{set.Control, serverControl(servers, ledger)}}) })
	if set.RestartDelay > 0 {
		group.Go(func() error { return revive(ctx, servers, time.Duration(set.RestartDelay)) })
	}
	return group.Wait()
}

// revive starts crashed servers again.
func revive(ctx context.Context, servers map[string]*yuccafake.Server, after time.Duration) error {
	for yuccapause.For(ctx, after) {
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

// serverControl serves /ledger, /total and /servers/NAME.
func serverControl(servers map[string]*yuccafake.Server, ledger *yuccafake.ExecutionLog) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if path == "/ledger" {
			answer(ctx, ledger)
			return
		}
		if path == "/total" {
			answer(ctx, ledger.Total())
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
