package yuccafront_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccafront"
	"yuccawell.example/core/yuccapipeline"
)

// TestPipelinedRequestsRunConcurrently guards against a request that waits for the one
// before it, and against responses in the order of their completion.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	post := "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	chunked := "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	large := "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("\n", 40_000)
	tests := []struct {
		name     string
		segments []string
		bodies   []string
	}{
		{"one segment", []string{get("/gate1", "/a", "/b")}, nil},
		{"one by one", []string{get("/gate1"), get("/a"), get("/b")}, nil},
		{"split head", []string{get("/gate1") + get("/a")[:9], get("/a")[9:] + get("/b")}, nil},
		{"after a body", []string{post, get("/gate1", "/a", "/b")}, []string{"/p"}},
		{"after a chunked body", []string{chunked, get("/gate1"), get("/a", "/b")}, []string{"/p"}},
		{"after a large body", []string{large[:20_000], large[20_000:] + get("/gate1", "/a", "/b")}, []string{"/p"}},
		{"after a body in a segment", []string{post + get("/x"), get("/gate1", "/a", "/b")}, []string{"/p", "/x"}},
		{"behind a body in a segment", []string{post + get("/gate1", "/a"), get("/b")}, []string{"/p"}},
		{"behind a chunked body in a segment", []string{chunked + get("/gate1", "/a"), get("/b")}, []string{"/p"}},
		{"behind empty lines in a segment", []string{"\r\n\r\n" + get("/gate1", "/a"), get("/b")}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newPipelineFixture(t)
			_, r := f.send(t, test.segments...)
			waitUntil(t, "all requests have started", func() bool { return f.startedCount() == len(test.bodies)+3 })
			f.release("/gate1")
			qt.Assert(t, readBodies(t, r, len(test.bodies)+3), qt.DeepEquals, append(test.bodies, "/gate1", "/a", "/b"))
		})
	}
}

// TestRequestsThatMustWait guards against a request that starts before all responses
// before it have been written, although it is not idempotent, has a body, cannot be
// parsed, or follows one of these or the last request of the connection.
func TestRequestsThatMustWait(t *testing.T) {
	tests := []struct {
		name string
		// before are further requests that start at once.
		before, request string
		// statuses are those of all responses.
		statuses []int
	}{
		{"not idempotent", get("/a"), "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", []int{200, 200, 200, 200}},
		{"body", get("/a"), "GET /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", []int{200, 200, 200, 200}},
		{"chunked body", get("/a"), "GET /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []int{200, 200, 200, 200}},
		{"malformed", get("/a"), "GET\r\n\r\n", []int{200, 200, 400}},
		{"header too large", get("/a"), "GET /p HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", []int{200, 200, 400}},
		{"old version", get("/a"), "GET /p HTTP/1.0\r\nHost: h\r\n\r\n", []int{200, 200, 200}},
		{"behind a close", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", get("/p"), []int{200, 200}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newPipelineFixture(t)
			_, r := f.send(t, get("/gate1")+test.before+test.request+get("/last"))
			waitUntil(t, "the requests before have started", func() bool { return f.startedCount() == 2 })
			time.Sleep(settle)
			c.Assert(f.startedCount(), qt.Equals, 2)
			f.release("/gate1")
			for _, status := range test.statuses {
				var resp fasthttp.Response
				c.Assert(resp.Read(r), qt.IsNil)
				c.Assert(resp.StatusCode(), qt.Equals, status)
			}
			if last := test.statuses[len(test.statuses)-1]; len(test.statuses) < 4 {
				_, err := r.ReadByte()
				c.Assert(err, qt.Equals, io.EOF, qt.Commentf("after %d", last))
			}
		})
	}
	for _, first := range []struct {
		request string
		bodies  []string
	}{
		{"POST /gate1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", []string{"/gate1", "/a"}},
		{"GET /gate1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", []string{"/gate1", "/a"}},
		{"GET /gate1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", []string{"/gate1"}},
		{"GET /gate1 HTTP/1.0\r\nHost: h\r\n\r\n", []string{"/gate1"}},
	} {
		t.Run("behind "+strings.ReplaceAll(first.request, "\r\n", " "), func(t *testing.T) {
			f := newPipelineFixture(t)
			_, r := f.send(t, first.request+get("/a"))
			waitUntil(t, "the first has started", func() bool { return f.startedCount() == 1 })
			time.Sleep(settle)
			qt.Assert(t, f.startedCount(), qt.Equals, 1)
			f.release("/gate1")
			qt.Assert(t, readBodies(t, r, len(first.bodies)), qt.DeepEquals, first.bodies)
			qt.Assert(t, f.startedCount(), qt.Equals, len(first.bodies))
		})
	}
}

