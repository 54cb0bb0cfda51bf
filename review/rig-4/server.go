package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// crashTime is how long a crashed server is down.
	crashTime = 2500 * time.Millisecond
	// expiry is the silence after which the store removes the entry of a server.
	expiry = 3 * heartbeat
)

// work is what a server does with a request.
type work struct {
	// takes is how long the request runs.
	takes time.Duration
	// crash is set if it crashes the server as soon as it begins to run.
	crash bool
	// bytes is the length of the answer, 0 for a short one.
	bytes int
	// cutAt is after how many bytes the server breaks off the answer, 0 for never.
	cutAt int
	// crashAt is after how many bytes of the answer the server crashes, if crash is set.
	crashAt int
}

// server is a backend server that follows the pages: it runs up to slots requests at a time,
// queues a few more, rejects the others as not run, answers 421 to requests for another
// instance, drops requests whose connection closes, and registers itself in the store.
type server struct {
	world   *world
	service string
	zone    string
	addr    string
	slots   int
	work    func(*http.Request, []byte) work

	slot             chan struct{}
	running, waiting atomic.Int64

	mu       sync.Mutex
	life     int
	id       string
	born     int64
	up       bool
	http     *http.Server
	conns    map[net.Conn]struct{}
	stop     context.CancelFunc
	lifetime context.Context
	stopped  bool
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return l.Close()
	}
	s.addr = l.Addr().String()
	s.life++
	s.id = fmt.Sprintf("i-%s-%s-%d", s.service, s.addr[len("127."):], s.life)
	s.born, s.up, s.conns = time.Now().UnixMilli(), true, map[net.Conn]struct{}{}
	s.slot = make(chan struct{}, s.slots)
	s.lifetime, s.stop = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.track, IdleTimeout: 30 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	h, lifetime, id, born := s.http, s.lifetime, s.id, s.born
	s.world.group.Go(func() { _ = h.Serve(l) })
	s.world.group.Go(func() { s.register(lifetime, id, born) })
	return nil
}

// register writes the entry of the server while it lives. The store removes it after the
// silence of a crash.
func (s *server) register(lifetime context.Context, id string, born int64) {
	s.world.store.put("servers", id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": born,
	})
	<-lifetime.Done()
	if s.world.sleep(expiry) {
		s.world.store.remove("servers", id)
	}
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// crash resets all connections, and starts the server again after crashTime.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.stop()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
	s.world.group.Go(func() {
		for s.world.sleep(crashTime) {
			if err := s.start(); err == nil {
				return
			}
		}
	})
}

func (s *server) close() {
	s.mu.Lock()
	s.stopped = true
	h := s.http
	if s.stop != nil {
		s.stop()
	}
	s.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, lifetime, slot := s.id, s.lifetime, s.slot
	s.mu.Unlock()
	attempt := r.Header.Get(wire.Attempt)
	if r.URL.Path == "/health" {
		w.Header().Set(wire.Instance, id)
		w.Header().Set(wire.Load, s.load())
		return
	}
	w.Header().Set(wire.Attempt, attempt)
	if target := r.Header.Get(wire.Target); target != "" && target != id {
		w.Header().Set(wire.Instance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var millis int64 = 60_000
	_, _ = fmt.Sscan(r.Header.Get(wire.Remaining), &millis)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	if s.waiting.Add(1) > int64(s.slots) && len(slot) == s.slots {
		s.waiting.Add(-1)
		s.reject(w, "full")
		return
	}
	select {
	case slot <- struct{}{}:
		s.waiting.Add(-1)
	case <-ctx.Done():
		s.waiting.Add(-1)
		s.reject(w, "time limit in the queue")
		return
	}
	s.running.Add(1)
	defer func() { s.running.Add(-1); <-slot }()
	todo := s.work(r, body)
	s.world.recorder.ran(run{attempt: attempt, server: id, path: r.URL.RequestURI(), at: time.Now(), crash: todo.crash})
	if todo.crash && todo.crashAt == 0 {
		s.crash()
		return
	}
	select {
	case <-time.After(todo.takes):
	case <-lifetime.Done():
		return
	case <-r.Context().Done():
		s.world.recorder.ended(attempt, id, "its connection closed")
		return
	case <-ctx.Done():
		s.world.recorder.ended(attempt, id, "time limit")
		w.Header().Set(wire.Load, s.load())
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set(wire.Seal, "seal-"+attempt)
	w.Header().Set(wire.Load, s.load())
	text := answerOf(attempt, todo.bytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if todo.crash {
		_, _ = io.WriteString(w, text[:todo.crashAt])
		_ = http.NewResponseController(w).Flush()
		s.world.recorder.ended(attempt, id, "the server crashes")
		s.crash()
		return
	}
	if todo.cutAt == 0 {
		s.world.recorder.ended(attempt, id, "done")
		_, _ = io.WriteString(w, text)
		return
	}
	s.world.recorder.ended(attempt, id, "its answer is broken off")
	_, _ = io.WriteString(w, text[:todo.cutAt])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// answerOf returns the body of the answer to an attempt, of a length or more.
func answerOf(attempt string, bytes int) string {
	text := "answer to " + attempt + "\n"
	return strings.Repeat(text, 1+bytes/len(text))
}

func (s *server) reject(w http.ResponseWriter, why string) {
	w.Header().Set(wire.NotExecuted, "1")
	w.Header().Set(wire.Load, s.load())
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, why+"\n")
}
