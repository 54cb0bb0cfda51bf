package yuccarelay

import "sync/atomic"

// TunnelCounts are the numbers of requests that were sent through other entries.
type TunnelCounts struct {
	// New is the number on tunnels that were opened for the request.
	New uint64
	// Reused is the number on tunnels that had carried another request.
	Reused uint64
	// Outside is the number of those whose other entry was outside the request's regions.
	Outside uint64
}

// tunnelCounters counts requests that go through other entries.
type tunnelCounters struct{ opened, reused, outside atomic.Uint64 }

// Tunneled returns how many requests were sent through other entries.
func (r *Relay) Tunneled() TunnelCounts {
	c := &r.tunneled
	return TunnelCounts{New: c.opened.Load(), Reused: c.reused.Load(), Outside: c.outside.Load()}
}

// countTunnel counts an attempt that goes through another entry, and logs it if that entry
// is outside the regions of the request.
func (a *attempt) countTunnel() {
	t, ok := a.conn.Conn.(Tunnel)
	if !ok {
		return
	}
	relay := a.task.relay
	if a.reusedConn {
		relay.tunneled.reused.Add(1)
	} else {
		relay.tunneled.opened.Add(1)
	}
	to := a.server()
	if to.allows(a.conn.Conn) {
		return
	}
	relay.tunneled.outside.Add(1)
	relay.failures.Warn().
		Str("request", a.task.id).
		Str("server", a.ticket.Server).
		Str("via", t.Via()).
		Str("region", t.ViaRegion()).
		Strs("regions", to.Regions).
		Bool("reused", a.reusedConn).
		Uint64("routes", a.task.route.Version).
		Msg("tunnel_outside_regions")
}
