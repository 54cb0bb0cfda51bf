package yuccarelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccapoison"
	"yuccawell.example/core/yuccarelay"
)

// fakeClaims keeps responses by key and records the outcomes of claims.
type fakeClaims struct {
	mu        sync.Mutex
	responses map[string]*yuccaidempotency.Response
	outcomes  []yuccaidempotency.Outcome
	err       error
}

func (c *fakeClaims) Begin(_ context.Context, r yuccaidempotency.Request) (yuccaidempotency.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return yuccaidempotency.Claim{Request: r, Replay: c.responses[r.Key]}, c.err
}

func (c *fakeClaims) End(claim yuccaidempotency.Claim, o yuccaidempotency.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	c.responses[claim.Key] = o.Response
}

func (c *fakeClaims) outcomeList() []yuccaidempotency.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes
}

func withKey(key, token string) func(*fasthttp.Request) {
	return func(r *fasthttp.Request) {
		r.Header.SetMethod(fasthttp.MethodPost)
		r.Header.Set(yuccarelay.IdempotencyKeyHeader, key)
		r.Header.Set(yuccafake.TokenHeader, token)
		r.Header.Set(yuccarelay.DeadlineHeader, time.Second.String())
	}
}

func TestRelayReplaysFirstResponse(t *testing.T) {
	c := qt.New(t)
	guard := &fakeClaims{responses: map[string]*yuccaidempotency.Response{}}
	w := newFixtureWithOptions(t, yuccarelay.Options{Claims: guard}, yuccafake.Behaviour{Slots: 2})
	for range 3 {
		resp, err := w.call(withKey("k1", "t1"))
		c.Assert(err, qt.IsNil)
		c.Assert(string(resp.Body()), qt.Equals, "t1\n")
	}
	c.Assert(w.executions.Times("t1"), qt.Equals, 1)
	c.Assert(guard.outcomeList(), qt.HasLen, 1)
	c.Assert(guard.outcomeList()[0].MayHaveRun, qt.IsTrue)
}

func TestRelayEndsEachClaimOnce(t *testing.T) {
	none := yuccafake.Fault{}
	tests := []struct {
		name          string
		fault         yuccafake.Fault
		err           error
		ends          int
		ran           bool
		keepsResponse bool
		runHeader     string
	}{
		{"complete", none, nil, 1, true, true, ""},
		{"closed before the request ends", yuccafake.Fault{Step: yuccafake.MidRequest}, nil, 1, true, false, "maybe"},
		{"truncated response", yuccafake.Fault{Step: yuccafake.MidBody}, nil, 1, true, false, ""},
		{"not claimed", none, yuccaerror.New(yuccaerror.Throttled, "store down"), 0, false, false, "no"},
		{"still running", none, yuccaerror.New(yuccaerror.KeyInProgress, "first try"), 0, false, false, "maybe"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			guard := &fakeClaims{responses: map[string]*yuccaidempotency.Response{}, err: test.err}
			w := newFaultyServers(t, 2, yuccarelay.Options{Claims: guard}, func(int64) yuccafake.Fault { return test.fault }, yuccafake.Echo)
			resp, _ := w.call(withKey("k", "token"))
			c.Assert(string(resp.Header.Peek(yuccarelay.RunHeader)), qt.Equals, test.runHeader)
			c.Assert(guard.outcomeList(), qt.HasLen, test.ends)
			if test.ends > 0 {
				c.Assert(guard.outcomeList()[0].MayHaveRun, qt.Equals, test.ran)
				c.Assert(guard.outcomeList()[0].Response != nil, qt.Equals, test.keepsResponse)
			}
		})
	}
}

