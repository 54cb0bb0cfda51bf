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

// discoveryStatus is the state that one entry reports at its admin address, as far
// as that entry knows the system, or the reason why it could not be fetched.
type discoveryStatus struct {
	yuccadiscovery.Status
	// Addr is the admin address, host and port.
	Addr string `json:"addr"`
	// FetchError is the reason why the status could not be fetched. Empty means
	// that it was fetched.
	FetchError string `json:"fault,omitempty"`
}

// showDiscovery fetches and prints the status of the entries at the given admin
// addresses. It needs neither settings nor the platform. When no entry answers,
// its error is of kind PlatformUnavailable.
func (a *app) showDiscovery(addrs []string) error {
	var all []discoveryStatus
	answered := false
	for _, addr := range addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return yuccaerror.Wrap(yuccaerror.Usage, err)
		}
		e := fetchDiscoveryStatus(addr)
		answered = answered || e.FetchError == ""
		all = append(all, e)
	}
	if err := a.output(all, func() { a.printDiscovery(all) }); err != nil {
		return err
	}
	if !answered {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "no entry answered at %s; check the admin addresses", strings.Join(addrs, ", "))
	}
	return nil
}

// fetchDiscoveryStatus fetches the status from an admin address.
func fetchDiscoveryStatus(addr string) discoveryStatus {
	e := discoveryStatus{Addr: addr}
	status, body, err := getAdminPage(addr, "/status")
	switch {
	case err != nil:
		e.FetchError = "unreachable"
	case status != fasthttp.StatusOK:
		e.FetchError = "no status"
	case json.Unmarshal(body, &e.Status) != nil:
		e.FetchError = "status unreadable"
	}
	return e
}

// printDiscovery prints a table with a line per entry, and one with a line per
// entry and service.
func (a *app) printDiscovery(all []discoveryStatus) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	row := func(cells ...string) { _, _ = w.Write([]byte(strings.Join(cells, "\t") + "\n")) }
	row("ENTRY", "REGION", "DOMAIN", "STATE", "ROUTES", "SERVERS", "TOLD", "ENTRIES", "EVACUATED", "OFF")
	for _, e := range all {
		if e.FetchError != "" {
			row(e.Addr, "", "", e.FetchError)
			continue
		}
		row(e.Name, e.Region, e.Domain, e.state(), formatUint(e.Routes), formatUint(uint64(e.Servers)),
			e.Age.Round(time.Millisecond).String()+" ago", formatUint(uint64(len(e.Entries))), strings.Join(e.Evacuated, ","), strings.Join(e.Off, ","))
	}
	row("")
	row("ENTRY", "SERVICE", "BUSY", "PACE", "WARM", "COLD", "SHARES")
	for _, e := range all {
		for _, s := range e.Services {
			row(e.Name, s.Service, formatUint(uint64(s.InFlight)), formatMillis(s.MeanLatency), formatMillis(s.WarmLatency), formatMillis(s.ColdLatency), s.Common.String())
		}
	}
}

// state returns the text of the STATE column.
func (b discoveryStatus) state() string {
	switch {
	case b.Leaving:
		return "leaving"
	case !b.Ready:
		return "not ready"
	}
	return "ready"
}

// formatMillis rounds a duration to milliseconds.
func formatMillis(d time.Duration) string { return d.Round(time.Millisecond).String() }
