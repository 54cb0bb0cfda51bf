package yuccatunnel

import (
	"context"
	"errors"
	"net"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccarelay"
)

const (
	// tunnelTimeout bounds the wait for a tunnel: its connection, and that of the other
	// entry to the server.
	tunnelTimeout = 600 * time.Millisecond
	// maxTunnelTries is how many other entries are asked for one connection.
	maxTunnelTries = 2
)

// keepAlive detects the silent death of the other entry of a tunnel.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// errCutOff is the cause of a failed connection of an entry that is cut off while no
// other entry can help.
var errCutOff = errors.New("no server can be reached, and no other entry carries a tunnel")

// tunnel opens a connection to a server through another entry. The error wraps
// errCutOff if no other entry could be asked, and yuccarelay.ErrNoCarrier if those that
// could are in regions that the request may not pass.
func (d *Dialer) tunnel(ctx context.Context, to yuccarelay.Server) (net.Conn, error) {
	all := d.peers()
	peers := candidates(all, to)
	err := yuccaerror.Wrap(yuccaerror.Unreachable, errCutOff)
	if len(peers) == 0 && len(candidates(all, to.WithoutRegions())) > 0 {
		err = yuccaerror.Wrap(yuccaerror.Unreachable, yuccarelay.ErrNoCarrier)
	}
	for _, p := range peers[:min(maxTunnelTries, len(peers))] {
		var c net.Conn
		if c, err = d.tunnelVia(ctx, p, to.Name); err == nil {
			d.tunnels.Add(1)
			return c, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// tunnelVia opens a tunnel through one entry.
func (d *Dialer) tunnelVia(ctx context.Context, p Peer, server string) (net.Conn, error) {
	c, reply, err := d.ask(ctx, p, &OpenRequest{Server: server, From: d.settings.Self, Framed: true})
	if err != nil {
		return nil, err
	}
	return newTunnelConn(c, p, reply.GetFramed(), &d.cut), nil
}

// ask connects to another entry, sends it a request and reads the reply.
func (d *Dialer) ask(ctx context.Context, p Peer, request *OpenRequest) (*net.TCPConn, *OpenReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return nil, nil, yuccaerror.New(yuccaerror.Unreachable, "tunnel through %s: %w", p.Name, err)
	}
	c, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, nil, yuccaerror.New(yuccaerror.Internal, "tunnel through %s is no TCP connection", p.Name)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	reply, err := openTunnel(c, request)
	if !stop() || err != nil {
		_ = c.Close()
		return nil, nil, yuccaerror.New(yuccaerror.Unreachable, "tunnel through %s: %w", p.Name, errors.Join(err, ctx.Err()))
	}
	return c, reply, nil
}

// openTunnel asks the other entry for the server and reads the reply.
func openTunnel(c net.Conn, request *OpenRequest) (*OpenReply, error) {
	if err := writeMessage(c, request); err != nil {
		return nil, err
	}
	reply := &OpenReply{}
	if err := readMessage(c, reply); err != nil {
		return nil, err
	}
	if kind := reply.GetKind(); kind != "" {
		return nil, errors.New("the other entry has no connection to the server: " + kind)
	}
	return reply, nil
}
