package yuccarelay_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

// panickingProtocol panics in one method for each request that asks for it.
type panickingProtocol struct {
	yuccarelay.DefaultProtocol
	method string
	armed  *bool
}

func (p panickingProtocol) at(method string) {
	if *p.armed && p.method == method {
		panic("bug")
	}
}

func (p panickingProtocol) Deadline(now time.Time, h *fasthttp.RequestHeader) (time.Time, error) {
	p.at("prepare")
	return p.DefaultProtocol.Deadline(now, h)
}

func (p panickingProtocol) PrepareRequest(h *fasthttp.RequestHeader, to yuccarelay.Target) {
	p.at("attempt")
	p.DefaultProtocol.PrepareRequest(h, to)
}

func (p panickingProtocol) Report(h *fasthttp.ResponseHeader) yuccaadmission.Report {
	p.at("response")
	return p.DefaultProtocol.Report(h)
}

// TestPanicEndsOnlyItsRequest has a bug in each part of the handling of a request. It
// guards against a request that ends the process, or that keeps its slot at a server.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	for _, method := range []string{"prepare", "attempt", "response"} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			armed := true
			opt := yuccarelay.Options{Protocol: panickingProtocol{method: method, armed: &armed}}
			w := newFixtureWithOptions(t, opt, yuccafake.Behaviour{Slots: 2}, yuccafake.Behaviour{Slots: 2})
			post := func(r *fasthttp.Request) { r.Header.SetMethod(fasthttp.MethodPost) }
			for range 3 {
				resp, err := w.call(post)
				c.Assert(err, qt.IsNil)
				c.Assert(resp.StatusCode(), qt.Equals, fasthttp.StatusInternalServerError)
				c.Assert(string(resp.Header.Peek(yuccarelay.RunHeader)), qt.Equals, "maybe")
				c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
			}
			armed = false
			resp, err := w.call(post)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode(), qt.Equals, fasthttp.StatusOK)
		})
	}
}

// panickingObserver panics for one Record.
type panickingObserver struct{ armed *atomic.Bool }

func (o panickingObserver) Observe(yuccarelay.Record) {
	if o.armed.Swap(false) {
		panic("bug")
	}
}

// TestPanicInStreamCutsOnlyItsResponse has a bug at the end of a response body, which the
// server reads after the handler has returned. It guards against a server that no longer
// recovers such a panic.
func TestPanicInStreamCutsOnlyItsResponse(t *testing.T) {
	c := qt.New(t)
	armed := &atomic.Bool{}
	armed.Store(true)
	w := newFixtureWithOptions(t, yuccarelay.Options{Observer: panickingObserver{armed}}, yuccafake.Behaviour{Slots: 2})
	file := func(r *fasthttp.Request) { r.SetRequestURI("http://s.example/file/f?size=300000") }
	_, _ = w.call(file)
	c.Assert(armed.Load(), qt.IsFalse)
	w.client.CloseIdleConnections()
	resp, err := w.call(file)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body(), qt.HasLen, 300000)
	c.Assert(w.picker.InFlight("s", "a"), qt.Equals, 0)
}
