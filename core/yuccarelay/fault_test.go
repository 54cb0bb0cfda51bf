package yuccarelay_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

// newFaultyServers returns a relay in front of n servers that share one
// execution log and one request count, which selects the fault. Late responses
// come after lateDelay.
func newFaultyServers(t testing.TB, n int, opt yuccarelay.Options, fault func(int64) yuccafake.Fault, reply func(string) string) *fixture {
	return newFaultyServersWithDelay(t, n, lateDelay, opt, fault, reply)
}

func newFaultyServersWithDelay(t testing.TB, n int, late time.Duration, opt yuccarelay.Options, fault func(int64) yuccafake.Fault, reply func(string) string) *fixture {
	w := &fixture{executions: yuccafake.NewExecutionLog()}
	var count atomic.Int64
	var backends []backend
	for range n {
		server, err := yuccafake.NewFaultyServer(w.executions, late, func(int64) yuccafake.Fault { return fault(count.Add(1)) }, reply)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(server.Close)
		backends = append(backends, backend{server.Addr(), 16})
	}
	w.start(t, opt, backends)
	return w
}

const (
	// shortTimeout is the deadline of a request that a fault makes wait until then.
	shortTimeout = 80 * time.Millisecond
	// lateDelay is longer than shortTimeout.
	lateDelay = 120 * time.Millisecond
	// longTimeout is the deadline of a request that no fault makes wait. A busy
	// machine may take a while to answer it.
	longTimeout = 20 * time.Second
)

// callWithToken sends a request with a deadline and a token that identifies its
// executions.
func (w *fixture) callWithToken(method, token string, timeout time.Duration) (*fasthttp.Response, error) {
	return w.call(func(r *fasthttp.Request) {
		r.Header.SetMethod(method)
		r.Header.Set(yuccafake.TokenHeader, token)
		r.Header.Set(yuccarelay.DeadlineHeader, timeout.String())
	})
}

// checkResponse returns an error if a response contradicts the executions of
// its request.
func (w *fixture) checkResponse(method, token string, resp *fasthttp.Response, err error) error {
	times := w.executions.Times(token)
	ran := string(resp.Header.Peek(yuccarelay.RunHeader))
	switch {
	case method == fasthttp.MethodPost && times > 1:
		return fmt.Errorf("non-idempotent request ran %d times", times)
	case err != nil:
		return nil
	case resp.StatusCode() == fasthttp.StatusOK && string(resp.Body()) != token+"\n":
		return fmt.Errorf("response body is %q, not the request's token", resp.Body())
	case resp.StatusCode() != fasthttp.StatusOK && ran == "":
		return fmt.Errorf("error response %d has no header %s", resp.StatusCode(), yuccarelay.RunHeader)
	case ran == "no" && times > 0:
		return fmt.Errorf("response says that the request did not run; it ran %d times", times)
	}
	return nil
}

func TestRelayFailuresAtEveryStep(t *testing.T) {
	steps := []yuccafake.Step{yuccafake.AfterConnect, yuccafake.MidRequest, yuccafake.AfterRequest, yuccafake.MidHead, yuccafake.MidBody}
	modes := []yuccafake.FailureMode{yuccafake.CloseConn, yuccafake.ResetConn, yuccafake.Stall, yuccafake.Garbage, yuccafake.Late, yuccafake.ExtraResponse}
	names := []string{"close", "reset", "silence", "garbage", "late", "twice"}
	for _, step := range steps {
		for i, mode := range modes {
			if isUndetectable(step, mode) {
				continue
			}
			for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
				t.Run(fmt.Sprint(step, "/", names[i], "/", method), func(t *testing.T) {
					c := qt.New(t)
					fault := func(n int64) yuccafake.Fault {
						if n == 2 {
							return yuccafake.Fault{Step: step, Mode: mode}
						}
						return yuccafake.Fault{}
					}
					w := newFaultyServers(t, 2, yuccarelay.Options{}, fault, yuccafake.Echo)
					for n := range 6 {
						token := fmt.Sprint("token-", n)
						timeout := longTimeout
						if n == 1 {
							timeout = shortTimeout
						}
						resp, err := w.callWithToken(method, token, timeout)
						c.Assert(w.checkResponse(method, token, resp, err), qt.IsNil, qt.Commentf("%s: %s %v", token, resp, err))
						if n != 1 {
							c.Assert(err, qt.IsNil)
							c.Assert(resp.StatusCode(), qt.Equals, 200)
						}
					}
					c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
				})
			}
		}
	}
}

// isUndetectable reports whether a fault cannot be detected over HTTP/1.1: a
// response that is sent before its request, or a body of fixed length in which
// bytes are replaced by as many others.
func isUndetectable(step yuccafake.Step, mode yuccafake.FailureMode) bool {
	return mode == yuccafake.ExtraResponse && step < yuccafake.AfterRequest ||
		mode == yuccafake.Garbage && step == yuccafake.MidBody
}

