package yuccarelay_test

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccalog"
	"yuccawell.example/core/yuccarelay"
)

// TestServerReceivesTrace sends requests with and without a trace id and
// compares the id that the server receives.
func TestServerReceivesTrace(t *testing.T) {
	const given = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	tests := []struct{ name, sent, want string }{
		{"given", given, given},
		{"none", "", `00-[0-9a-f]{32}-[0-9a-f]{16}-00`},
		{"broken", "00-xyz", `00-[0-9a-f]{32}-[0-9a-f]{16}-00`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seen := make(chan string, 1)
			w := &fixture{executions: yuccafake.NewExecutionLog()}
			addr := listen(t, func(ctx *fasthttp.RequestCtx) { seen <- string(ctx.Request.Header.Peek(yuccarelay.TraceHeader)) })
			w.start(t, yuccarelay.Options{}, []backend{{addr, 1}})
			_, err := w.call(func(r *fasthttp.Request) {
				if test.sent != "" {
					r.Header.Set(yuccarelay.TraceHeader, test.sent)
				}
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, <-seen, qt.Matches, test.want)
		})
	}
}

// TestFailuresAreLogged fails 100 requests and expects a complete log line for
// the first and fewer lines than requests.
func TestFailuresAreLogged(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	w := &fixture{executions: yuccafake.NewExecutionLog()}
	s := yuccafake.NewServer("127.0.0.1:0", yuccafake.Behaviour{Slots: 1, Work: time.Minute, ReportedBusy: -1}, w.executions)
	c.Assert(s.Start(), qt.IsNil)
	t.Cleanup(s.Close)
	w.start(t, yuccarelay.Options{Log: yuccalog.New(&out, "info")}, []backend{{s.Addr(), 1}})
	for range 100 {
		_, err := w.call(func(r *fasthttp.Request) { r.Header.Set(yuccarelay.DeadlineHeader, "0s") })
		c.Assert(err, qt.IsNil)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines[0], qt.Matches, `time=\S+ level=info event=request_failed after=0 goal=0 kind=expired limit=0 request=[0-9a-f]{32} route= routes=0 run=no service=s status=504 took=[0-9.]+ tries=`)
	c.Assert(len(lines) < 100, qt.IsTrue, qt.Commentf("%d lines", len(lines)))
}

// listen serves a handler until the test ends and returns its address.
func listen(t *testing.T, h fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &fasthttp.Server{Handler: h}
	group := &errgroup.Group{}
	group.Go(func() error { return server.Serve(l) })
	t.Cleanup(func() {
		_ = l.Close()
		_ = server.Shutdown()
		_ = group.Wait()
	})
	return l.Addr().String()
}