func TestRelayEndsDeclinedClaimAsNotRun(t *testing.T) {
	c := qt.New(t)
	guard := &fakeClaims{responses: map[string]*yuccaidempotency.Response{}}
	shed := func(string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nYucca-Run: no\r\nContent-Length: 0\r\n\r\n"
	}
	w := newFaultyServers(t, 2, yuccarelay.Options{Claims: guard}, func(int64) yuccafake.Fault { return yuccafake.Fault{} }, shed)
	resp, err := w.call(withKey("k", "token"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(resp.Header.Peek(yuccarelay.RunHeader)), qt.Equals, "no")
	c.Assert(guard.outcomeList(), qt.DeepEquals, []yuccaidempotency.Outcome{{}})
}

// fakeQuarantine quarantines a fingerprint after two server deaths.
type fakeQuarantine struct {
	mu      sync.Mutex
	running int
	deaths  map[yuccapoison.Fingerprint]int
	// outcomes holds how the attempts ended.
	outcomes []yuccapoison.Outcome
}

func (s *fakeQuarantine) Check(p yuccapoison.Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deaths[p] >= 2 {
		return yuccaerror.New(yuccaerror.Quarantined, "two servers died")
	}
	return nil
}

func (s *fakeQuarantine) Start(yuccapoison.Fingerprint, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

func (s *fakeQuarantine) End(run yuccapoison.Run, o yuccapoison.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.outcomes = append(s.outcomes, o)
	if o == yuccapoison.Broken {
		s.deaths[run.Fingerprint]++
	}
}

// ended reports whether all attempts have ended.
func (s *fakeQuarantine) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0 && len(s.outcomes) > 0
}

// TestRelayTellsWhatAttemptsProve guards against crashes of a request that are forgotten since
// a server has declined it, or its time has run out, as under overload, and against crashes
// that are not seen since they come after the head of the response (review case 10).
func TestRelayTellsWhatAttemptsProve(t *testing.T) {
	const declined = "HTTP/1.1 503 Unavailable\r\nYucca-Run: no\r\nContent-Length: 0\r\n\r\n"
	const failed = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
	const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	none := yuccafake.Fault{}
	at := func(step yuccafake.Step, mode yuccafake.FailureMode) yuccafake.Fault {
		return yuccafake.Fault{Step: step, Mode: mode}
	}
	stall, closing, reset := at(yuccafake.AfterRequest, yuccafake.Stall), at(yuccafake.AfterRequest, yuccafake.CloseConn), at(yuccafake.AfterResponse, yuccafake.ResetConn)
	closed, silent := at(yuccafake.AfterResponse, yuccafake.CloseConn), at(yuccafake.AfterResponse, yuccafake.Stall)
	sized := func(status string, length, sent int) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, length, strings.Repeat("x", sent))
	}
	tests := []struct {
		name, response string
		fault          yuccafake.Fault
		want           yuccapoison.Outcome
	}{
		{"answered", yuccafake.Echo("t"), none, yuccapoison.Answered},
		{"failed", failed, none, yuccapoison.Answered},
		{"declined", declined, none, yuccapoison.Unproven},
		{"no response in time", "", stall, yuccapoison.Unproven},
		{"connection closed", "", closing, yuccapoison.Broken},
		{"crash behind an interim response", "HTTP/1.1 100 Continue\r\n\r\n", reset, yuccapoison.Broken},
		{"crash in the head", "HTTP/1.1 200 OK\r\nContent-Le", reset, yuccapoison.Broken},
		{"crash after the head", sized("200 OK", 90_000, 0), reset, yuccapoison.Broken},
		{"crash midway", sized("200 OK", 90_000, 20_000), reset, yuccapoison.Broken},
		{"close midway", sized("200 OK", 90_000, 20_000), closed, yuccapoison.Broken},
		{"one byte short", sized("200 OK", 10, 9), closed, yuccapoison.Broken},
		{"crash in the body of a failure", sized("500 Failed", 10, 5), reset, yuccapoison.Broken},
		{"crash between chunks", chunkedHead + "\r\n4\r\nbody\r\n", reset, yuccapoison.Broken},
		{"crash in the trailer", chunkedHead + "Trailer: T\r\n\r\n4\r\nbody\r\n0\r\nT: ", closed, yuccapoison.Broken},
		{"crash in a body without a length", "HTTP/1.1 200 OK\r\n\r\nbody", reset, yuccapoison.Broken},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\nbody", closed, yuccapoison.Answered},
		{"body not in time", sized("200 OK", 90_000, 20_000), silent, yuccapoison.Unproven},
		{"crash in the body of a refusal", "HTTP/1.1 503 Unavailable\r\nYucca-Run: no\r\nContent-Length: 9\r\n\r\nb", reset, yuccapoison.Unproven},
	}
	for _, buffered := range []int{0, 64 << 10} {
		for _, test := range tests {
			t.Run(fmt.Sprint(test.name, " ", buffered), func(t *testing.T) {
				guard := &fakeQuarantine{deaths: map[yuccapoison.Fingerprint]int{}}
				options := yuccarelay.Options{Quarantine: guard, MaxBufferedBytes: buffered, NoResume: true}
				w := newFaultyServers(t, 1, options, func(int64) yuccafake.Fault { return test.fault }, func(string) string { return test.response })
				_, err := w.callWithToken(fasthttp.MethodPost, "t", shortTimeout)
				qt.Assert(t, err == nil || test.fault != none, qt.IsTrue, qt.Commentf("%v", err))
				for end := time.Now().Add(longTimeout); !guard.ended() && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				qt.Assert(t, guard.outcomes, qt.DeepEquals, []yuccapoison.Outcome{test.want})
			})
		}
	}
}

