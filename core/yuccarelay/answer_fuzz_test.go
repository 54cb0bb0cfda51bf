package yuccarelay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccarelay"
)

const (
	// idHeader names the request that an answer belongs to.
	idHeader = "Id"
	// canceled is the name of the error of a request whose caller has left.
	canceled = "canceled"
	// freshHeader marks the answers on connections after the first.
	freshHeader = "Fresh"
	// nextRequestTimeout is how long the server keeps the first connection for the second
	// request.
	nextRequestTimeout = 20 * time.Millisecond
	// answerTimeout bounds each request.
	answerTimeout = 2 * time.Second
	// maxSkipped is the number of answers that may precede that of a request.
	maxSkipped = 2
)

// namedProtocol is a Protocol in which answers name their requests.
type namedProtocol struct{ yuccarelay.DefaultProtocol }

func (namedProtocol) ID(h *fasthttp.RequestHeader) string { return string(h.Peek(idHeader)) }

func (namedProtocol) ClassifyResponse(id string, h *fasthttp.ResponseHeader) yuccarelay.ResponseClass {
	switch string(h.Peek(idHeader)) {
	case id:
		return yuccarelay.Genuine
	case "":
		return yuccarelay.Unnamed
	}
	return yuccarelay.Mismatched
}

// script is what the server writes on its first connection after the first and after the
// second request, and how.
type script struct {
	first, second []byte
	// split is where the first part of each is cut in two writes.
	split uint16
	// reset is set if the server resets the connection in place of closing it.
	reset bool
}

// scriptServer is a backend server that follows a script.
type scriptServer struct {
	script script
	conns  atomic.Int64
	// continued is set if the first connection has brought a second request.
	continued atomic.Bool
}

// written returns the bytes that the server has written on its first connection.
func (s *scriptServer) written() []byte {
	if !s.continued.Load() {
		return s.script.first
	}
	return append(bytes.Clone(s.script.first), s.script.second...)
}

func (s *scriptServer) accept(l net.Listener, group *errgroup.Group) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return nil
		}
		first := s.conns.Add(1) == 1
		group.Go(func() error {
			s.serve(c.(*net.TCPConn), first)
			return nil
		})
	}
}

func (s *scriptServer) serve(c *net.TCPConn, first bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if !first {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", idHeader, req.Header.Get(idHeader), freshHeader)
		return
	}
	s.write(c, s.script.first)
	_ = c.SetReadDeadline(time.Now().Add(nextRequestTimeout))
	if _, err := http.ReadRequest(r); err == nil {
		s.continued.Store(true)
		s.write(c, s.script.second)
	}
	if s.script.reset {
		_ = c.SetLinger(0)
	}
}

func (s *scriptServer) write(c *net.TCPConn, p []byte) {
	n := int(s.script.split) % (len(p) + 1)
	_, _ = c.Write(p[:n])
	time.Sleep(100 * time.Microsecond)
	_, _ = c.Write(p[n:])
}

// answer is an answer as its receiver takes it.
type answer struct {
	status int
	// bodiless is set if the header announces a body that the answer to HEAD lacks.
	bodiless bool
	// id, fresh and failure are the values of header fields.
	id, fresh, failure string
	body               string
}

// readAnswer reads one whole answer to a request. It is the reference for what is whole. An
// answer without a length is whole if the connection was closed and not reset.
func readAnswer(r *bufio.Reader, method string, reset bool) (answer, error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	bodiless := method == http.MethodHead && resp.StatusCode >= http.StatusOK && resp.ContentLength != 0
	body, err := io.ReadAll(resp.Body)
	if err == nil && reset && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	return answer{resp.StatusCode, bodiless, resp.Header.Get(idHeader), resp.Header.Get(freshHeader), resp.Header.Get(yuccarelay.ErrorHeader), string(body)}, err
}

// expectedAnswer returns the whole answer to a request among the bytes of a connection, and
// false if there is none. Answers that belong to other requests may precede it.
func expectedAnswer(r *bufio.Reader, method, id string, reset bool) (answer, bool) {
	for skipped := 0; skipped <= maxSkipped; {
		a, err := readAnswer(r, method, reset)
		switch {
		case err != nil:
			return answer{}, false
		case a.status < http.StatusOK:
			continue
		case a.id == id:
			return a, true
		case a.bodiless:
			// It may belong to a request of another method, and then its body follows.
			return answer{}, false
		}
		skipped++
	}
	return answer{}, false
}

// resettingPath is a Path whose connections are reset when the relay closes them, so that
// none of many thousands keeps its port.
type resettingPath struct{}

func (resettingPath) Dial(_ context.Context, to yuccarelay.Server) (net.Conn, error) {
	return dialResetting(to.Addr)
}

func (resettingPath) Usable(net.Conn, time.Time) bool { return true }

func (resettingPath) Responded(net.Conn, time.Time) {}

func (resettingPath) Broken(net.Conn, string) {}

func (resettingPath) Silent(net.Conn, string, time.Time) bool { return false }

// dialResetting returns a connection that is reset when it is closed.
func dialResetting(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, answerTimeout)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetLinger(0)
}

