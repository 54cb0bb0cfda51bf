package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id, server, method, target string
	at                         time.Time
}

// runLog holds the requests that reached servers and those that ran.
type runLog struct {
	mu       sync.Mutex
	runs     []run
	arrivals []run
}

func (l *runLog) arrived(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, r)
}

func (l *runLog) ran(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// call is a request on its way through a server.
type call struct {
	server *server
	conn   net.Conn
	reader *bufio.Reader
	req    *http.Request
	id     string
}

// server is a stand-in for a backend server. It serves one request at a time on a
// connection, checks the name of the server that the request is for, and rejects requests
// beyond its slots and its queue.
type server struct {
	rec     *recorder
	log     *runLog
	store   *store
	service string
	zone    string
	id      string
	slots   int
	// handle answers a request that has a slot. It reports whether the connection stays
	// in use.
	handle func(c *call) bool
	// admit is called for each new connection; nil admits all.
	admit func(c *net.TCPConn) bool

	addr    string
	group   sync.WaitGroup
	running atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	down     bool
	closed   bool
}

// start opens the server's address and registers the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.conns = map[net.Conn]struct{}{}
	s.listen(l)
	return nil
}

func (s *server) listen(l net.Listener) {
	s.mu.Lock()
	s.listener, s.down = l, false
	s.mu.Unlock()
	s.register()
	s.group.Go(func() { s.accept(l) })
}

func (s *server) register() {
	s.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.group.Go(func() { s.receive(c.(*net.TCPConn)) })
	}
}

// receive serves an accepted connection until it ends.
func (s *server) receive(c *net.TCPConn) {
	if s.admit != nil && !s.admit(c) {
		reset(c)
		return
	}
	s.mu.Lock()
	if s.down || s.closed {
		s.mu.Unlock()
		reset(c)
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.serve(c)
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// resetConns resets the connections that match.
func (s *server) resetConns(match func(c net.Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if match(c) {
			reset(c.(*net.TCPConn))
		}
	}
}

// crash ends the server at once; it is back after a while as a new lifetime with the same
// id and address.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	if s.down || s.closed {
		s.mu.Unlock()
		return
	}
	s.down = true
	_ = s.listener.Close()
	s.mu.Unlock()
	s.resetConns(func(net.Conn) bool { return true })
	s.rec.note("server %s crashed", s.id)
	s.group.Go(func() {
		time.Sleep(down)
		for range 50 {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if closed {
				return
			}
			if l, err := net.Listen("tcp", s.addr); err == nil {
				s.rec.note("server %s is back", s.id)
				s.listen(l)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		s.rec.say("server %s could not listen again", s.id)
	})
}

func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	s.mu.Unlock()
	s.resetConns(func(net.Conn) bool { return true })
	s.group.Wait()
}

func (s *server) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		k := &call{server: s, conn: c, reader: r, req: req, id: req.Header.Get(wire["attempt"])}
		s.log.arrived(run{k.id, s.id, req.Method, req.RequestURI, time.Now()})
		if target := req.Header.Get(wire["target"]); target != "" && target != s.id {
			_, _ = io.Copy(io.Discard, req.Body)
			k.respond(http.StatusMisdirectedRequest, wire["instance"]+": "+s.id+"\r\n", "")
			continue
		}
		n := s.running.Add(1)
		if n > int64(s.slots*4) {
			_, _ = io.Copy(io.Discard, req.Body)
			s.running.Add(-1)
			k.decline()
			continue
		}
		keep := s.handle(k)
		s.running.Add(-1)
		if !keep {
			return
		}
	}
}

// began records that the server begins to work on the request.
func (k *call) began() {
	k.server.log.ran(run{k.id, k.server.id, k.req.Method, k.req.RequestURI, time.Now()})
}

// decline says that the request has not run.
func (k *call) decline() {
	k.respond(http.StatusServiceUnavailable, wire["declined"]+": 1\r\n", "")
}

// sealed returns the header lines of a response of the server itself.
func (k *call) sealed() string {
	return fmt.Sprintf("%s: %s.%s\r\n%s: %d,0,%d\r\n", wire["seal"], k.server.id, k.id, wire["load"], k.server.running.Load(), k.server.slots)
}

// respond writes a whole response with a length.
func (k *call) respond(status int, fields, body string) {
	_, _ = fmt.Fprintf(k.conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), wire["attempt"], k.id, fields, len(body), body)
}
