package yuccarelay_test

import (
	"bytes"
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
)

// carriedConn is a connection through an entry of the region that it names.
type carriedConn struct {
	net.Conn
	region string
}

// Via implements yuccarelay.Tunnel.
func (carriedConn) Via() string { return "e2" }

// ViaRegion implements yuccarelay.Tunnel.
func (c carriedConn) ViaRegion() string { return c.region }

// TestTunneledRequestsAreCounted guards against requests outside their regions that no
// counter and no line shows.
func TestTunneledRequestsAreCounted(t *testing.T) {
	tests := []struct {
		name, via, body string
		regions         []string
		want            yuccarelay.TunnelCounts
	}{
		{"direct", "", "x", []string{"a"}, yuccarelay.TunnelCounts{}},
		{"any region", "q", "x", nil, yuccarelay.TunnelCounts{New: 1, Reused: 2}},
		{"inside", "a", "x", []string{"a"}, yuccarelay.TunnelCounts{New: 1, Reused: 2}},
		{"outside", "q", "x", []string{"a"}, yuccarelay.TunnelCounts{New: 3, Outside: 3}},
		{"outside without a body", "q", "", []string{"a"}, yuccarelay.TunnelCounts{New: 1, Reused: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			path := &recordingPath{}
			path.dial = func(ctx context.Context) (net.Conn, error) {
				var d net.Dialer
				conn, err := d.DialContext(ctx, "tcp", path.to[len(path.to)-1].Addr)
				if test.via == "" || err != nil {
					return conn, err
				}
				return carriedConn{conn, test.via}, nil
			}
			var log bytes.Buffer
			opt := yuccarelay.Options{Path: path, Router: accountRouter(test.regions), Protocol: accountProtocol{}, Log: zerolog.New(&log)}
			w := newFaultyServers(t, 1, opt, func(int64) yuccafake.Fault { return yuccafake.Fault{} }, yuccafake.Echo)
			for range 3 {
				resp, err := w.call(func(r *fasthttp.Request) {
					r.Header.SetMethod(fasthttp.MethodPost)
					r.SetBodyString(test.body)
				})
				c.Assert(err, qt.IsNil)
				c.Assert(resp.StatusCode(), qt.Equals, 200)
			}
			c.Assert(w.relay.Tunneled(), qt.Equals, test.want)
			c.Assert(bytes.Count(log.Bytes(), []byte("tunnel_outside_regions")), qt.Equals, int(test.want.Outside))
		})
	}
}