// answerFixture is a relay behind a listener that stays for all inputs.
type answerFixture struct {
	fixture
	// current is the relay of the present input.
	current atomic.Pointer[yuccarelay.Relay]
}

func newAnswerFixture(f *testing.F) *answerFixture {
	w := &answerFixture{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f, err, qt.IsNil)
	w.addr = l.Addr().String()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { w.current.Load().Serve(ctx) }, StreamRequestBody: true, NoDefaultDate: true}
	group := &errgroup.Group{}
	group.Go(func() error { return server.Serve(l) })
	f.Cleanup(func() {
		_ = server.Shutdown()
		_ = group.Wait()
	})
	return w
}

// run has a caller send two requests, one after the other. It returns what the caller takes
// for whole answers, nil where there is none, and what the server has written on its first
// connection.
func (w *answerFixture) run(t *testing.T, s script, methods [2]string) (answers [2]*answer, written []byte) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server, group := &scriptServer{script: s}, &errgroup.Group{}
	group.Go(func() error { return server.accept(l, group) })
	opt := yuccarelay.Options{Protocol: namedProtocol{}, Path: resettingPath{}, MaxBufferedBytes: 1 << 16, RetryServerErrors: true, NoResume: true, NoHedge: true}
	relay := w.newRelay(t, opt, []backend{{l.Addr().String(), 8}})
	w.current.Store(relay)
	for i, method := range methods {
		answers[i] = w.send(t, method, requestID(i))
	}
	relay.Close()
	_ = l.Close()
	qt.Assert(t, group.Wait(), qt.IsNil)
	return answers, server.written()
}

func (w *answerFixture) send(t *testing.T, method, id string) *answer {
	c, err := dialResetting(w.addr)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * answerTimeout))
	_, _ = fmt.Fprintf(c, "%s /x HTTP/1.1\r\nHost: s.example\r\n%s: %s\r\n%s: %v\r\nContent-Length: 0\r\n\r\n", method, idHeader, id, yuccarelay.DeadlineHeader, answerTimeout)
	a, err := readAnswer(bufio.NewReader(c), method, false)
	if err != nil {
		return nil
	}
	return &a
}

func requestID(i int) string { return fmt.Sprint("q", i) }

// FuzzAnswers has a server write any bytes, in any parts, after the requests of a connection.
// It guards against bytes of one answer that count for another request, against answers that
// are not whole and look so to the caller, and against a cut that is taken for the caller's.
func FuzzAnswers(f *testing.F) {
	for _, s := range answerSeeds {
		for _, kind := range []uint8{0, 1, 2, 4, 6, 8, 129} {
			f.Add([]byte(s.first), []byte(s.second), uint16(30), kind)
		}
	}
	w := newAnswerFixture(f)
	f.Fuzz(func(t *testing.T, first, second []byte, split uint16, kind uint8) {
		all := []string{http.MethodGet, http.MethodPost, http.MethodHead}
		methods := [2]string{all[kind%3], all[kind/3%3]}
		s := script{first, second, split, kind >= 128}
		answers, written := w.run(t, s, methods)
		r, whole := bufio.NewReader(bytes.NewReader(written)), true
		for i, got := range answers {
			var want answer
			if whole {
				want, whole = expectedAnswer(r, methods[i], requestID(i), s.reset)
			}
			if got != nil && got.id == "" && got.failure == canceled {
				t.Fatalf("request %d (%s), whose caller waits, is answered as canceled by it", i, methods[i])
			}
			if got == nil || got.id == "" && got.status >= fasthttp.StatusBadRequest && got.failure != "" {
				continue
			}
			fresh := answer{status: fasthttp.StatusOK, id: requestID(i), fresh: "1"}
			if *got != fresh && (!whole || *got != want) {
				t.Fatalf("request %d (%s) got %+v, expected %+v (whole: %v) or one of another connection", i, methods[i], *got, want, whole)
			}
		}
	})
}

// answerSeeds are what faulty servers write.
var answerSeeds = []struct{ name, first, second string }{
	{"sound", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\ncd"},
	{"early", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nxx", "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\ncd"},
	{"doubled", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\ncd"},
	{"late double", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\ncd"},
	{"no length", "HTTP/1.1 200 OK\r\nId: q0\r\n\r\nab", "HTTP/1.1 200 OK\r\nId: q1\r\n\r\ncd"},
	{"cut head", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Le", "HTTP/1.1 200 OK\r\nId: q1\r\n"},
	{"cut body", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 9\r\n\r\nab", ""},
	{"no id", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd"},
	{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 101 Switch\r\n\r\n"},
	{"trailers", "HTTP/1.1 200 OK\r\nId: q0\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nSum: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nId: q1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\nSum: 1"},
	{"chunk extensions", "HTTP/1.1 200 OK\r\nId: q0\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0;c\r\n\r\n", "HTTP/1.1 200 OK\r\nId: q1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ncd\r\n"},
	{"204 with a body", "HTTP/1.1 204 No\r\nId: q0\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\ncd"},
	{"304 with a body", "HTTP/1.1 304 No\r\nId: q0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\ncd"},
	{"two lengths", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"bytes after", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nab\r\n\r\n", "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\ncd"},
	{"answer in a body", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 49\r\n\r\nHTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nxx" + "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\ncd"},
}
