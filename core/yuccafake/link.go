package yuccafake

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"yuccawell.example/core/yuccapause"
)

// LinkConditions is how a TCPProxy treats what passes through it.
type LinkConditions struct {
	// Delay is added each way.
	Delay time.Duration `json:"delay"`
	// Rate bounds the bytes per second each way; zero means no bound.
	Rate int `json:"rate"`
	// Cut refuses new connections and closes open ones.
	Cut bool `json:"cut"`
	// BlackholeAfter swallows, without closing, all bytes of connections older than
	// this; zero means never.
	BlackholeAfter time.Duration `json:"silence"`
}

// TCPProxy passes TCP connections on from one address to another. Make one with
// NewTCPProxy.
type TCPProxy struct {
	addr, to string

	mu       sync.Mutex
	line     LinkConditions
	limiters [2]*rate.Limiter
	conns    map[net.Conn]struct{}
	hushed   time.Time
	listener net.Listener
	group    *errgroup.Group
	cancel   context.CancelFunc
}

// NewTCPProxy returns a link from addr to another address that is not listening
// yet.
func NewTCPProxy(addr, to string, line LinkConditions) *TCPProxy {
	l := &TCPProxy{addr: addr, to: to, conns: map[net.Conn]struct{}{}}
	l.Set(line)
	return l
}

// Addr returns the address it listens on, with the port filled in after Start.
func (l *TCPProxy) Addr() string { return l.addr }

// Set changes how the link treats what passes. A cut closes open connections.
func (l *TCPProxy) Set(line LinkConditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line = line
	l.limiters = [2]*rate.Limiter{limiter(line.Rate), limiter(line.Rate)}
	if !line.Cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

// BlackholeOpenConns swallows, without closing, all bytes of the connections that are open
// now. New ones work.
func (l *TCPProxy) BlackholeOpenConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hushed = time.Now()
}

func (l *TCPProxy) silent(born time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.line.BlackholeAfter > 0 && time.Since(born) > l.line.BlackholeAfter || born.Before(l.hushed)
}

func limiter(bytes int) *rate.Limiter {
	if bytes <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(bytes), max(bytes/10, chunk))
}

// Start listens.
func (l *TCPProxy) Start() error {
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.addr = listener.Addr().String()
	l.listener = listener
	l.group = &errgroup.Group{}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.group.Go(func() error { return l.accept(ctx) })
	return nil
}

// Close ends the link and every connection.
func (l *TCPProxy) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.mu.Lock()
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	_ = l.group.Wait()
}

func (l *TCPProxy) accept(ctx context.Context) error {
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		l.group.Go(func() error {
			l.join(ctx, c)
			return nil
		})
	}
}

func (l *TCPProxy) join(ctx context.Context, a net.Conn) {
	defer l.drop(a)
	if !l.keep(a) {
		return
	}
	if !yuccapause.For(ctx, l.now().Delay) {
		return
	}
	b, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer l.drop(b)
	if !l.keep(b) {
		return
	}
	born := time.Now()
	both := &errgroup.Group{}
	both.Go(func() error { return l.pump(ctx, a, b, 0, born) })
	both.Go(func() error { return l.pump(ctx, b, a, 1, born) })
	_ = both.Wait()
}

func (l *TCPProxy) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return !l.line.Cut
}

func (l *TCPProxy) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

func (l *TCPProxy) now() LinkConditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.line
}

type packet struct {
	due  time.Time
	data []byte
}

const queueLength = 256

// pump reads on one side and writes on the other when the delay has passed.
func (l *TCPProxy) pump(ctx context.Context, from, to net.Conn, way int, born time.Time) error {
	queue := make(chan packet, queueLength)
	writer := &errgroup.Group{}
	writer.Go(func() error { return l.deliver(ctx, queue, from, to, way) })
	for {
		data := make([]byte, chunk)
		n, err := from.Read(data)
		line := l.now()
		silent := l.silent(born)
		if n > 0 && !silent {
			queue <- packet{time.Now().Add(line.Delay), data[:n]}
		}
		if err != nil {
			close(queue)
			_ = writer.Wait()
			if silent {
				<-ctx.Done()
			}
			closeWrite(to)
			return nil
		}
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (l *TCPProxy) deliver(ctx context.Context, queue <-chan packet, from, to net.Conn, way int) error {
	failed := false
	for p := range queue {
		if failed || !yuccapause.For(ctx, time.Until(p.due)) {
			continue
		}
		l.mu.Lock()
		limit := l.limiters[way]
		l.mu.Unlock()
		if err := limit.WaitN(ctx, len(p.data)); err != nil {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
	return nil
}
