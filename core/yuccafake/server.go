package yuccafake

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// TokenHeader is the request header with the token that identifies a request in
// an ExecutionLog.
const TokenHeader = "Token"

// Behaviour is the capacity, speed and faults of a Server.
type Behaviour struct {
	// Slots is how many requests the server runs at once; zero means one.
	Slots int `json:"slots"`
	// Conns is the maximum number of open connections; zero means no limit.
	Conns int `json:"conns"`
	// Work is how long a request takes.
	Work time.Duration `json:"work"`
	// ColdFactor multiplies Work for the first WarmupRequests requests after Start;
	// zero means that the server starts warm.
	ColdFactor float64 `json:"cold"`
	// WarmupRequests is how many requests after Start run cold.
	WarmupRequests int `json:"warm"`
	// Shed makes the server answer 503 with Yucca-Run: no when no slot is free;
	// otherwise requests wait for a slot.
	Shed bool `json:"shed"`
	// HoldOff is the time in the Retry-After of those answers, rounded up to a second;
	// zero means that they have none.
	HoldOff time.Duration `json:"pause"`
	// Lag is the age of the load that /load reports.
	Lag time.Duration `json:"lag"`
	// ReportedBusy replaces the number of busy slots that /load reports; a negative
	// number reports the real one.
	ReportedBusy int `json:"lie"`
	// Rate limits the bytes per second of one file response; zero means no limit.
	Rate int `json:"rate"`
	// StallBody makes the server stop sending in the middle of a file without closing
	// the connection.
	StallBody bool `json:"silent"`
	// CutBody makes the server close the connection in the middle of a file.
	CutBody bool `json:"cut"`
}

// Execution is what an ExecutionLog holds for one token.
type Execution struct {
	// Times is how often a request with the token ran.
	Times int `json:"times"`
	// Method is the method of the last such request.
	Method string `json:"method"`
}

// Server is a backend server that records what it runs in an ExecutionLog. Make
// one with NewServer.
//
// Paths: /load reports the busy slots; /file/NAME?size=N returns a file of N bytes
// with a strong ETag and supports Range and If-Range; /crash calls Crash; every
// other path echoes the token, followed by ?size=N bytes.
type Server struct {
	addr       string
	executions *ExecutionLog

	mu        sync.Mutex
	behaviour Behaviour
	busy      int
	// served counts the requests that got a slot since Start.
	served int
	// samples holds the number of busy slots after each change while Lag is set.
	samples []busySample
	// slots holds one element for each running request.
	slots chan struct{}
	// httpServer is nil while the server does not listen.
	httpServer *fasthttp.Server
	listener   net.Listener
	group      *errgroup.Group
	// closed is closed by Crash.
	closed  chan struct{}
	conns   map[net.Conn]struct{}
	inspect func(*fasthttp.RequestHeader)
}

// busySample is the number of busy slots from a time on.
type busySample struct {
	at   time.Time
	busy int
}

// NewServer returns a server for addr. It listens only after Start.
func NewServer(addr string, behaviour Behaviour, executions *ExecutionLog) *Server {
	if behaviour.Slots == 0 {
		behaviour.Slots = 1
	}
	return &Server{addr: addr, behaviour: behaviour, executions: executions, slots: make(chan struct{}, behaviour.Slots)}
}

// Addr returns the address that the server listens on. After Start it contains
// the actual port.
func (s *Server) Addr() string { return s.addr }

// Start listens. It may be called again after Crash or Close.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = l.Addr().String()
	s.closed = make(chan struct{})
	s.conns = map[net.Conn]struct{}{}
	s.busy, s.served = 0, 0
	s.slots = make(chan struct{}, s.behaviour.Slots)
	s.group = &errgroup.Group{}
	s.httpServer = &fasthttp.Server{
		Handler:           s.serve,
		ConnState:         s.trackConn,
		Logger:            discardLogger{},
		StreamRequestBody: true,
	}
	server := s.httpServer
	s.listener = l
	s.group.Go(func() error { return server.Serve(l) })
	return nil
}

// Crash closes the listener and resets every connection at once.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.httpServer == nil {
		s.mu.Unlock()
		return
	}
	server := s.httpServer
	s.httpServer = nil
	close(s.closed)
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_ = server.ShutdownWithContext(ctx)
}

// Alive reports whether the server is listening.
func (s *Server) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.httpServer != nil
}

// Close calls Crash and waits until the server has stopped accepting.
func (s *Server) Close() {
	s.Crash()
	s.mu.Lock()
	group := s.group
	s.mu.Unlock()
	if group != nil {
		_ = group.Wait()
	}
}

// UpdateBehaviour applies change to the behaviour. The number of slots that limits
// requests changes only at the next Start.
func (s *Server) UpdateBehaviour(change func(*Behaviour)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behaviour)
}

// Inspect sets a function that is called with the header of each request. Call it
// before Start.
func (s *Server) Inspect(fn func(*fasthttp.RequestHeader)) { s.inspect = fn }

