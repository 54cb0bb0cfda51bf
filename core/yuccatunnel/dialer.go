package yuccatunnel

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccarelay"
)

const (
	// tunnelTimeout bounds the wait for a tunnel: its connection, and that of the other
	// entry to the server.
	tunnelTimeout = 600 * time.Millisecond
	// maxTunnelTries is how many other entries are asked for one connection.
	maxTunnelTries = 2
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

// keepAlive detects the silent death of the other entry of a tunnel.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// errCutOff is the cause of a failed connection of an entry that is cut off while no
// other entry can help.
var errCutOff = errors.New("no server can be reached, and no other entry carries a tunnel")

// errBrokenAtOnce is the cause of a connection that was accepted and broken at once, as
// by a middlebox that does not reach the server.
var errBrokenAtOnce = errors.New("the connection was accepted and broken at once")

// DialerSettings configure a Dialer.
type DialerSettings struct {
	// Self is the name of this entry.
	Self string
	// Source is the address from which servers are connected to; nil means that the
	// system chooses.
	Source net.IP
	// Timeout bounds the wait for a direct connection.
	Timeout time.Duration
}

// Dialer opens connections to servers: directly, and through another entry when this
// one is cut off from all servers. It is a service that looks for the end of a
// partition. It implements yuccarelay.Path. Create one with NewDialer.
type Dialer struct {
	*yuccakernel.Worker

	settings DialerSettings
	direct   func(ctx context.Context, addr string) (net.Conn, error)
	// peers returns the entries that may carry tunnels now.
	peers func() []Peer
	// onChange is called when the entry becomes cut off or reaches the servers again.
	onChange func(cutOff bool)
	log      zerolog.Logger
	// failing lets responses pass without a lock while nothing has failed.
	failing atomic.Bool
	// suspected has a value when silent links are to be verified.
	suspected chan struct{}
	// verifying is set while one caller finds out whether the entry is cut off.
	verifying atomic.Bool
	// tunnels counts the tunnels that were opened.
	tunnels atomic.Uint64
	// createdAt is when the dialer was created.
	createdAt time.Time
	// respondedAfter is how long after createdAt a server last responded on a direct
	// connection, in nanoseconds of the steady clock.
	respondedAfter atomic.Int64
	// cut counts the tunnels that have ended before the server's connection.
	cut atomic.Uint64

	// mu guards the fields below.
	mu       sync.Mutex
	detector Detector
	// recent holds servers that were lately connected to.
	recent []yuccarelay.Server
}

// NewDialer returns a dialer that asks peers for the entries that may carry tunnels.
func NewDialer(settings DialerSettings, peers func() []Peer, onChange func(cutOff bool), log zerolog.Logger) *Dialer {
	direct := newServerDialer(settings.Source)
	d := &Dialer{
		settings:  settings,
		direct:    func(ctx context.Context, addr string) (net.Conn, error) { return direct.DialContext(ctx, "tcp", addr) },
		peers:     peers,
		onChange:  onChange,
		log:       log,
		suspected: make(chan struct{}, 1),
		createdAt: time.Now(),
	}
	d.Worker = yuccakernel.NewWorker(d.run)
	return d
}

// newServerDialer returns a dialer for connections to servers.
func newServerDialer(source net.IP) net.Dialer {
	var d net.Dialer
	if source != nil {
		d.LocalAddr = &net.TCPAddr{IP: source}
	}
	return d
}

// CutOff reports whether the entry is cut off from all servers.
func (d *Dialer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detector.CutOff()
}

// silentlyCutOff reports whether the entry is cut off by silent links.
func (d *Dialer) silentlyCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detector.SilentlyCutOff()
}

// WorksSince reports whether a server has responded directly later than t, or no server has
// failed to since the last response.
func (d *Dialer) WorksSince(t time.Time) bool {
	if d.respondedAfter.Load() > int64(t.Sub(d.createdAt)) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.detector.CutOff() && !d.detector.Failing()
}

// Tunnels returns how many tunnels were opened.
func (d *Dialer) Tunnels() uint64 { return d.tunnels.Load() }

// Cut returns how many tunnels have ended before the server's connection, as when the
// process that carries them is killed.
func (d *Dialer) Cut() uint64 { return d.cut.Load() }

