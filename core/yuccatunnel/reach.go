package yuccatunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccarelay"
)

const (
	// probeInterval is the time between two direct connections that look for the end of
	// a partition.
	probeInterval = 500 * time.Millisecond
	// probeHold is how long a new connection is watched for the other side to break it,
	// as middleboxes do that accept connections which they then do not forward.
	probeHold = 50 * time.Millisecond
	// maxRecentServers is how many servers are remembered for probes.
	maxRecentServers = 16
	// verifyServers is how many of them are connected to before the entry counts as cut
	// off.
	verifyServers = 3
	// verifyTimeouts bounds the wait for them, as a multiple of the timeout of a direct
	// connection.
	verifyTimeouts = 2
)

// remember keeps a server for probes. These carry no request, so that they may go
// through entries of any region.
func (d *Dialer) remember(s yuccarelay.Server) {
	s = s.WithoutRegions()
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.IndexFunc(d.recent, func(r yuccarelay.Server) bool { return r.Addr == s.Addr }); i >= 0 {
		// The address may have belonged to another server.
		d.recent[i] = s
		return
	}
	if len(d.recent) < maxRecentServers {
		d.recent = append(d.recent, s)
		return
	}
	d.recent[rand.IntN(len(d.recent))] = s
}

// someRecent returns up to n different servers that were lately connected to.
func (d *Dialer) someRecent(n int) []yuccarelay.Server {
	d.mu.Lock()
	servers := slices.Clone(d.recent)
	d.mu.Unlock()
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:min(n, len(servers))]
}

// reachesNone reports whether the entry's own links are suspected and no server accepts
// a direct connection. Under load, connections to some busy servers or of a busy entry
// fail, and then a tunnel would only add to the load. One caller at a time finds out; to
// the others it returns false meanwhile.
func (d *Dialer) reachesNone() bool {
	if d.CutOff() {
		return true
	}
	if !d.suspects() || !d.verifying.CompareAndSwap(false, true) {
		return false
	}
	defer d.verifying.Store(false)
	addr, ok := d.anyReachable()
	if ok {
		d.reached(addr)
	}
	return !ok
}

// confirm records that a tunnel reached a server while no direct connection works.
func (d *Dialer) confirm() {
	d.mu.Lock()
	changed := d.detector.Tunneled(time.Now())
	d.mu.Unlock()
	if changed {
		d.log.Warn().Int("peers", len(d.peers())).Msg("servers_unreachable")
		d.onChange(true)
	}
}

// anyReachable opens direct connections to verifyServers servers that were lately
// connected to, and waits longer for them than requests do. It returns the address of one
// that accepts and keeps one, and false if there is none.
func (d *Dialer) anyReachable() (addr string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeouts*d.settings.Timeout)
	defer cancel()
	reachable := make(chan string, verifyServers)
	group := &errgroup.Group{}
	for _, s := range d.someRecent(verifyServers) {
		group.Go(func() error {
			if d.accepts(ctx, s.Addr) {
				reachable <- s.Addr
			}
			return nil
		})
	}
	_ = group.Wait()
	select {
	case addr = <-reachable:
		return addr, true
	default:
		return "", false
	}
}

// reached records that a direct connection works again.
func (d *Dialer) reached(addr string) {
	d.mu.Lock()
	changed := d.detector.Reached(time.Now())
	d.failing.Store(false)
	d.mu.Unlock()
	if changed {
		d.log.Info().Str("addr", addr).Msg("servers_reachable")
		d.onChange(false)
	}
}

// run verifies silent links, and probes while the entry is cut off.
func (d *Dialer) run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.suspected:
			d.verifySilence(ctx)
		case <-tick.C:
			if d.CutOff() {
				d.probe(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// probe opens a direct connection to a server that was lately connected to. After
// silence, the server must respond to the end of the connection.
func (d *Dialer) probe(ctx context.Context) {
	servers := d.someRecent(1)
	if len(servers) == 0 {
		return
	}
	reaches := d.accepts
	if d.silentlyCutOff() {
		reaches = d.closes
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeouts*d.settings.Timeout)
	defer cancel()
	if reaches(ctx, servers[0].Addr) {
		d.reached(servers[0].Addr)
	}
}

// staysOpen reports whether a new connection is still open after probeHold.
func staysOpen(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(probeHold)); err != nil {
		return false
	}
	var b [1]byte
	_, err := c.Read(b[:])
	return isTimeout(err) && c.SetReadDeadline(time.Time{}) == nil
}