// TestRelayMatchesAnswers sends 10,000 requests over faulty connections and
// checks each response against the executions of its request.
func TestRelayMatchesAnswers(t *testing.T) {
	const callers, each = 20, 500
	// A fault may hit any request. The deadline leaves a busy machine time to answer
	// the others.
	const timeout, late = 250 * time.Millisecond, 375 * time.Millisecond
	c := qt.New(t)
	fault := func(n int64) yuccafake.Fault {
		if n%10 != 0 {
			return yuccafake.Fault{}
		}
		f := yuccafake.Fault{Step: yuccafake.Step(1 + n/10%5), Mode: yuccafake.FailureMode(n / 50 % 6)}
		if isUndetectable(f.Step, f.Mode) {
			f.Step = yuccafake.AfterRequest
		}
		return f
	}
	w := newFaultyServersWithDelay(t, 12, late, yuccarelay.Options{}, fault, yuccafake.Echo)
	w.client.MaxConns = callers
	group := &errgroup.Group{}
	var complete atomic.Int64
	for n := range callers {
		group.Go(func() error {
			for i := range each {
				method := []string{fasthttp.MethodGet, fasthttp.MethodPost}[i%2]
				token := fmt.Sprintf("token-%d-%d", n, i)
				resp, err := w.callWithToken(method, token, timeout)
				if wrong := w.checkResponse(method, token, resp, err); wrong != nil {
					return fmt.Errorf("%s %s: %w", method, token, wrong)
				}
				if err == nil && resp.StatusCode() == fasthttp.StatusOK {
					complete.Add(1)
				}
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
	c.Assert(w.executions.Total().DuplicatePosts, qt.Equals, 0)
	c.Assert(complete.Load() > callers*each*9/10, qt.IsTrue, qt.Commentf("%d complete", complete.Load()))
}

func TestRelayFraming(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, method, response string
		// status is the HTTP status that the caller receives.
		status int
		// body is the response body that the caller receives.
		body string
		// truncated means that the caller must detect a truncated response;
		// status and body are not used then.
		truncated bool
	}{
		{"fixed", "GET", ok + "Content-Length: 4\r\n\r\nbody", 200, "body", false},
		{"chunked", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200, "body", false},
		{"trailer", "GET", ok + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nbody\r\n0\r\nSum: 7\r\n\r\n", 200, "body", false},
		{"until close", "GET", ok + "\r\nbody", 200, "body", false},
		{"interim", "GET", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody", 200, "body", false},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", false},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304, "", false},
		{"head", "HEAD", ok + "Content-Length: 9\r\n\r\n", 200, "", false},
		{"partial content", "GET", "HTTP/1.1 206 Partial Content\r\nContent-Range: bytes 2-5/9\r\nContent-Length: 4\r\n\r\nbody", 206, "body", false},
		{"fixed, short", "GET", ok + "Content-Length: 9\r\n\r\nbody", 0, "", true},
		{"chunk, short", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody", 0, "", true},
		{"no last chunk", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", 0, "", true},
		{"no end after last chunk", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", 0, "", true},
		{"bad chunk", "GET", ok + "Transfer-Encoding: chunked\r\n\r\nx\r\nbody\r\n0\r\n\r\n", 0, "", true},
		{"two lengths", "GET", ok + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", 502, "broken\n", false},
		{"length and chunks", "GET", ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 502, "broken\n", false},
		{"other coding", "GET", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 502, "broken\n", false},
		{"bare line feeds", "GET", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", 502, "broken\n", false},
		{"folded line", "GET", ok + "A: b\r\n c\r\nContent-Length: 4\r\n\r\nbody", 502, "broken\n", false},
		{"protocol switch", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", 502, "broken\n", false},
		{"too many interim responses", "GET", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + ok + "Content-Length: 4\r\n\r\nbody", 502, "broken\n", false},
		{"long header", "GET", ok + "A: " + strings.Repeat("a", 5000) + "\r\nContent-Length: 4\r\n\r\nbody", 502, "broken\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			mode := yuccafake.Stall
			if test.truncated || test.name == "until close" {
				mode = yuccafake.CloseConn
			}
			closing := func(int64) yuccafake.Fault { return yuccafake.Fault{Step: yuccafake.MidBody, Mode: mode} }
			// The fault drops the last byte.
			w := newFaultyServers(t, 1, yuccarelay.Options{}, closing, func(string) string { return test.response + "!" })
			resp, err := w.call(func(r *fasthttp.Request) { r.Header.SetMethod(test.method) })
			if test.truncated {
				c.Assert(err, qt.IsNotNil, qt.Commentf("%s", resp))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode(), qt.Equals, test.status, qt.Commentf("%s", resp))
			c.Assert(string(resp.Body()), qt.Equals, test.body)
			if test.name == "trailer" {
				c.Assert(string(resp.Header.Peek("Sum")), qt.Equals, "7")
			}
			c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
		})
	}
}
