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

// The steps of an exchange, in order.
const (
	// NoStep means that the request does not fail.
	NoStep Step = iota
	// AfterConnect is before any byte of the request.
	AfterConnect
	// MidRequest is after the first byte of the request.
	MidRequest
	// AfterRequest is after the last byte of the request, which has run.
	AfterRequest
	// MidHead is inside the head of the response.
	MidHead
	// MidBody is inside the body of the response.
	MidBody
	// AfterResponse is after the last byte of the response.
	AfterResponse
)

// FailureMode is how a FaultyServer fails at a Step.
type FailureMode uint8

// The failure modes.
const (
	// CloseConn closes the connection.
	CloseConn FailureMode = iota
	// ResetConn resets the connection.
	ResetConn
	// Stall sends nothing more and keeps the connection open.
	Stall
	// Garbage sends bytes that are not HTTP.
	Garbage
	// Late sends the rest of the response after the delay of NewFaultyServer.
	Late
	// ExtraResponse sends the rest of the response and then a second one, with the
	// token of another request.
	ExtraResponse
)

// Fault is how one request fails. The zero value does not fail.
type Fault struct {
	// Step is where the exchange fails.
	Step Step
	// Mode is how it fails.
	Mode FailureMode
}

// FaultyServer is a backend server that writes HTTP to raw connections, so that it
// can fail at any step of an exchange. Make one with NewFaultyServer.
type FaultyServer struct {
	delay      time.Duration
	executions *ExecutionLog
	fault      func(n int64) Fault
	reply      func(token string) string
	listener   net.Listener
	group      errgroup.Group
	// closed is closed by Close.
	closed chan struct{}
	// requests is the number of the latest request.
	requests atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Echo returns a response with the token and a newline as its body. It is the
// usual reply function of a FaultyServer.
func Echo(token string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n", len(token)+1, token)
}

// NewFaultyServer returns a server that listens on a loopback address until Close.
// It calls fault once for each request, with the request's number from 1 on, and
// reply for the bytes of the response. The delay is the wait of a Late failure.
func NewFaultyServer(executions *ExecutionLog, delay time.Duration, fault func(n int64) Fault, reply func(token string) string) (*FaultyServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &FaultyServer{delay: delay, executions: executions, fault: fault, reply: reply, listener: l, closed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	w.group.Go(w.accept)
	return w, nil
}

// Addr returns the address that the server listens on.
func (w *FaultyServer) Addr() string { return w.listener.Addr().String() }

// Close stops the server and closes every connection.
func (w *FaultyServer) Close() {
	close(w.closed)
	_ = w.listener.Close()
	w.mu.Lock()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	_ = w.group.Wait()
}

func (w *FaultyServer) accept() error {
	for {
		c, err := w.listener.Accept()
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

// serve answers the requests of a connection until one fails. The fault of the first
// request is chosen when the connection opens, those of later requests when their
// first byte arrives. Later requests therefore cannot fail at AfterConnect.
func (w *FaultyServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		fault := Fault{}
		if first {
			fault = w.fault(w.requests.Add(1))
		}
		if fault.Step == AfterConnect && !w.fail(c, fault.Mode, "") {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		if !first {
			fault = w.fault(w.requests.Add(1))
		}
		if fault.Step == MidRequest && !w.fail(c, fault.Mode, "") {
			return
		}
		if !w.respond(c, r, fault) {
			return
		}
	}
}

// respond reads and runs one request and sends the response, up to the faulty
// step. It reports whether the connection stays in use.
func (w *FaultyServer) respond(c net.Conn, r *bufio.Reader, fault Fault) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	token := req.Header.Get(TokenHeader)
	w.executions.Record(token, req.Method)
	response := w.reply(token)
	offsets := map[Step]int{AfterRequest: 0, MidHead: 10, MidBody: len(response) - len(token)/2 - 1, AfterResponse: len(response)}
	n, fails := offsets[fault.Step]
	if !fails {
		n = len(response)
	}
	if _, err := io.WriteString(c, response[:n]); err != nil {
		return false
	}
	return !fails || w.fail(c, fault.Mode, response[n:])
}

// fail fails in a mode, where rest is the part of the response that has not been
// sent. It reports whether the connection stays in use.
func (w *FaultyServer) fail(c net.Conn, mode FailureMode, rest string) bool {
	switch mode {
	case ResetConn:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Stall:
		_, _ = io.Copy(io.Discard, c)
	case Garbage:
		_, _ = io.WriteString(c, "\x16\x03\x01 garbage\r\n\r\n")
	case Late:
		if !w.waitDelay() {
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

// waitDelay waits for the delay and returns false when the server closes first.
func (w *FaultyServer) waitDelay() bool {
	t := time.NewTimer(w.delay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.closed:
		return false
	}
}
