package yuccafake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Step is a point in the exchange of one request at which a FaultyServer fails.
type Step uint8

// The steps, in order.
const (
	// NoStep means that the request is served.
	NoStep Step = iota
	// AfterConnect comes before any byte of the request.
	AfterConnect
	// MidRequest comes after the first byte of the request.
	MidRequest
	// AfterRequest comes after the last byte of the request, which has run.
	AfterRequest
	// MidHead comes inside the head of the answer.
	MidHead
	// MidBody comes inside the body of the answer.
	MidBody
)

// FailureMode is how a FaultyServer fails.
type FailureMode uint8

// The ways to fail.
const (
	// CloseConn closes the connection.
	CloseConn FailureMode = iota
	// ResetConn resets the connection.
	ResetConn
	// Stall sends nothing more and keeps the connection open.
	Stall
	// Garbage sends bytes that are not HTTP.
	Garbage
	// Late sends the rest after a delay.
	Late
	// ExtraResponse sends the answer of another caller after its own.
	ExtraResponse
)

// Fault is how one request fails.
type Fault struct {
	Step Step
	Mode FailureMode
}

// FaultyServer is a backend server made of bare sockets that fails at a chosen step of
// an exchange. Make one with NewFaultyServer.
type FaultyServer struct {
	delay  time.Duration
	ledger *ExecutionLog
	fault  func(n int64) Fault
	reply  func(token string) string
	socket net.Listener
	group  errgroup.Group
	closed chan struct{}
	count  atomic.Int64
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

// Echo is the plain answer of a FaultyServer: the token as a body.
func Echo(token string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(token)+1, token)
}

// NewFaultyServer returns a listening server. Fault is asked once for each request by
// its number, from 1 on; reply gives the bytes of the answer; a late answer comes
// after the delay.
func NewFaultyServer(ledger *ExecutionLog, delay time.Duration, fault func(n int64) Fault, reply func(token string) string) (*FaultyServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &FaultyServer{delay: delay, ledger: ledger, fault: fault, reply: reply, socket: l, closed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	w.group.Go(w.accept)
	return w, nil
}

// Addr returns the address it listens on.
func (w *FaultyServer) Addr() string { return w.socket.Addr().String() }

// Close ends the server and every connection.
func (w *FaultyServer) Close() {
	close(w.closed)
	_ = w.socket.Close()
	w.mu.Lock()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	_ = w.group.Wait()
}

func (w *FaultyServer) accept() error {
	for {
		c, err := w.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		w.group.Go(func() error {
			w.serve(c)
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
			return c.Close()
		})
	}
}

// serve answers requests until one fails.
func (w *FaultyServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		fault := Fault{}
		if first {
			fault = w.fault(w.count.Add(1))
		}
		if fault.Step == AfterConnect && !w.fail(c, fault.Mode, "") {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		if !first {
			fault = w.fault(w.count.Add(1))
		}
		if fault.Step == MidRequest && !w.fail(c, fault.Mode, "") {
			return
		}
		if !w.answer(c, r, fault) {
			return
		}
	}
}

// answer reads one request and answers it. It reports whether the connection
// goes on.
func (w *FaultyServer) answer(c net.Conn, r *bufio.Reader, fault Fault) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	token := req.Header.Get(TokenHeader)
	w.ledger.Record(token, req.Method)
	text := w.reply(token)
	cut := map[Step]int{AfterRequest: 0, MidHead: 10, MidBody: len(text) - len(token)/2 - 1}
	n, ok := cut[fault.Step]
	if !ok {
		n = len(text)
	}
	if _, err := io.WriteString(c, text[:n]); err != nil {
		return false
	}
	return !ok || w.fail(c, fault.Mode, text[n:])
}

// fail carries an act out, with the rest of the answer. It reports whether the
// connection goes on.
func (w *FaultyServer) fail(c net.Conn, act FailureMode, rest string) bool {
	switch act {
	case ResetConn:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Stall:
		_, _ = io.Copy(io.Discard, c)
	case Garbage:
		_, _ = io.WriteString(c, "\x16\x03\x01 garbage\r\n\r\n")
	case Late:
		if !w.pause() {
			return false
		}
		_, err := io.WriteString(c, rest)
		return err == nil
	case ExtraResponse:
		_, err := io.WriteString(c, rest+Echo("another"))
		return err == nil
	}
	return false
}

func (w *FaultyServer) pause() bool {
	t := time.NewTimer(w.delay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.closed:
		return false
	}
}
