package yuccafake

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// TokenHeader carries what makes a request unique in the ledger.
const TokenHeader = "Token"

// Behaviour is how a backend server acts.
type Behaviour struct {
	// Slots is how many requests it works on at once.
	Slots int `json:"slots"`
	// Conns is how many connections it takes.
	Conns int `json:"conns"`
	// Work is how long a request takes.
	Work time.Duration `json:"work"`
	// ColdFactor multiplies Work for the first WarmupRequests requests.
	ColdFactor     float64 `json:"cold"`
	WarmupRequests int     `json:"warm"`
	// Shed makes it answer 503 with Yucca-Run: no when every slot is taken;
	// otherwise requests wait for a slot.
	Shed bool `json:"shed"`
	// Lag delays what /load reports. ReportedBusy replaces the reported number of busy
	// slots when it is zero or more.
	Lag          time.Duration `json:"lag"`
	ReportedBusy int           `json:"lie"`
	// Rate bounds the bytes per second of one answer; zero means no bound.
	Rate int `json:"rate"`
	// Silent makes it stop sending in the middle of bodies without closing.
	Silent bool `json:"silent"`
	// Cut makes it close connections in the middle of bodies.
	Cut bool `json:"cut"`
}

// Execution is what a ledger holds for one token.
type Execution struct {
	Times int `json:"times"`
	// Method is that of the last request.
	Method string `json:"method"`
}

// Server is a backend server that keeps a ledger of what it ran. Make one with
// NewServer.
//
// Paths: /load reports busy slots; /file/NAME?size=N gives a body of N bytes
// with a strong ETag, Range and If-Range; /crash ends the server; every other
// path echoes the token, followed by ?size=N bytes.
type Server struct {
	addr   string
	ledger *ExecutionLog

	mu      sync.Mutex
	act     Behaviour
	busy    int
	served  int
	reports []report
	slots   chan struct{}
	http    *fasthttp.Server
	socket  net.Listener
	group   *errgroup.Group
	closed  chan struct{}
	conns   map[net.Conn]struct{}
	inspect func(*fasthttp.RequestHeader)
}

type report struct {
	at   time.Time
	busy int
}

// NewServer returns a server for addr that is not listening yet.
func NewServer(addr string, act Behaviour, ledger *ExecutionLog) *Server {
	if act.Slots == 0 {
		act.Slots = 1
	}
	return &Server{addr: addr, act: act, ledger: ledger, slots: make(chan struct{}, act.Slots)}
}

// Addr returns the address it listens on, with the port filled in after Start.
func (s *Server) Addr() string { return s.addr }

// Start listens. A server that crashed or was closed may be started again.
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
	s.slots = make(chan struct{}, s.act.Slots)
	s.group = &errgroup.Group{}
	s.http = &fasthttp.Server{
		Handler:           s.serve,
		ConnState:         s.track,
		Logger:            silent{},
		StreamRequestBody: true,
	}
	server := s.http
	s.socket = l
	s.group.Go(func() error { return server.Serve(l) })
	return nil
}

// Crash closes the listener and every connection at once.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.http == nil {
		s.mu.Unlock()
		return
	}
	server := s.http
	s.http = nil
	close(s.closed)
	_ = s.socket.Close()
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

// Alive reports whether the server listens.
func (s *Server) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http != nil
}

// Close is Crash followed by waiting for the listener to end.
func (s *Server) Close() {
	s.Crash()
	if s.group != nil {
		_ = s.group.Wait()
	}
}

// UpdateBehaviour changes how the server acts. The number of slots stays.
func (s *Server) UpdateBehaviour(change func(*Behaviour)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.act)
}

// Inspect calls fn with the head of each request. Call it before Start.
func (s *Server) Inspect(fn func(*fasthttp.RequestHeader)) { s.inspect = fn }

func (s *Server) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[c] = struct{}{}
		if s.act.Conns > 0 && len(s.conns) > s.act.Conns {
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
		s.load(ctx)
	case path == "/crash":
		s.Crash()
	default:
		s.work(ctx, path)
	}
}

func (s *Server) load(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := s.busy
	if s.act.Lag > 0 {
		busy = s.reported(time.Now().Add(-s.act.Lag))
	}
	if s.act.ReportedBusy >= 0 {
		busy = s.act.ReportedBusy
	}
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"busy":%d,"slots":%d}`, busy, s.act.Slots)
}

func (s *Server) reported(at time.Time) int {
	for i := len(s.reports) - 1; i >= 0; i-- {
		if !s.reports[i].at.After(at) {
			return s.reports[i].busy
		}
	}
	return 0
}

// work takes a slot, runs the request and gives the slot back.
func (s *Server) work(ctx *fasthttp.RequestCtx, path string) {
	s.mu.Lock()
	act, slots, closed := s.act, s.slots, s.closed
	s.mu.Unlock()
	if !s.take(act, slots, closed) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Yucca-Run", "no")
		return
	}
	defer func() {
		<-slots
		s.count(-1)
	}()
	token := string(ctx.Request.Header.Peek(TokenHeader))
	s.ledger.Record(token, string(ctx.Method()))
	s.pause(act, closed)
	if name, ok := strings.CutPrefix(path, "/file/"); ok {
		s.file(ctx, act, name)
		return
	}
	ctx.SetBodyString(token + "\n" + strings.Repeat("x", size(ctx)))
}

func (s *Server) take(act Behaviour, slots, closed chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		s.count(1)
		return true
	default:
	}
	if act.Shed {
		return false
	}
	select {
	case slots <- struct{}{}:
		s.count(1)
		return true
	case <-closed:
		return false
	}
}

func (s *Server) count(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy += by
	if by > 0 {
		s.served++
	}
	if s.act.Lag > 0 {
		s.reports = append(s.reports, report{time.Now(), s.busy})
	}
}

func (s *Server) pause(act Behaviour, closed chan struct{}) {
	d := act.Work
	s.mu.Lock()
	if s.served <= act.WarmupRequests && act.ColdFactor > 0 {
		d = time.Duration(float64(d) * act.ColdFactor)
	}
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-closed:
	}
}

func size(ctx *fasthttp.RequestCtx) int {
	n, err := strconv.Atoi(string(ctx.QueryArgs().Peek("size")))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// ExecutionLog counts what ran, over any number of servers. Make one with NewExecutionLog.
type ExecutionLog struct {
	mu   sync.Mutex
	runs map[string]Execution
}

// NewExecutionLog returns an empty ledger.
func NewExecutionLog() *ExecutionLog { return &ExecutionLog{runs: map[string]Execution{}} }

// Record counts one run of a token. An empty token is not counted.
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

// Times returns how often a token ran.
func (l *ExecutionLog) Times(token string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[token].Times
}

// Total is a ledger's summary.
type Total struct {
	// Tokens is how many different tokens ran.
	Tokens int `json:"tokens"`
	// Doubled is how many tokens of POST requests ran more than once.
	Doubled int `json:"doubled"`
}

// Total returns the summary.
func (l *ExecutionLog) Total() Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Total{Tokens: len(l.runs)}
	for _, r := range l.runs {
		if r.Method == fasthttp.MethodPost && r.Times > 1 {
			t.Doubled++
		}
	}
	return t
}

// MarshalJSON prints every token's runs.
func (l *ExecutionLog) MarshalJSON() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.runs)
}

type silent struct{}

func (silent) Printf(string, ...any) {}
