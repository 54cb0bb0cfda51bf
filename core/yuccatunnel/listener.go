package yuccatunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccalinger"
	"yuccawell.example/core/yuccasleep"
	"yuccawell.example/core/yuccasocket"
)

const (
	// maxTunnels is the number of tunnels that an entry carries at a time.
	maxTunnels = 1024
	// openTimeout bounds the wait for the request that opens a tunnel.
	openTimeout = 2 * time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 100 * time.Millisecond
)

// ListenerSettings configure a Listener.
type ListenerSettings struct {
	// Addr is the address to listen on as host:port.
	Addr string
	// DrainDeadline returns until when open tunnels may last when the entry stops.
	DrainDeadline func() time.Time
	// DialTimeout bounds the wait for a connection to a server.
	DialTimeout time.Duration
}

// Listener is the service that carries the tunnels of other entries. It connects to
// known servers only. Create one with NewListener.
type Listener struct {
	settings ListenerSettings
	// serverAddr returns the address of a server that takes requests of this entry, empty
	// for any other.
	serverAddr func(server string) string
	dialer     serverDialer
	log        zerolog.Logger

	socket net.Listener
	// group contains the tunnels.
	group errgroup.Group
	done  chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// conns holds the open connections of both sides of all tunnels.
	conns  map[*net.TCPConn]struct{}
	closed bool
}

// NewListener returns a listener that connects to servers from the address source; nil
// means that the system chooses.
func NewListener(settings ListenerSettings, source net.IP, serverAddr func(server string) string, log zerolog.Logger) *Listener {
	l := &Listener{
		settings:   settings,
		serverAddr: serverAddr,
		dialer:     newServerDialer(source),
		log:        log,
		done:       make(chan struct{}),
		conns:      map[*net.TCPConn]struct{}{},
	}
	// One place more for the goroutine that accepts connections.
	l.group.SetLimit(maxTunnels + 1)
	return l
}

// Start implements yuccakernel.Service.
func (l *Listener) Start(ctx context.Context, group *errgroup.Group) error {
	socket, err := net.Listen("tcp", l.settings.Addr)
	if err != nil {
		return err
	}
	l.socket = yuccasocket.NewListener(socket, socket.Addr().String(), l.log)
	l.group.Go(func() error { return l.accept(ctx) })
	group.Go(func() error {
		defer close(l.done)
		return l.group.Wait()
	})
	return nil
}

// Stop accepts no further tunnels, waits for the open ones until DrainDeadline and then
// closes them. The entries that use them close them when their requests have ended.
func (l *Listener) Stop(ctx context.Context) error {
	_ = l.socket.Close()
	deadline := l.settings.DrainDeadline()
	for l.Open() > 0 && time.Now().Before(deadline) && yuccasleep.For(ctx, acceptRetryDelay) {
		continue
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		yuccalinger.Reset(c)
	}
	return nil
}

// Addr returns the address that the listener accepts tunnels at. Call it after Start.
func (l *Listener) Addr() string { return l.socket.Addr().String() }

// Done implements yuccakernel.Service.
func (l *Listener) Done() <-chan struct{} { return l.done }

// Open returns the number of open connections of tunnels.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) accept(ctx context.Context) error {
	for {
		c, err := l.socket.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !yuccasleep.For(ctx, acceptRetryDelay) {
				return nil
			}
			continue
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok || !l.group.TryGo(func() error { l.serve(ctx, tcp); return nil }) {
			_ = c.Close()
		}
	}
}

// track adds a connection to those that Stop closes, and returns false after that.
func (l *Listener) track(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) untrack(c *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// serve carries one tunnel until it ends.
func (l *Listener) serve(ctx context.Context, caller *net.TCPConn) {
	defer caller.Close()
	if !l.track(caller) {
		return
	}
	defer l.untrack(caller)
	var req OpenRequest
	server, probed, err := l.open(ctx, caller, &req)
	reply := &OpenReply{Probed: probed, Framed: req.GetFramed()}
	if err != nil {
		reply.Kind = yuccaerror.KindOf(err).String()
	}
	if replyErr := writeMessage(caller, reply); err != nil || replyErr != nil || server == nil {
		if server != nil {
			_ = server.Close()
		}
		return
	}
	defer server.Close()
	if !l.track(server.TCPConn) {
		yuccalinger.Reset(caller)
		return
	}
	defer l.untrack(server.TCPConn)
	tunnel{caller, server, req.GetFramed()}.carry()
}

// open reads the request and connects to its server. For a probe it returns no
// connection, and whether the server responded to it.
func (l *Listener) open(ctx context.Context, caller *net.TCPConn, req *OpenRequest) (server *yuccasocket.Conn, probed bool, err error) {
	_ = caller.SetKeepAliveConfig(keepAlive)
	_ = caller.SetReadDeadline(time.Now().Add(openTimeout))
	if err := readMessage(caller, req); err != nil {
		return nil, false, yuccaerror.New(yuccaerror.Protocol, "read request for a tunnel: %w", err)
	}
	_ = caller.SetReadDeadline(time.Time{})
	addr := l.serverAddr(req.GetServer())
	if addr == "" {
		return nil, false, yuccaerror.New(yuccaerror.NoServer, "server %q is not known or takes no requests", req.GetServer())
	}
	timeout := l.settings.DialTimeout
	if req.GetProbe() {
		timeout = peerProbeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := l.dialer.dial(ctx, addr)
	if err != nil {
		l.log.Debug().Err(err).Str("server", req.GetServer()).Str("from", req.GetFrom()).Msg("tunnel_not_opened")
		return nil, false, yuccaerror.Wrap(yuccaerror.Unreachable, err)
	}
	if req.GetProbe() {
		defer c.Close()
		return nil, endConn(ctx, c) == endedByServer, nil
	}
	return c.(*yuccasocket.Conn), false, nil
}