// TestQuarantineOfOneAccountSparesOthers guards against callers who are rejected because the
// same request of another account has crashed its servers, and against crashes that count for
// nothing since another account's request is answered.
func TestQuarantineOfOneAccountSparesOthers(t *testing.T) {
	c := qt.New(t)
	guard := &fakeQuarantine{deaths: map[yuccapoison.Fingerprint]int{}}
	opt := yuccarelay.Options{Quarantine: guard, Router: accountRouter(nil, accountWithKey("a"), accountWithKey("b")), Protocol: accountProtocol{}}
	closing := yuccafake.Fault{Step: yuccafake.AfterRequest, Mode: yuccafake.CloseConn}
	fault := func(n int64) yuccafake.Fault {
		if n > 2 {
			return yuccafake.Fault{}
		}
		return closing
	}
	w := newFaultyServers(t, 4, opt, fault, func(string) string { return yuccafake.Echo("t") })
	call := func(key string) int {
		resp, err := w.call(func(r *fasthttp.Request) { r.Header.Set("Key", key) })
		c.Assert(err, qt.IsNil)
		return resp.StatusCode()
	}
	for range 4 {
		call("a")
	}
	c.Assert(guard.deaths, qt.HasLen, 1)
	c.Assert(call("a"), qt.Equals, fasthttp.StatusUnprocessableEntity)
	c.Assert(call("b"), qt.Equals, fasthttp.StatusOK)
	c.Assert(call("a"), qt.Equals, fasthttp.StatusUnprocessableEntity)
}

func TestRelayChecksQuarantineBeforeEachAttempt(t *testing.T) {
	c := qt.New(t)
	guard := &fakeQuarantine{deaths: map[yuccapoison.Fingerprint]int{}}
	behaviour := yuccafake.Behaviour{Slots: 2}
	w := newFixtureWithOptions(t, yuccarelay.Options{Quarantine: guard}, behaviour, behaviour, behaviour, behaviour)
	for range 5 {
		resp, err := w.call(func(r *fasthttp.Request) { r.SetRequestURI("http://s.example/crash") })
		c.Assert(err, qt.IsNil)
		c.Assert(string(resp.Header.Peek(yuccarelay.ErrorHeader)), qt.Equals, "poison")
	}
	alive := 0
	for _, s := range w.servers {
		if s.Alive() {
			alive++
		}
	}
	c.Assert(alive, qt.Equals, 2)
	resp, err := w.call(func(r *fasthttp.Request) { r.Header.Set(yuccafake.TokenHeader, "neighbour") })
	c.Assert(err, qt.IsNil)
	c.Assert(string(resp.Body()), qt.Equals, "neighbour\n")
	c.Assert(guard.running, qt.Equals, 0)
}

// TestRelayCancelsWhenCallerCloses uses a server that never finishes its
// response. Its only slot becomes free because the relay watches the caller's
// connection.
func TestRelayCancelsWhenCallerCloses(t *testing.T) {
	tests := []struct {
		name  string
		fault yuccafake.Fault
	}{
		{"before the response", yuccafake.Fault{Step: yuccafake.AfterRequest, Mode: yuccafake.Stall}},
		{"within the response", yuccafake.Fault{Step: yuccafake.MidBody, Mode: yuccafake.Stall}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := &fixture{executions: yuccafake.NewExecutionLog()}
			ran := make(chan struct{})
			canceled := make(chan struct{})
			server, err := yuccafake.NewFaultyServer(w.executions, 0, func(n int64) yuccafake.Fault {
				if n > 1 {
					return yuccafake.Fault{}
				}
				return test.fault
			}, func(token string) string {
				if token == "first" {
					close(ran)
				}
				return yuccafake.Echo(token)
			})
			c.Assert(err, qt.IsNil)
			t.Cleanup(server.Close)
			w.start(t, yuccarelay.Options{Observer: observer(func(r yuccarelay.Record) {
				if r.Kind == yuccaerror.Canceled {
					close(canceled)
				}
			})}, []backend{{server.Addr(), 1}})
			conn, err := net.Dial("tcp", w.addr)
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: s.example\r\nToken: first\r\n\r\n")
			c.Assert(err, qt.IsNil)
			<-ran
			c.Assert(conn.Close(), qt.IsNil)
			<-canceled
			resp, err := w.call(func(r *fasthttp.Request) { r.Header.Set(yuccafake.TokenHeader, "next") })
			c.Assert(err, qt.IsNil)
			c.Assert(string(resp.Body()), qt.Equals, "next\n", qt.Commentf("%s", resp))
		})
	}
}

type observer func(yuccarelay.Record)

func (o observer) Observe(r yuccarelay.Record) { o(r) }