// trackConn records open connections and closes new ones over the limit.
func (s *Server) trackConn(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[c] = struct{}{}
		if s.behaviour.Conns > 0 && len(s.conns) > s.behaviour.Conns {
			_ = c.Close()
		}
	case fasthttp.StateClosed:
		delete(s.conns, c)
	}
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	if s.inspect != nil {
		s.inspect(&ctx.Request.Header)
	}
	path := string(ctx.Path())
	switch {
	case path == "/load":
		s.serveLoad(ctx)
	case path == "/crash":
		s.Crash()
	default:
		s.execute(ctx, path)
	}
}

func (s *Server) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := s.busy
	if s.behaviour.Lag > 0 {
		busy = s.busyAt(time.Now().Add(-s.behaviour.Lag))
	}
	if s.behaviour.ReportedBusy >= 0 {
		busy = s.behaviour.ReportedBusy
	}
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"busy":%d,"slots":%d}`, busy, s.behaviour.Slots)
}

// busyAt returns the number of busy slots at a time. The caller holds mu.
func (s *Server) busyAt(at time.Time) int {
	for i := len(s.samples) - 1; i >= 0; i-- {
		if !s.samples[i].at.After(at) {
			return s.samples[i].busy
		}
	}
	return 0
}

// execute acquires a slot, runs the request and releases the slot.
func (s *Server) execute(ctx *fasthttp.RequestCtx, path string) {
	s.mu.Lock()
	behaviour, slots, closed := s.behaviour, s.slots, s.closed
	s.mu.Unlock()
	if !s.acquireSlot(behaviour, slots, closed) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Yucca-Run", "no")
		if behaviour.HoldOff > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(behaviour.HoldOff.Seconds()))))
		}
		return
	}
	defer func() {
		<-slots
		s.addBusy(-1)
	}()
	token := string(ctx.Request.Header.Peek(TokenHeader))
	s.executions.Record(token, string(ctx.Method()))
	s.simulateWork(behaviour, closed)
	if name, ok := strings.CutPrefix(path, "/file/"); ok {
		s.serveFile(ctx, behaviour, name)
		return
	}
	ctx.SetBodyString(token + "\n" + strings.Repeat("x", bodySize(ctx)))
}

// acquireSlot waits for a slot and reports whether it got one. It does not wait
// under Shed, and stops waiting when the server crashes.
func (s *Server) acquireSlot(behaviour Behaviour, slots, closed chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		s.addBusy(1)
		return true
	default:
	}
	if behaviour.Shed {
		return false
	}
	select {
	case slots <- struct{}{}:
		s.addBusy(1)
		return true
	case <-closed:
		return false
	}
}

// addBusy adds delta to the number of busy slots.
func (s *Server) addBusy(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy += delta
	if delta > 0 {
		s.served++
	}
	if s.behaviour.Lag > 0 {
		s.samples = append(s.samples, busySample{time.Now(), s.busy})
	}
}

// simulateWork blocks for as long as a request takes, or until the server crashes.
func (s *Server) simulateWork(behaviour Behaviour, closed chan struct{}) {
	d := behaviour.Work
	s.mu.Lock()
	if s.served <= behaviour.WarmupRequests && behaviour.ColdFactor > 0 {
		d = time.Duration(float64(d) * behaviour.ColdFactor)
	}
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-closed:
	}
}

// bodySize returns the query argument size, or 0 when it is missing or invalid.
func bodySize(ctx *fasthttp.RequestCtx) int {
	n, err := strconv.Atoi(string(ctx.QueryArgs().Peek("size")))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// ExecutionLog counts the requests that any number of servers ran, by token. Make
// one with NewExecutionLog.
type ExecutionLog struct {
	mu   sync.Mutex
	runs map[string]Execution
}

// NewExecutionLog returns an empty log.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{runs: map[string]Execution{}} }

// Record counts one run of the request with a token. It ignores an empty token.
func (l *ExecutionLog) Record(token, method string) {
	if token == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[token]
	r.Times++
	r.Method = method
	l.runs[token] = r
}

// Times returns how often the request with a token ran.
func (l *ExecutionLog) Times(token string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[token].Times
}

// Total summarizes an ExecutionLog.
type Total struct {
	// Tokens is the number of different tokens.
	Tokens int `json:"tokens"`
	// DuplicatePosts is the number of tokens of POST requests that ran more than once.
	DuplicatePosts int `json:"doubled"`
}

// Total returns the summary of the log.
func (l *ExecutionLog) Total() Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Total{Tokens: len(l.runs)}
	for _, r := range l.runs {
		if r.Method == fasthttp.MethodPost && r.Times > 1 {
			t.DuplicatePosts++
		}
	}
	return t
}

// MarshalJSON returns an object with the Execution of each token.
func (l *ExecutionLog) MarshalJSON() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.runs)
}

// discardLogger discards what fasthttp logs.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
