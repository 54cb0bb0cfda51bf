package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that a backend server began to work on.
type run struct {
	id, server, method, target string
	body                       []byte
	at                         time.Time
	// conn is the connection that the request came on.
	conn net.Conn
	// gone is closed when the server crashes or stops.
	gone chan struct{}
}

// answer is what a backend server sends for a request.
type answer struct {
	status int
	// size is the length of the body in bytes.
	size int
	// sent is how many bytes of it are sent before the connection breaks; size means all.
	sent int
	// none breaks the connection without an answer.
	none bool
}

// backend is a stand-in for a backend server. It runs each request at once.
type backend struct {
	id   string
	addr string
	rec  *record
	// work decides the answer to a request; it may take its time.
	work func(run) answer
	// raw serves a connection instead, if it is set.
	raw func(net.Conn)
	// service, zone and slots are those of its registration.
	service, zone string
	slots         int

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	runs     []run
	gone     chan struct{}
	group    sync.WaitGroup
}

func newBackend(id string, rec *record, work func(run) answer) (*backend, error) {
	b := &backend{id: id, rec: rec, work: work, addr: "127.0.0.1:0"}
	return b, b.start()
}

// start begins to listen, at the same address as before.
func (b *backend) start() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener, b.conns, b.gone, b.addr = l, map[net.Conn]struct{}{}, make(chan struct{}), l.Addr().String()
	b.mu.Unlock()
	b.group.Go(func() { b.accept(l) })
	return nil
}

// crash ends the server like the kill of its process: its connections are reset and its
// port refuses new ones.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.gone:
		return
	default:
	}
	close(b.gone)
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// all returns the requests that the server ran.
func (b *backend) all() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = struct{}{}
		b.mu.Unlock()
		b.group.Go(func() {
			if b.raw != nil {
				b.raw(c)
			} else {
				b.serve(c)
			}
			_ = c.Close()
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
		})
	}
}

// serve answers the requests of a connection, one at a time.
func (b *backend) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if t := req.Header.Get(names["target"]); t != "" && t != b.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["id"], req.Header.Get(names["id"]))
			continue
		}
		b.mu.Lock()
		v := run{id: req.Header.Get(names["id"]), server: b.id, method: req.Method, target: req.RequestURI, body: body, at: time.Now(), conn: c, gone: b.gone}
		b.runs = append(b.runs, v)
		b.mu.Unlock()
		b.rec.add("run %s at %s: %s %s", v.id, b.id, v.method, v.target)
		a := b.work(v)
		select {
		case <-v.gone:
			return
		default:
		}
		if !b.respond(c, v, a) {
			return
		}
	}
}

// respond sends an answer and reports whether the connection stays open.
func (b *backend) respond(c net.Conn, v run, a answer) bool {
	if a.none {
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal.%s\r\n%s: 1,0,6\r\nContent-Length: %d\r\n\r\n",
		a.status, http.StatusText(a.status), names["id"], v.id, names["seal"], v.id, names["load"], a.size)
	if _, err := io.WriteString(c, head+bodyOf(v.id, a.size)[:a.sent]); err != nil {
		b.rec.add("backend %s could not send the answer to %s: %v", b.id, v.id, err)
		return false
	}
	if a.sent < a.size {
		b.rec.add("backend %s breaks off the answer to %s after %d of %d bytes", b.id, v.id, a.sent, a.size)
		return false
	}
	return true
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) string {
	text := "body of " + id + ". "
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// whole is a complete answer with a body of a length.
func whole(size int) answer { return answer{status: http.StatusOK, size: size, sent: size} }