// TestNothingRunsBehindBulkResponse guards against requests that are passed on behind a
// response which may break off, and are lost with its connection (review case 8).
func TestNothingRunsBehindBulkResponse(t *testing.T) {
	tests := []struct {
		name string
		// paths are the pipelined requests, of which the first started run beside each other.
		paths   []string
		started int
	}{
		{"first", []string{"/bulk/gate1", "/a", "/b"}, 1},
		{"read ahead", []string{"/gate1", "/bulk/x", "/a"}, 2},
		{"behind others", []string{"/gate1", "/a", "/bulk/x", "/b"}, 3},
		{"none", []string{"/gate1", "/a", "/b"}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newPipelineFixture(t)
			_, r := f.send(t, get(test.paths...))
			waitUntil(t, "the first have started", func() bool { return f.startedCount() == test.started })
			time.Sleep(settle)
			c.Assert(f.startedCount(), qt.Equals, test.started)
			f.release(test.paths[0])
			c.Assert(readBodies(t, r, len(test.paths)), qt.DeepEquals, test.paths)
		})
	}
}

// TestResponseIsNotHeldBack sends a request with one behind it that takes longer, in the same
// segment. It guards against a response that waits for the next one, and is lost if that one
// breaks off (review case 7).
func TestResponseIsNotHeldBack(t *testing.T) {
	const head = "POST /p HTTP/1.1\r\nHost: h\r\n"
	tests := []struct{ name, request string }{
		{"body", head + "Content-Length: 4\r\n\r\nbody"},
		{"empty body", head + "Content-Length: 0\r\n\r\n"},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"chunked body with extensions and trailers", head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n4;a=b\r\nbody\r\n0;c\r\nT: v\r\n\r\n"},
		{"body of a GET", "GET /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
		{"empty lines before", "\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody"},
		{"no body", get("/p")},
	}
	for _, test := range tests {
		for _, split := range []int{0, 9, len(test.request) / 2, len(test.request) - 3} {
			t.Run(fmt.Sprint(test.name, " ", split), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newPipelineFixture(t)
				all := test.request + get("/gate1?cut=1")
				conn, r := f.send(t, all[:split], all[split:])
				c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
				c.Assert(readBodies(t, r, 1), qt.DeepEquals, []string{"/p"})
				waitUntil(t, "the next has started", func() bool { return f.startedCount() == 2 })
				f.release("/gate1")
				_, err := http.ReadResponse(r, nil)
				c.Assert(err, qt.IsNil)
			})
		}
	}
}

