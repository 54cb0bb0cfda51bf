package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// downTime is how long a crashed server stays away.
	downTime = 2 * time.Second
	// expiry is how long the store keeps the entry of a silent server: three heartbeats.
	expiry = 4500 * time.Millisecond
	// coldMS is how long a server is cold after its start, in milliseconds.
	coldMS = 3000
	// answerBytes is the length of a long answer, and partBytes how much of it is sent before
	// a crash midway.
	answerBytes, partBytes = 90_000, 20_000
	// partTime is how long the server goes on after that part.
	partTime = 20 * time.Millisecond
	// slots is the number of requests that a server runs at a time, and queue how many more
	// wait.
	slots, queue = 6, 18
)

// backend is a stand-in for a backend server. It crashes when it begins to run a request that
// the rig names, closes its connections and its port, and comes back as a new lifetime.
type backend struct {
	rig     *rig
	number  int
	service string
	zone    string
	addr    string
	sealed  atomic.Uint64
	held    atomic.Int64
	running chan struct{}

	mu     sync.Mutex
	id     string
	lives  int
	server *http.Server
	conns  map[net.Conn]struct{}
}

// start begins a lifetime and registers it.
func (b *backend) start(cold int) error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.lives++
	b.id = fmt.Sprintf("i-%d-%d", b.number, b.lives)
	b.conns = map[net.Conn]struct{}{}
	server := &http.Server{Handler: b.handler(b.id), ConnState: b.track}
	b.server = server
	id := b.id
	b.mu.Unlock()
	b.rig.group.Go(func() { _ = server.Serve(l) })
	b.rig.store.put("servers", id, map[string]any{
		"service": b.service, "address": b.addr, "zone": b.zone, "version": "v1", "slots": slots,
		"state": "ready", "cold_left_ms": cold, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

func (b *backend) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, c)
	}
}

// crash ends the lifetime at once: the port closes and all connections are reset.
func (b *backend) crash() {
	b.mu.Lock()
	server, id := b.server, b.id
	if server == nil {
		b.mu.Unlock()
		return
	}
	b.server = nil
	for c := range b.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	b.mu.Unlock()
	_ = server.Close()
	b.rig.group.Go(func() {
		if b.rig.sleep(downTime) {
			if err := b.start(coldMS); err != nil {
				b.rig.record("server %s does not come back: %v", b.addr, err)
			}
		}
		if b.rig.sleep(expiry - downTime) {
			b.rig.store.remove("servers", id)
		}
	})
}

// answerTo returns the body of the answer to a client attempt.
func answerTo(attempt string, size int) []byte {
	line := []byte("answer to " + attempt + "\n")
	return bytes.Repeat(line, size/len(line)+1)[:max(size, len(line))]
}

// beginAnswer sends the header and the first part of a long answer.
func (b *backend) beginAnswer(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	w.Header().Set(field("Response-Seal"), id+"."+strconv.FormatUint(b.sealed.Add(1), 10))
	_, _ = w.Write(make([]byte, partBytes))
	_ = http.NewResponseController(w).Flush()
	time.Sleep(partTime)
}

// handler serves the requests of one lifetime.
func (b *backend) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		attempt := r.Header.Get(field("Attempt-Id"))
		if attempt != "" {
			h.Set(field("Attempt-Id"), attempt)
		}
		if r.URL.Path == "/health" {
			h.Set(field("Instance-Id"), id)
			_, _ = w.Write([]byte("ok\n"))
			return
		}
		if target := r.Header.Get(field("Target-Instance")); target != "" && target != id {
			h.Set(field("Instance-Id"), id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if b.held.Add(1) > slots+queue {
			b.held.Add(-1)
			h.Set(field("Not-Executed"), "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer b.held.Add(-1)
		b.running <- struct{}{}
		defer func() { <-b.running }()
		if b.rig.ran(id, r) {
			if b.rig.midway {
				b.beginAnswer(w, id)
			}
			b.crash()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(b.rig.work)
		h.Set(field("Server-Load"), strconv.Itoa(len(b.running))+",0,"+strconv.Itoa(slots))
		h.Set(field("Response-Seal"), id+"."+strconv.FormatUint(b.sealed.Add(1), 10))
		_, _ = w.Write(answerTo(attempt, b.rig.sizeOf(r.URL.Path)))
	})
}
