package main

import (
	"encoding/json"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccadiscovery"
	"yuccawell.example/core/yuccaerror"
)

// belief is what an entry takes for true, or why it told nothing.
type belief struct {
	yuccadiscovery.Status
	Addr  string `json:"addr"`
	Fault string `json:"fault,omitempty"`
}

// showBeliefs asks the entries at the given admin addresses what they take for
// true. It needs no settings and no platform. When none answers, its error is of
// kind Platform.
func (a *app) showBeliefs(addrs []string) error {
	var all []belief
	answered := false
	for _, addr := range addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return yuccaerror.Wrap(yuccaerror.Usage, err)
		}
		b := askBelief(addr)
		answered = answered || b.Fault == ""
		all = append(all, b)
	}
	if err := a.show(all, func() { a.printBeliefs(all) }); err != nil {
		return err
	}
	if !answered {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "no entry answered at %s", strings.Join(addrs, ", "))
	}
	return nil
}

func askBelief(addr string) belief {
	b := belief{Addr: addr}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+"/status", askTimeout)
	switch {
	case err != nil:
		b.Fault = "unreachable"
	case status != fasthttp.StatusOK:
		b.Fault = "no status"
	case json.Unmarshal(body, &b.Status) != nil:
		b.Fault = "status unreadable"
	}
	return b
}

// printBeliefs prints a line for each entry and one for each of its services.
func (a *app) printBeliefs(all []belief) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	row := func(cells ...string) { _, _ = w.Write([]byte(strings.Join(cells, "\t") + "\n")) }
	row("ENTRY", "REGION", "DOMAIN", "STATE", "ROUTES", "SERVERS", "TOLD", "ENTRIES", "EVACUATED")
	for _, b := range all {
		if b.Fault != "" {
			row(b.Addr, "", "", b.Fault)
			continue
		}
		row(b.Name, b.Region, b.Domain, b.state(), number(b.Routes), number(uint64(b.Servers)),
			b.Age.Round(time.Millisecond).String()+" ago", number(uint64(len(b.Entries))), strings.Join(b.Evacuated, ","))
	}
	row("")
	row("ENTRY", "SERVICE", "BUSY", "PACE", "WARM", "COLD", "SHARES")
	for _, b := range all {
		for _, s := range b.Services {
			row(b.Name, s.Service, number(uint64(s.Busy)), round(s.MeanLatency), round(s.WarmLatency), round(s.ColdLatency), s.Shares.String())
		}
	}
}

func (b belief) state() string {
	switch {
	case b.Leaving:
		return "leaving"
	case !b.Ready:
		return "not ready"
	}
	return "ready"
}

func round(d time.Duration) string { return d.Round(time.Millisecond).String() }
