package yuccarelay_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

// TestRelayBoundsRetriesUnderOverload has servers that reject every request.
// They must receive less than 5% more requests than callers send. What the observer is
// told is what the caller gets.
func TestRelayBoundsRetriesUnderOverload(t *testing.T) {
	const requests = 500
	c := qt.New(t)
	var received atomic.Int64
	shed := func(string) string {
		received.Add(1)
		return "HTTP/1.1 503 Service Unavailable\r\nYucca-Run: no\r\nContent-Length: 0\r\n\r\n"
	}
	var logged atomic.Int64
	opt := yuccarelay.Options{Observer: observer(func(r yuccarelay.Record) { logged.Store(int64(r.RetryAfter)) })}
	w := newFaultyServers(t, 4, opt, func(int64) yuccafake.Fault { return yuccafake.Fault{} }, shed)
	retryAfterCounts := map[string]int{}
	for range requests {
		resp, err := w.callWithToken(fasthttp.MethodGet, "t", longTimeout)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode(), qt.Equals, http.StatusServiceUnavailable)
		retryAfter := string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
		c.Assert(fmt.Sprint(time.Duration(logged.Load()).Seconds()), qt.Equals, retryAfter)
		retryAfterCounts[retryAfter]++
	}
	c.Assert(received.Load() < requests*105/100, qt.IsTrue, qt.Commentf("%d received", received.Load()))
	c.Assert(len(retryAfterCounts) > 2, qt.IsTrue, qt.Commentf("%v", retryAfterCounts))
}

func TestRelayShortensDeadline(t *testing.T) {
	c := qt.New(t)
	var seen atomic.Value
	behaviour := yuccafake.Behaviour{Slots: 1}
	w := newFixture(t, behaviour)
	w.servers[0].Close()
	server := yuccafake.NewServer(w.servers[0].Addr(), behaviour, w.executions)
	server.Inspect(func(h *fasthttp.RequestHeader) {
		seen.Store(string(h.Peek(yuccarelay.DeadlineHeader)))
	})
	c.Assert(server.Start(), qt.IsNil)
	t.Cleanup(server.Close)
	_, err := w.call(func(r *fasthttp.Request) { r.Header.Set(yuccarelay.DeadlineHeader, "5s") })
	c.Assert(err, qt.IsNil)
	left, err := time.ParseDuration(seen.Load().(string))
	c.Assert(err, qt.IsNil)
	c.Assert(left > 0 && left <= 5*time.Second, qt.IsTrue)
}