// Dial implements yuccarelay.Path. While the entry is cut off, it opens a tunnel. When
// a direct connection fails and no server can be reached, it tries one too.
func (d *Dialer) Dial(ctx context.Context, to yuccarelay.Server) (net.Conn, error) {
	d.remember(to)
	cutOff := d.CutOff()
	if cutOff {
		c, err := d.tunnel(ctx, to)
		if errors.Is(err, yuccarelay.ErrNoCarrier) {
			return d.tryOwnLinks(ctx, to, err)
		}
		if !errors.Is(err, errCutOff) {
			return c, err
		}
	}
	c, err := d.dialDirect(ctx, to)
	if err == nil || ctx.Err() != nil || cutOff || !d.reachesNone() {
		return c, err
	}
	t, tunnelErr := d.tunnel(ctx, to)
	if errors.Is(tunnelErr, yuccarelay.ErrNoCarrier) {
		return nil, tunnelErr
	}
	if tunnelErr != nil {
		return nil, err
	}
	d.confirm()
	return t, nil
}

// tryOwnLinks opens a direct connection for a request that no other entry may carry, as the
// links may be back before a probe shows it. One caller at a time waits for that. The others,
// and all on links that may be silent, get the error noCarrier at once.
func (d *Dialer) tryOwnLinks(ctx context.Context, to yuccarelay.Server, noCarrier error) (net.Conn, error) {
	if d.silentlyCutOff() || !d.verifying.CompareAndSwap(false, true) {
		return nil, noCarrier
	}
	defer d.verifying.Store(false)
	c, err := d.dialDirect(ctx, to)
	if err != nil {
		return nil, noCarrier
	}
	return c, nil
}

// Usable implements yuccarelay.Path. Direct connections are used while the entry is not
// cut off, tunnels while it is, no byte of theirs is under way and their other entry does
// not leave.
func (d *Dialer) Usable(c net.Conn, openedAt time.Time) bool {
	d.mu.Lock()
	cutOff, trusted := d.detector.CutOff(), d.detector.Trusts(openedAt)
	d.mu.Unlock()
	t, tunneled := c.(*tunnelConn)
	if !tunneled {
		return trusted
	}
	return cutOff && t.idle() && slices.ContainsFunc(d.peers(), func(p Peer) bool { return p.Name == t.peer.Name })
}

// Responded implements yuccarelay.Path.
func (d *Dialer) Responded(c net.Conn, openedAt time.Time) {
	if _, tunneled := c.(*tunnelConn); tunneled {
		return
	}
	d.respondedAfter.Store(int64(time.Since(d.createdAt)))
	if !d.failing.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detector.Responded(openedAt)
	d.failing.Store(d.detector.Failing())
}

// Broken implements yuccarelay.Path.
func (d *Dialer) Broken(c net.Conn, server string) {
	if _, tunneled := c.(*tunnelConn); !tunneled {
		d.failed(server)
	}
}

// Alive reports whether a server can be reached, directly or through another entry. It
// returns true if nobody can tell.
func (d *Dialer) Alive(ctx context.Context, to yuccarelay.Server) bool {
	c, err := d.dialDirect(ctx, to)
	if err != nil {
		if c, err = d.tunnel(ctx, to); err != nil {
			return d.CutOff()
		}
	}
	_ = c.Close()
	return true
}

// dialDirect opens a direct connection and records a failure. While the entry's own
// links are suspected, a connection that is broken at once counts as none.
func (d *Dialer) dialDirect(ctx context.Context, to yuccarelay.Server) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, d.settings.Timeout)
	defer cancel()
	c, err := d.direct(dialCtx, to.Addr)
	if err == nil && d.suspects() && !staysOpen(c) {
		_ = c.Close()
		err = errBrokenAtOnce
	}
	if err == nil {
		return c, nil
	}
	// The caller that gave up says nothing about the server.
	if ctx.Err() == nil {
		d.failed(to.Name)
	}
	return nil, err
}

// failed records that a server could not be reached directly.
func (d *Dialer) failed(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detector.Failed(time.Now(), server)
	d.failing.Store(true)
}

func (d *Dialer) suspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.detector.Suspects()
}

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
