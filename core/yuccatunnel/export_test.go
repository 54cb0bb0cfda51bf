package yuccatunnel

import (
	"context"
	"net"

	"yuccawell.example/core/yuccarelay"
)

// SetDirect replaces the way in which the dialer opens direct connections.
func (d *Dialer) SetDirect(direct func(ctx context.Context, addr string) (net.Conn, error)) {
	d.direct = direct
}

// Candidates returns the peers for a tunnel to a server.
func Candidates(peers []Peer, to yuccarelay.Server) []Peer { return candidates(peers, to) }
