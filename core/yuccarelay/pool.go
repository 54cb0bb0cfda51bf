package yuccarelay

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yuccawell.example/core/yuccasocket"
)

const (
	// dialTimeout is the timeout for opening a connection with tcpPath.
	dialTimeout = 2 * time.Second
	// maxIdleTime is the default limit on the time that a connection stays idle
	// in the pool.
	maxIdleTime = 30 * time.Second
	// maxIdlePerAddr is the number of idle connections kept per address.
	maxIdlePerAddr = 32
	// minAgeLimit is the lowest age limit that is learned from a silent
	// connection.
	minAgeLimit = time.Second
	// ageLimitTTL is how long a learned age limit applies.
	ageLimitTTL = 10 * time.Minute
	// connBufferBytes is the size of a connection's read buffer and of its
	// write buffer.
	connBufferBytes = 4096
)

// errExpiredConnecting is the cause of a connection that was not open when the caller's
// time had passed.
var errExpiredConnecting = errors.New("the caller's time has passed while connecting")

// tcpPath is the Path that opens plain TCP connections.
type tcpPath struct{}

// Dial implements Path.
func (tcpPath) Dial(ctx context.Context, to Server) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		return nil, err
	}
	return yuccasocket.NewConn(c.(*net.TCPConn)), nil
}

// Usable implements Path.
func (tcpPath) Usable(net.Conn, time.Time) bool { return true }

// Responded implements Path.
func (tcpPath) Responded(net.Conn, time.Time) {}

// Broken implements Path.
func (tcpPath) Broken(net.Conn, string) {}

// Silent implements Path.
func (tcpPath) Silent(net.Conn, string, time.Time) bool { return false }

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	w    *bufio.Writer
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleSince is when the connection was last put in the pool, zero if it has
	// not carried a request yet.
	idleSince time.Time
	// keepAlive is how long the server keeps the connection open while it is
	// idle.
	keepAlive time.Duration
	// bytesRead counts the bytes received.
	bytesRead atomic.Int64
	// writeStopped is set when nothing more is to be written.
	writeStopped atomic.Bool
}

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{Conn: raw, addr: addr, openedAt: time.Now(), keepAlive: maxIdleTime}
	c.r = bufio.NewReaderSize(c, connBufferBytes)
	c.w = bufio.NewWriterSize(c, connBufferBytes)
	return c
}

// Read implements net.Conn and counts the bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

// Write implements net.Conn. It times out if the server accepts no bytes
// for stallTimeout.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	if c.writeStopped.Load() {
		return 0, errWriteStopped
	}
	return c.Conn.Write(p)
}

// stopWriting ends a write in progress and prevents further ones.
func (c *conn) stopWriting() {
	c.writeStopped.Store(true)
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}

// pool keeps idle connections by address and hands out the most recently used
// first.
type pool struct {
	path        Path
	maxIdleTime time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
	// ageLimits holds, by address, the limits learned from silent connections.
	ageLimits map[string]ageLimit
	// sweepTimer fires when idle connections may have to be closed, nil if there are none.
	sweepTimer *time.Timer
	closed     bool
}

// ageLimit is the age at which connections to an address are discarded. It is
// learned from a connection that went silent, because the network path may drop
// others silently at the same age.
type ageLimit struct {
	// age is the time since a connection was opened.
	age time.Duration
	// expires is when the limit ceases to apply.
	expires time.Time
}

func newPool(path Path, maxIdle time.Duration) *pool {
	return &pool{path: path, maxIdleTime: cmp.Or(maxIdle, maxIdleTime), idle: map[string][]*conn{}, ageLimits: map[string]ageLimit{}}
}

// get returns an idle connection, or a new one if there is none. It discards
// connections that have been idle for maxIdle or longer. If maxIdle is zero, only
// the pool's own limits apply.
func (p *pool) get(ctx context.Context, to Server, deadline time.Time, maxIdle time.Duration) (*conn, error) {
	for c := p.takeIdle(to); c != nil; c = p.takeIdle(to) {
		if (maxIdle == 0 || time.Since(c.idleSince) < maxIdle) && p.path.Usable(c.Conn, c.openedAt) && isIdleAndOpen(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.open(ctx, to, deadline)
}

// open returns a new connection. The error wraps errExpiredConnecting if the deadline
// passes first.
func (p *pool) open(ctx context.Context, to Server, deadline time.Time) (*conn, error) {
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	raw, err := p.path.Dial(ctx, to)
	if err != nil && !deadline.IsZero() && !time.Now().Before(deadline) {
		return nil, fmt.Errorf("%w: %w", errExpiredConnecting, err)
	}
	if err != nil {
		return nil, err
	}
	return newConn(raw, to.Addr), nil
}

// takeIdle removes and returns an idle connection that the request may use, nil if there
// is none. Those that only other requests may use stay in the pool until they are too old.
func (p *pool) takeIdle(to Server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle[to.Addr]) - 1; i >= 0; i-- {
		c := p.idle[to.Addr][i]
		usable := p.isUsable(c)
		if usable && !to.allows(c.Conn) {
			continue
		}
		p.idle[to.Addr] = slices.Delete(p.idle[to.Addr], i, i+1)
		if usable {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// isUsable reports whether a connection is below the limits on idle time and
// age.
func (p *pool) isUsable(c *conn) bool {
	now := time.Now()
	limit, ok := p.ageLimits[c.addr]
	if ok && now.After(limit.expires) {
		delete(p.ageLimits, c.addr)
		ok = false
	}
	return now.Sub(c.idleSince) < min(p.maxIdleTime, c.keepAlive) && (!ok || now.Sub(c.openedAt) < limit.age)
}

// put pools a connection after a complete response.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= maxIdlePerAddr || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.scheduleSweep()
}

// discardSuspects handles a connection that went silent. It closes the idle
// connections to the same address that are as old or older, which may be dead
// too, and limits the age of later ones to the age at which the silent one last
// worked.
func (p *pool) discardSuspects(silent *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnAgeLimit(silent)
	kept := p.idle[silent.addr][:0]
	for _, c := range p.idle[silent.addr] {
		if c.openedAt.After(silent.openedAt) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle[silent.addr] = kept
}

// learnAgeLimit lowers the age limit of the address to the age at which the
// silent connection was last used.
func (p *pool) learnAgeLimit(silent *conn) {
	ageAtLastUse := silent.idleSince.Sub(silent.openedAt)
	if limit, ok := p.ageLimits[silent.addr]; ageAtLastUse < minAgeLimit || ok && limit.age <= ageAtLastUse {
		return
	}
	p.ageLimits[silent.addr] = ageLimit{ageAtLastUse, time.Now().Add(ageLimitTTL)}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, addr)
	}
}