// TestPipelinedResponsesKeepTheirOrder sends random requests on several connections and
// guards against responses that are out of order, incomplete or mixed.
func TestPipelinedResponsesKeepTheirOrder(t *testing.T) {
	f := newPipelineFixture(t)
	var next atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		group := &errgroup.Group{}
		for range 4 {
			type request struct {
				token string
				size  int
				head  bool
			}
			var all bytes.Buffer
			var requests []request
			for range rapid.IntRange(1, 20).Draw(rt, "requests") {
				q := request{token: fmt.Sprint("/", next.Add(1)), size: rapid.SampledFrom([]int{0, 0, 100, 5000, 100_000}).Draw(rt, "size")}
				method := rapid.SampledFrom([]string{"GET", "GET", "GET", "HEAD", "POST"}).Draw(rt, "method")
				q.head = method == "HEAD"
				body := ""
				if method == "POST" {
					body = rapid.StringMatching(`[a-z\r\n]{0,20}`).Draw(rt, "body")
				}
				fmt.Fprintf(&all, "%s %s?size=%d&us=%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, q.token, q.size,
					rapid.SampledFrom([]int{0, 300, 1500}).Draw(rt, "us"), len(body), body)
				requests = append(requests, q)
			}
			cut := rapid.IntRange(0, all.Len()).Draw(rt, "cut")
			group.Go(func() error {
				conn, err := net.Dial("tcp", f.addr)
				if err != nil {
					return err
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				sender := &errgroup.Group{}
				sender.Go(func() error {
					if _, err := conn.Write(all.Bytes()[:cut]); err != nil {
						return err
					}
					time.Sleep(2 * time.Millisecond)
					_, err := conn.Write(all.Bytes()[cut:])
					return err
				})
				r := bufio.NewReader(conn)
				for i, q := range requests {
					var resp fasthttp.Response
					resp.SkipBody = q.head
					if err := resp.Read(r); err != nil {
						return fmt.Errorf("response %d of %d: %w", i, len(requests), err)
					}
					want := []byte(q.token)
					if q.size > 0 {
						want = make([]byte, q.size)
						_, _ = (&tokenReader{token: q.token}).Read(want)
					}
					if !q.head && !bytes.Equal(resp.Body(), want) || q.head && resp.Header.ContentLength() != len(want) {
						return fmt.Errorf("response %d is not that of %s", i, q.token)
					}
				}
				return sender.Wait()
			})
		}
		if err := group.Wait(); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestStopAnswersPipelinedRequests guards against a planned stop that cuts off requests
// that have been read ahead, announces the close before the last of them, or runs a
// request that is unread behind them.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	for _, order := range [][]string{{"/gate1", "/gate2", "/gate3"}, {"/gate3", "/gate2", "/gate1"}} {
		c := qt.New(t)
		f := newPipelineFixture(t)
		_, r := f.send(t, get("/gate1", "/gate2", "/gate3")+"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		waitUntil(t, "all have started", func() bool { return f.startedCount() == 3 })
		group := &errgroup.Group{}
		group.Go(f.stop)
		for _, token := range order {
			time.Sleep(150 * time.Millisecond)
			f.release(token)
		}
		for i, token := range []string{"/gate1", "/gate2", "/gate3"} {
			var resp fasthttp.Response
			c.Assert(resp.Read(r), qt.IsNil)
			c.Assert(string(resp.Body()), qt.Equals, token)
			c.Assert(resp.ConnectionClose(), qt.Equals, i == 2, qt.Commentf("%s", token))
		}
		_, err := r.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
		c.Assert(group.Wait(), qt.IsNil)
		c.Assert(f.startedCount(), qt.Equals, 3)
	}
}

// TestCallerCloseCancelsPipelinedRequests guards against requests that go on after the
// caller has closed its connection, also behind bytes that stay unread.
func TestCallerCloseCancelsPipelinedRequests(t *testing.T) {
	unread := "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000)
	for _, behind := range []string{"", unread} {
		f := newPipelineFixture(t)
		conn, _ := f.send(t, get("/gate1", "/gate2", "/gate3")+behind)
		waitUntil(t, "all have started", func() bool { return f.startedCount() == 3 })
		time.Sleep(settle)
		_ = conn.Close()
		waitUntil(t, "all are canceled", func() bool { return f.canceledCount() == 3 })
	}
}

// TestCutResponseEndsConnection guards against further responses behind one that was cut
// short, and against requests that go on behind it.
func TestCutResponseEndsConnection(t *testing.T) {
	for _, paths := range [][]string{{"/gate1?cut=1", "/gate2", "/gate3"}, {"/gate0", "/gate1?cut=1", "/gate2", "/gate3"}} {
		c := qt.New(t)
		f := newPipelineFixture(t)
		_, r := f.send(t, get(paths...))
		waitUntil(t, "all have started", func() bool { return f.startedCount() == len(paths) })
		f.release("/gate1")
		if len(paths) == 4 {
			f.release("/gate0")
			c.Assert(readBodies(t, r, 1), qt.DeepEquals, []string{"/gate0"})
		}
		all, err := io.ReadAll(r)
		c.Assert(err, qt.IsNil)
		c.Assert(string(all), qt.Matches, `HTTP/1.1 200 OK\r\n(.*: .*\r\n)*\r\nx+`)
		waitUntil(t, "the others are canceled", func() bool { return f.canceledCount() == 2 })
	}
}

// TestHandlerEndsConnection has a handler close the connection, without a response or
// behind its response, while requests behind it are in progress. It guards against a
// connection that stays open, and against requests that go on or start behind it.
func TestHandlerEndsConnection(t *testing.T) {
	for _, query := range []string{"hijack", "close"} {
		c := qt.New(t)
		f := newPipelineFixture(t)
		conn, r := f.send(t, get("/gate1", "/b?"+query+"=1", "/gate2", "/gate3"))
		waitUntil(t, "all have started", func() bool { return f.startedCount() == 4 })
		time.Sleep(settle)
		if query == "close" {
			_, err := io.WriteString(conn, get("/late"))
			c.Assert(err, qt.IsNil)
			time.Sleep(settle)
		}
		f.release("/gate1")
		c.Assert(readBodies(t, r, 1), qt.DeepEquals, []string{"/gate1"})
		if query == "close" {
			c.Assert(readBodies(t, r, 1), qt.DeepEquals, []string{"/b"})
		}
		_, err := r.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
		waitUntil(t, "the others are canceled", func() bool { return f.canceledCount() == 2 })
		c.Assert(f.startedCount(), qt.Equals, 4)
	}
	f := newPipelineFixture(t)
	_, r := f.send(t, get("/gate1?hijack=1", "/gate2", "/gate3"))
	waitUntil(t, "all have started", func() bool { return f.startedCount() == 3 })
	f.release("/gate1")
	_, err := r.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
	waitUntil(t, "the others are canceled", func() bool { return f.canceledCount() == 2 })
}

// TestReadAheadIsBounded guards against more requests in progress than the limit, and
// against requests that are not started when there is room again.
func TestReadAheadIsBounded(t *testing.T) {
	const limit, total = 9, 14
	f := newPipelineFixture(t)
	var paths []string
	for i := range total {
		paths = append(paths, fmt.Sprintf("/gate%d?pad=%s", i, strings.Repeat("x", 3000)))
	}
	_, r := f.send(t, get(paths...))
	for i := range total {
		// The first request is not one that was read ahead.
		started := min(total, limit+max(0, i-1))
		waitUntil(t, fmt.Sprintf("%d have started", started), func() bool { return f.startedCount() == started })
		time.Sleep(settle / 10)
		qt.Assert(t, f.startedCount(), qt.Equals, started)
		token := fmt.Sprint("/gate", i)
		f.release(token)
		qt.Assert(t, readBodies(t, r, 1), qt.DeepEquals, []string{token})
	}
}

// TestWaitingResponsesAreBounded has a caller that reads nothing, with large responses,
// and guards against responses that are taken from servers without bound.
func TestWaitingResponsesAreBounded(t *testing.T) {
	const size = 2 << 20
	const bound = 1 << 20
	c := qt.New(t)
	f := newPipelineFixture(t)
	paths := []string{"/gate1"}
	for i := range 6 {
		paths = append(paths, fmt.Sprintf("/%d?size=%d", i, size))
	}
	_, r := f.send(t, get(paths...))
	waitUntil(t, "all have started", func() bool { return f.startedCount() == 7 })
	time.Sleep(10 * settle)
	c.Assert(f.produced.Load() < bound, qt.IsTrue, qt.Commentf("%d bytes", f.produced.Load()))
	f.release("/gate1")
	c.Assert(readBodies(t, r, 1), qt.DeepEquals, []string{"/gate1"})
	want := make([]byte, size)
	for i := range 6 {
		_, _ = (&tokenReader{token: fmt.Sprint("/", i)}).Read(want)
		c.Assert(readBodies(t, r, 1)[0] == string(want), qt.IsTrue, qt.Commentf("response %d", i))
	}
}

// TestArrivalOfWaitingRequest guards against a deadline that counts only from the moment
// when the responses before the request have been written.
func TestArrivalOfWaitingRequest(t *testing.T) {
	const wait = 100 * time.Millisecond
	f := newPipelineFixture(t)
	_, r := f.send(t, get("/gate1")+"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	waitUntil(t, "the first has started", func() bool { return f.startedCount() == 1 })
	time.Sleep(wait)
	released := time.Now()
	f.release("/gate1")
	readBodies(t, r, 2)
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, released.Sub(f.arrivals["/p"]) >= wait*9/10, qt.IsTrue)
}

// BenchmarkListener compares requests on one connection with and without pipelining
// support. The CPU time includes that of the client.
func BenchmarkListener(b *testing.B) {
	for _, concurrency := range []func(*fasthttp.RequestHeader) yuccapipeline.Concurrency{nil, concurrencyOf} {
		b.Run(fmt.Sprintf("support=%t", concurrency != nil), func(b *testing.B) {
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)
			addr := socket.Addr().String()
			_ = socket.Close()
			listener := yuccafront.NewWithHandler(yuccafront.Settings{Addr: addr, Concurrency: concurrency},
				func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("small") }, func(*fasthttp.RequestCtx, error) {}, zerolog.Nop())
			group := &errgroup.Group{}
			qt.Assert(b, listener.Start(context.Background(), group), qt.IsNil)
			conn, err := net.Dial("tcp", addr)
			qt.Assert(b, err, qt.IsNil)
			request := []byte("GET /bench HTTP/1.1\r\nHost: s.example\r\nAccept: */*\r\nTraceparent: " + strings.Repeat("a", 55) + "\r\nUser-Agent: bench\r\n\r\n")
			response := make([]byte, 4096)
			before := cpuTime(b)
			for b.Loop() {
				_, err := conn.Write(request)
				qt.Assert(b, err, qt.IsNil)
				_, err = conn.Read(response)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			_ = conn.Close()
			qt.Assert(b, listener.Stop(context.Background()), qt.IsNil)
			qt.Assert(b, group.Wait(), qt.IsNil)
		})
	}
}

// cpuTime returns the CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
