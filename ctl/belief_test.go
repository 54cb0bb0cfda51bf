package main

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmin"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccadiscovery"
)

// adminOf serves a belief as an entry does.
func adminOf(t *testing.T, b yuccadiscovery.Status) string {
	page := func() (any, error) { return b, nil }
	ready := func() (bool, string) { return true, "" }
	return serve(t, yuccaadmin.Handler(prometheus.NewRegistry(), ready, map[string]yuccaadmin.Page{"/status": page}))
}

func TestStatusOfAddresses(t *testing.T) {
	b := yuccadiscovery.Status{
		Name: "edge-1", Region: "catania", Domain: "ct-a", Ready: true, Routes: 7, Servers: 12, Age: 1500 * time.Millisecond,
		Evacuated: []string{"pa-b"}, Entries: []string{"edge-1", "edge-2"},
		Services: []yuccabalancer.Status{{
			Service: "search", Busy: 3, MeanLatency: 20 * time.Millisecond, WarmLatency: 10 * time.Millisecond, ColdLatency: 40 * time.Millisecond,
			Shares: yuccabalancer.TrafficSplit{"catania": 0.75, "palermo": 0.25},
		}},
	}
	leaving := b
	leaving.Leaving, leaving.Ready = true, false
	starting := yuccadiscovery.Status{Name: "edge-3"}
	mute := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) })
	tests := []struct {
		name string
		addr []string
		exit int
		want string
	}{
		{"versions", []string{adminOf(t, b)}, 0, "ready  7       12       1.5s ago  2        pa-b"},
		{"services", []string{adminOf(t, b)}, 0, "3     20ms  10ms  40ms  catania:0.75,palermo:0.25"},
		{"leaving", []string{adminOf(t, leaving)}, 0, "leaving"},
		{"starting", []string{adminOf(t, starting)}, 0, "not ready"},
		{"one of two", []string{adminOf(t, b), "127.0.0.1:1"}, 0, "unreachable"},
		{"none", []string{"127.0.0.1:1"}, 3, "no entry answered"},
		{"no page", []string{mute}, 3, "no status"},
		{"no port", []string{"127.0.0.1"}, 2, "missing port"},
		{"json", []string{"--json", adminOf(t, b)}, 0, `"catania": 0.75`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out, exit := newDesk(t).run(append([]string{"status"}, test.addr...)...)
			qt.Assert(t, exit, qt.Equals, test.exit, qt.Commentf("%s", out))
			qt.Assert(t, out, qt.Contains, test.want)
		})
	}
}