func TestRelayRejectsAmbiguousRequests(t *testing.T) {
	const post, get = "POST / HTTP/1.1\r\nToken: t\r\n", "GET / HTTP/1.1\r\nToken: t\r\n"
	const host = "Host: s.example\r\n"
	tests := []struct{ name, request string }{
		{"two lengths", post + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!"},
		{"two equal lengths", post + host + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody"},
		{"list of lengths", post + host + "Content-Length: 4, 4\r\n\r\nbody"},
		{"signed length", post + host + "Content-Length: +4\r\n\r\nbody"},
		{"length and chunks", post + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"chunks and length", post + host + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"},
		{"two codings", post + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"other coding", post + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
		{"space before colon", post + host + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
		{"bare line feed", get + host + "A: b\nContent-Length: 4\r\n\r\nbody"},
		{"bare line feeds", "GET / HTTP/1.1\nHost: s.example\nToken: t\n\n\r\n\r\n"},
		{"folded line", get + host + "A: b\r\n c\r\n\r\n"},
		{"bare return", get + host + "A: b\rc\r\n\r\n"},
		{"no colon", get + host + "A\r\n\r\n"},
		{"no name", get + host + ": b\r\n\r\n"},
		{"no host", get + "\r\n"},
		{"two hosts", get + host + host + "\r\n"},
		{"huge head", get + host + "A: " + strings.Repeat("a", 1<<20) + "\r\n\r\n"},
		{"bad chunk", post + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
		{"short body", post + host + "Content-Length: 9\r\n\r\nbody"},
	}
	c := qt.New(t)
	w := newFixture(t, yuccafake.Behaviour{Slots: 2})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			status := sendRaw(t, w.addr, test.request, test.name == "short body")
			// The connection may be reset before a huge header is read.
			reset := status == "" && test.name == "huge head"
			c.Assert(reset || strings.HasPrefix(status, "HTTP/1.1 4"), qt.IsTrue, qt.Commentf("%s", status))
		})
	}
	c.Assert(w.executions.Times("t"), qt.Equals, 0)
}

// TestRelayRejectsFoldedLines leaves the connection open, so that only the
// folded line can end the request.
func TestRelayRejectsFoldedLines(t *testing.T) {
	for _, fold := range []string{" ", "\t"} {
		c := qt.New(t)
		w := newFixture(t, yuccafake.Behaviour{Slots: 2})
		conn, err := net.Dial("tcp", w.addr)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: s.example\r\nToken: t\r\nA: b\r\n"+fold+"c\r\n\r\n")
		c.Assert(err, qt.IsNil)
		var resp fasthttp.Response
		c.Assert(resp.Read(bufio.NewReader(conn)), qt.IsNil)
		c.Assert(resp.StatusCode(), qt.Equals, 400)
		c.Assert(w.executions.Times("t"), qt.Equals, 0)
		_ = conn.Close()
	}
}

// sendRaw sends bytes and returns the first line of the response. Both
// directions of the connection stay open until then, unless closeWrite ends the
// request early.
func sendRaw(t *testing.T, addr, text string, closeWrite bool) string {
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text)
	if closeWrite {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestRelayRemovesHopHeaders(t *testing.T) {
	c := qt.New(t)
	seen := make(chan string, 1)
	w := &fixture{executions: yuccafake.NewExecutionLog()}
	addr := listen(t, func(ctx *fasthttp.RequestCtx) {
		seen <- ctx.Request.Header.String()
		ctx.Response.Header.Set("Keep-Alive", "timeout=5")
		ctx.Response.Header.Set("Proxy-Authenticate", "Basic")
		ctx.Response.Header.Set("Kept", "yes")
	})
	w.start(t, yuccarelay.Options{}, []backend{{addr, 1}})
	resp, err := w.call(func(r *fasthttp.Request) {
		for _, name := range []string{"Connection", "Keep-Alive", "Te", "Upgrade", "Proxy-Connection", "Proxy-Authorization", "Named", "Expect"} {
			r.Header.Set(name, "named")
		}
		r.Header.Set("Kept", "yes")
	})
	c.Assert(err, qt.IsNil)
	text := <-seen
	for _, name := range []string{"Connection", "Keep-Alive", "Te", "Upgrade", "Proxy-Connection", "Proxy-Authorization", "Named", "Expect"} {
		c.Assert(strings.Contains(text, "\r\n"+name+":"), qt.IsFalse, qt.Commentf("%s in %s", name, text))
	}
	c.Assert(strings.Contains(text, "\r\nKept: yes"), qt.IsTrue)
	c.Assert(string(resp.Header.Peek("Keep-Alive"))+string(resp.Header.Peek("Proxy-Authenticate")), qt.Equals, "")
	c.Assert(string(resp.Header.Peek("Kept")), qt.Equals, "yes")
}
