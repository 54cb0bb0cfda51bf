package yuccatunnel

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccasocket"
)

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
		direct:    direct.dial,
		peers:     peers,
		onChange:  onChange,
		log:       log,
		suspected: make(chan struct{}, 1),
		createdAt: time.Now(),
	}
	d.Worker = yuccakernel.NewWorker(d.run)
	return d
}

// serverDialer opens connections to servers.
type serverDialer struct{ dialer net.Dialer }

// newServerDialer returns a dialer of connections from the address source; nil means that the
// system chooses.
func newServerDialer(source net.IP) serverDialer {
	var d net.Dialer
	if source != nil {
		d.LocalAddr = &net.TCPAddr{IP: source}
	}
	return serverDialer{d}
}

// dial opens a connection, which is a *yuccasocket.Conn.
func (s serverDialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := s.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return yuccasocket.NewConn(c.(*net.TCPConn)), nil
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
