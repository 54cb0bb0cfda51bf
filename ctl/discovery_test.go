package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmin"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccadiscovery"
)

// serveStatus serves a status at an admin address, as an entry does, and returns
// the address.
func serveStatus(t *testing.T, status yuccadiscovery.Status) string {
	page := func() (any, error) { return status, nil }
	ready := func() (bool, string) { return true, "" }
	return serve(t, yuccaadmin.Handler(prometheus.NewRegistry(), ready, map[string]yuccaadmin.Page{"/status": page}, zerolog.Nop()))
}

func TestStatusOfAddresses(t *testing.T) {
	status := yuccadiscovery.Status{
		Name: "edge-1", Region: "catania", Domain: "ct-a", Ready: true, Routes: 7, Servers: 12, Age: 1500 * time.Millisecond,
		Evacuated: []string{"pa-b"}, Off: []string{"line", "ramp"}, Entries: []string{"edge-1", "edge-2"},
		Services: []yuccabalancer.Status{{
			Service: "search", InFlight: 3, MeanLatency: 20 * time.Millisecond, WarmLatency: 10 * time.Millisecond, ColdLatency: 40 * time.Millisecond,
			Common: yuccabalancer.TrafficSplit{"catania": 0.75, "palermo": 0.25},
		}},
	}
	leaving := status
	leaving.Leaving, leaving.Ready = true, false
	starting := yuccadiscovery.Status{Name: "edge-3"}
	notFound := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) })
	tests := []struct {
		name  string
		addrs []string
		exit  int
		want  string
	}{
		{"entry table", []string{serveStatus(t, status)}, 0, "ready  7       12       1.5s ago  2        pa-b       line,ramp"},
		{"service table", []string{serveStatus(t, status)}, 0, "3     20ms  10ms  40ms  catania:0.75,palermo:0.25"},
		{"leaving", []string{serveStatus(t, leaving)}, 0, "leaving"},
		{"starting", []string{serveStatus(t, starting)}, 0, "not ready"},
		{"one of two unreachable", []string{serveStatus(t, status), "127.0.0.1:1"}, 0, "unreachable"},
		{"none reachable", []string{"127.0.0.1:1"}, 3, "no entry answered"},
		{"no status page", []string{notFound}, 3, "no status"},
		{"address without port", []string{"127.0.0.1"}, 2, "missing port"},
		{"json", []string{"--json", serveStatus(t, status)}, 0, `"catania": 0.75`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out, exit := newOperatorEnv(t).run(append([]string{"status"}, test.addrs...)...)
			qt.Assert(t, exit, qt.Equals, test.exit, qt.Commentf("%s", out))
			qt.Assert(t, out, qt.Contains, test.want)
		})
	}
}
