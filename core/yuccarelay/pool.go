package yuccarelay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	maxIdleAge  = 30 * time.Second
	maxIdle     = 32
	bufferSize  = 4096
)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	addr  string
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time
}

// pool keeps idle connections by address, the most recently used first.
type pool struct {
	dial Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

func newPool(dial Dialer) *pool {
	return &pool{dial: dial, idle: map[string][]*conn{}}
}

func (p *pool) get(addr string, deadline time.Time) (*conn, error) {
	if c := p.take(addr); c != nil {
		return c, nil
	}
	end := time.Now().Add(dialTimeout)
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, addr: addr, r: bufio.NewReaderSize(raw, bufferSize), w: bufio.NewWriterSize(raw, bufferSize)}, nil
}

func (p *pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if time.Since(c.since) < maxIdleAge {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection on which an answer was read whole.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= maxIdle || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, addr)
	}
}
