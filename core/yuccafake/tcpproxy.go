package yuccafake

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"yuccawell.example/core/yuccasleep"
)

// LinkConditions are the network conditions that a TCPProxy imposes on its
// connections. The zero value forwards without delay or limit.
type LinkConditions struct {
	// Delay is the latency added in each direction.
	Delay time.Duration `json:"delay"`
	// Rate limits the bytes per second in each direction over all connections;
	// zero means no limit.
	Rate int `json:"rate"`
	// Cut closes the open connections, and new ones as soon as they are accepted.
	Cut bool `json:"cut"`
	// BlackholeAfter is the age from which a connection stays open but all its bytes
	// are discarded; zero means never.
	BlackholeAfter time.Duration `json:"silence"`
}

// TCPProxy forwards TCP connections from one address to another under
// LinkConditions. Make one with NewTCPProxy.
type TCPProxy struct {
	addr   string
	target string

	mu         sync.Mutex
	conditions LinkConditions
	// limiters limit the rate in each direction: 0 is from the client to the target,
	// 1 from the target to the client.
	limiters [2]*rate.Limiter
	// conns maps each open connection, of both sides, to the address that the client's
	// one comes from.
	conns map[net.Conn]string
	// partitions holds the sources that are cut off.
	partitions map[string]Partition
	// sent holds the number of bytes read from clients by source address.
	sent map[string]int
	// blackholedAt is when BlackholeOpenConns was last called.
	blackholedAt time.Time
	listener     net.Listener
	group        *errgroup.Group
	cancel       context.CancelFunc
}

// NewTCPProxy returns a proxy from addr to a target address. It listens only
// after Start.
func NewTCPProxy(addr, target string, conditions LinkConditions) *TCPProxy {
	l := &TCPProxy{addr: addr, target: target, conns: map[net.Conn]string{}, partitions: map[string]Partition{}, sent: map[string]int{}}
	l.SetConditions(conditions)
	return l
}

// Addr returns the address that the proxy listens on. After Start it contains
// the actual port.
func (l *TCPProxy) Addr() string { return l.addr }

// SetConditions changes the conditions for open and new connections.
func (l *TCPProxy) SetConditions(conditions LinkConditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = conditions
	l.limiters = [2]*rate.Limiter{newLimiter(conditions.Rate), newLimiter(conditions.Rate)}
	if !conditions.Cut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

// BlackholeOpenConns discards all further bytes of the connections that are open
// now, without closing them. New connections work.
func (l *TCPProxy) BlackholeOpenConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blackholedAt = time.Now()
}

// blackholed reports whether the bytes of a connection opened at the given time
// are discarded.
func (l *TCPProxy) blackholed(opened time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions.BlackholeAfter > 0 && time.Since(opened) > l.conditions.BlackholeAfter || opened.Before(l.blackholedAt)
}

// newLimiter returns a limiter in bytes per second, with a burst that holds at
// least one chunk.
func newLimiter(bytesPerSecond int) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), max(bytesPerSecond/10, chunkSize))
}

// Start listens and begins to forward connections.
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

// Close stops the proxy and closes every connection. Call it after Start.
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
			l.relay(ctx, c)
			return nil
		})
	}
}

// relay connects a client connection to the target and forwards both directions
// until both have ended.
func (l *TCPProxy) relay(ctx context.Context, client net.Conn) {
	defer l.closeConn(client)
	source := sourceOf(client)
	if !l.register(client, source) {
		return
	}
	if p := l.partition(source); p == PartitionReset || p == PartitionRefuse {
		resetConn(client)
		return
	}
	if !yuccasleep.For(ctx, l.currentConditions().Delay) || !l.awaitPath(ctx, source, true) {
		return
	}
	upstream, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.closeConn(upstream)
	if !l.register(upstream, source) {
		return
	}
	opened := time.Now()
	directions := &errgroup.Group{}
	directions.Go(func() error { return l.forward(ctx, source, client, upstream, 0, opened) })
	directions.Go(func() error { return l.forward(ctx, source, upstream, client, 1, opened) })
	_ = directions.Wait()
}

// register adds a connection to those that SetConditions and Close end. It returns false
// while the link is cut.
func (l *TCPProxy) register(c net.Conn, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = source
	return !l.conditions.Cut
}

func (l *TCPProxy) closeConn(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

func (l *TCPProxy) currentConditions() LinkConditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions
}

// delayedChunk is data that has been read and is written when it is due.
type delayedChunk struct {
	due  time.Time
	data []byte
}

// queueCapacity is how many chunks of one direction may wait for their delay.
const queueCapacity = 256

// forward reads from one side and writes to the other after the delay. When a
// blackholed connection ends on one side, the other side stays open until ctx ends.
func (l *TCPProxy) forward(ctx context.Context, source string, from, to net.Conn, direction int, opened time.Time) error {
	queue := make(chan delayedChunk, queueCapacity)
	writer := &errgroup.Group{}
	writer.Go(func() error { return l.writeQueued(ctx, queue, source, from, to, direction) })
	for {
		data := make([]byte, chunkSize)
		n, err := from.Read(data)
		if direction == 0 {
			l.countSent(source, n)
		}
		conditions := l.currentConditions()
		blackholed := l.blackholed(opened)
		if n > 0 && !blackholed {
			queue <- delayedChunk{time.Now().Add(conditions.Delay), data[:n]}
		}
		if err != nil {
			close(queue)
			_ = writer.Wait()
			if blackholed {
				<-ctx.Done()
			}
			if l.awaitPath(ctx, source, false) {
				closeWrite(to)
			}
			return nil
		}
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// writeQueued writes the queued chunks when they are due, within the rate. After
// a failed write it discards the rest, so that the reader never blocks on the queue.
func (l *TCPProxy) writeQueued(ctx context.Context, queue <-chan delayedChunk, source string, from, to net.Conn, direction int) error {
	failed := false
	for p := range queue {
		if failed || !yuccasleep.For(ctx, time.Until(p.due)) || !l.awaitPath(ctx, source, false) {
			continue
		}
		l.mu.Lock()
		limiter := l.limiters[direction]
		l.mu.Unlock()
		if err := limiter.WaitN(ctx, len(p.data)); err != nil {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
	return nil
}
