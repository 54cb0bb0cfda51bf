package yuccarelay_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

// TestConstraintsOfOneRequestDoNotBlockServer guards against servers that are left out for
// all callers because one caller has too little time left for a connection, or because no
// entry may carry its request.
func TestConstraintsOfOneRequestDoNotBlockServer(t *testing.T) {
	const dialTime = 100 * time.Millisecond
	tests := []struct {
		name       string
		deadline   time.Duration
		err        error
		noResponse bool
	}{
		{"the caller's time ends first", dialTime / 4, context.DeadlineExceeded, false},
		{"the connection fails first", 100 * dialTime, context.DeadlineExceeded, true},
		{"no entry may carry the request", 100 * dialTime, yuccarelay.ErrNoCarrier, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			picker := &recordingPicker{ticket: yuccaadmission.Ticket{Server: "s", Addr: "127.0.0.1:1"}}
			path := &recordingPath{dial: func(ctx context.Context) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTime)
				defer cancel()
				<-ctx.Done()
				return nil, test.err
			}}
			w := &fixture{}
			w.serve(t, yuccarelay.New(yuccarelay.Options{Router: accountRouter(nil), Protocol: accountProtocol{}, Picker: picker, Path: path}))
			_, err := w.call(func(r *fasthttp.Request) { r.Header.Set(yuccarelay.DeadlineHeader, test.deadline.String()) })
			c.Assert(err, qt.IsNil)
			c.Assert(len(picker.results) > 0, qt.IsTrue)
			for _, r := range picker.results {
				c.Check(r.NoResponse, qt.Equals, test.noResponse)
				c.Check(r.Failed, qt.Equals, test.noResponse)
			}
		})
	}
}

// TestShortDeadlineKeepsConnections guards against idle connections that are closed, and
// limited in their age for all callers, because one caller had less time than a response
// takes.
func TestShortDeadlineKeepsConnections(t *testing.T) {
	const (
		work  = 100 * time.Millisecond
		conns = 16
	)
	tests := []struct {
		name     string
		deadline time.Duration
		// closed is set if the connections are suspected.
		closed bool
	}{
		{"less time than a response takes", work / 4, false},
		{"longer than responses take", 10 * work, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			path := &recordingPath{}
			path.dial = func(ctx context.Context) (net.Conn, error) {
				path.mu.Lock()
				addr := path.to[0].Addr
				path.mu.Unlock()
				var d net.Dialer
				return d.DialContext(ctx, "tcp", addr)
			}
			var silent atomic.Bool
			fault := func(int64) yuccafake.Fault {
				if silent.Load() {
					return yuccafake.Fault{Step: yuccafake.AfterRequest, Mode: yuccafake.Stall}
				}
				return yuccafake.Fault{}
			}
			reply := func(token string) string {
				time.Sleep(work)
				return yuccafake.Echo(token)
			}
			w := newFaultyServers(t, 1, yuccarelay.Options{Path: path, Router: accountRouter(nil), Protocol: accountProtocol{}}, fault, reply)
			call := func(deadline time.Duration) {
				_, err := w.call(func(r *fasthttp.Request) { r.Header.Set(yuccarelay.DeadlineHeader, deadline.String()) })
				c.Check(err, qt.IsNil)
			}
			// load returns how many connections as many callers need besides idle ones.
			load := func() int {
				before := len(path.to)
				group := &errgroup.Group{}
				for range conns {
					group.Go(func() error { call(longTimeout); return nil })
				}
				c.Assert(group.Wait(), qt.IsNil)
				return len(path.to) - before
			}
			load()
			time.Sleep(time.Second)
			load()
			load()
			silent.Store(test.closed)
			call(test.deadline)
			silent.Store(false)
			c.Assert(load() > conns/2, qt.Equals, test.closed)
		})
	}
}
