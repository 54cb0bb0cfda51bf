package yuccatunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccarelay"
)

const (
	// peerProbeTimeout bounds the probe of a server for another entry. It leaves time for
	// the reply within tunnelTimeout.
	peerProbeTimeout = 400 * time.Millisecond
	// lastLookTimeout is how long a probe that has failed is looked at again, when the
	// replies of other entries have arrived. An entry that is short of CPU time sees the
	// server's response late.
	lastLookTimeout = 50 * time.Millisecond
)

// Silent implements yuccarelay.Path. It returns true while the entry is cut off by silent
// links: the request then gets no response on its direct connection.
func (d *Dialer) Silent(c net.Conn, server string, openedAt time.Time) (lost bool) {
	if _, tunneled := c.(*tunnelConn); tunneled {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	verify := d.detector.Silent(time.Now(), server, openedAt)
	d.failing.Store(true)
	if verify {
		select {
		case d.suspected <- struct{}{}:
		default:
		}
	}
	return d.detector.SilentlyCutOff()
}

// verifySilence finds out whether silent servers are out of reach of this entry alone.
// It probes one server first, which is enough if that responds.
func (d *Dialer) verifySilence(ctx context.Context) {
	servers := d.someRecent(verifyServers)
	if len(servers) < minFailedServers {
		return
	}
	firstCtx, cancel := context.WithTimeout(ctx, d.settings.Timeout)
	defer cancel()
	probed, reached, byOthers := 1, 1, 0
	if !d.closes(firstCtx, servers[0].Addr) {
		probed = len(servers)
		reached, byOthers = d.compareReach(ctx, servers)
	}
	d.mu.Lock()
	changed := d.detector.Silenced(time.Now(), probed, reached, byOthers)
	d.failing.Store(d.detector.Failing())
	d.mu.Unlock()
	if changed {
		d.log.Warn().Int("peers", len(d.peers())).Bool("silent", true).Msg("servers_unreachable")
		d.onChange(true)
	}
}

// compareReach probes servers directly and through other entries at the same time. It
// returns how many this entry reached, and how many other entries did.
func (d *Dialer) compareReach(ctx context.Context, servers []yuccarelay.Server) (reached, byOthers int) {
	var own, others atomic.Int64
	direct, tunneled := &errgroup.Group{}, &errgroup.Group{}
	for _, s := range servers {
		tunneled.Go(func() error {
			if d.probeViaPeers(ctx, s) {
				others.Add(1)
			}
			return nil
		})
	}
	for _, s := range servers {
		direct.Go(func() error {
			dialCtx, cancel := context.WithTimeout(ctx, verifyTimeouts*d.settings.Timeout)
			defer cancel()
			c, err := d.direct(dialCtx, s.Addr)
			if err != nil {
				return nil
			}
			defer c.Close()
			end := endConn(dialCtx, c)
			_ = tunneled.Wait()
			if end == stillOpen {
				end = awaitEnd(c, time.Now().Add(lastLookTimeout))
			}
			if end == endedByServer {
				own.Add(1)
			}
			return nil
		})
	}
	_ = direct.Wait()
	_ = tunneled.Wait()
	return int(own.Load()), int(others.Load())
}

// probeViaPeers reports whether another entry reaches a server. Several are asked at the
// same time, since one may be cut off too and not know it yet. Entries of builds without
// probes do not tell.
func (d *Dialer) probeViaPeers(ctx context.Context, to yuccarelay.Server) bool {
	var reached atomic.Bool
	group := &errgroup.Group{}
	peers := candidates(d.peers(), to)
	for _, p := range peers[:min(maxTunnelTries, len(peers))] {
		group.Go(func() error {
			c, reply, err := d.ask(ctx, p, &OpenRequest{Server: to.Name, From: d.settings.Self, Probe: true})
			if err != nil {
				return nil
			}
			_ = c.Close()
			if reply.GetProbed() {
				reached.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	return reached.Load()
}

// closes reports whether a server accepts a direct connection and responds to its end.
func (d *Dialer) closes(ctx context.Context, addr string) bool {
	c, err := d.direct(ctx, addr)
	if err != nil {
		return false
	}
	defer c.Close()
	return endConn(ctx, c) == endedByServer
}

// accepts reports whether a server accepts a direct connection and does not break it.
func (d *Dialer) accepts(ctx context.Context, addr string) bool {
	c, err := d.direct(ctx, addr)
	if err != nil {
		return false
	}
	defer c.Close()
	return endConn(ctx, c) != broken
}

// ending is what becomes of a new connection that this side ends without having sent a
// byte.
type ending uint8

const (
	// broken means that the connection failed, or that the other side ended it first, as
	// middleboxes do that do not reach the server.
	broken ending = iota
	// stillOpen means that nothing came back.
	stillOpen
	// endedByServer means that the other side responded by ending its side. That shows
	// that bytes get there and back; a request would show it too, but it would run.
	endedByServer
)

// endConn ends this side of a new connection and waits for the other side until ctx ends.
func endConn(ctx context.Context, c net.Conn) ending {
	if !staysOpen(c) {
		return broken
	}
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return broken
	}
	deadline, _ := ctx.Deadline()
	return awaitEnd(c, deadline)
}

// awaitEnd waits until a deadline for the other side to end a connection.
func awaitEnd(c net.Conn, deadline time.Time) ending {
	if err := c.SetReadDeadline(deadline); err != nil {
		return broken
	}
	_, err := io.Copy(io.Discard, c)
	switch {
	case err == nil:
		return endedByServer
	case isTimeout(err):
		return stillOpen
	}
	return broken
}

// isTimeout reports whether a deadline of a connection has passed.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
