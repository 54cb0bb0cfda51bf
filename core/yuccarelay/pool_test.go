package yuccarelay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipePath opens connections to a closed peer.
type pipePath struct{ tcpPath }

// Dial implements Path.
func (pipePath) Dial(context.Context, Server) (net.Conn, error) {
	near, far := net.Pipe()
	return near, far.Close()
}

func TestPoolDiscardsConnsAsOldAsSilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPool(pipePath{}, 0)
		defer p.close()
		open := func(addr string) *conn {
			v, err := p.open(t.Context(), Server{Addr: addr}, time.Time{})
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Millisecond)
			return v
		}
		older, silent, younger, elsewhere := open("a"), open("a"), open("a"), open("b")
		for _, v := range []*conn{older, younger, elsewhere} {
			p.put(v)
		}
		p.discardSuspects(silent)
		c.Assert(p.takeIdle(Server{Addr: "a"}), qt.Equals, younger)
		c.Assert(p.takeIdle(Server{Addr: "a"}), qt.IsNil)
		c.Assert(p.takeIdle(Server{Addr: "b"}), qt.Equals, elsewhere)
		p.put(younger)
		p.put(elsewhere)
	})
}

func TestPoolLearnsAgeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPool(pipePath{}, 0)
		defer p.close()
		silent, err := p.open(t.Context(), Server{Addr: "a"}, time.Time{})
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		silent.idleSince = time.Now()
		p.discardSuspects(silent)
		for _, test := range []struct {
			age  time.Duration
			used bool
		}{{4 * time.Second, true}, {6 * time.Second, false}} {
			v, err := p.open(t.Context(), Server{Addr: "a"}, time.Time{})
			c.Assert(err, qt.IsNil)
			time.Sleep(test.age)
			p.put(v)
			c.Assert(p.takeIdle(Server{Addr: "a"}) == v, qt.Equals, test.used)
			_ = v.Close()
		}
		time.Sleep(ageLimitTTL)
		v, err := p.open(t.Context(), Server{Addr: "a"}, time.Time{})
		c.Assert(err, qt.IsNil)
		time.Sleep(6 * time.Second)
		p.put(v)
		c.Assert(p.takeIdle(Server{Addr: "a"}), qt.Equals, v)
		_ = v.Close()
	})
}

// tunnel is a connection through an entry of the region that it names.
type tunnel struct {
	net.Conn
	region string
}

// Via implements Tunnel.
func (t tunnel) Via() string { return "e2" }

// ViaRegion implements Tunnel.
func (t tunnel) ViaRegion() string { return t.region }

// TestPoolHandsOutTunnelsOfAllowedRegionsOnly guards against a request on a tunnel through
// a region that it may not pass, and against tunnels that are lost to the other requests.
func TestPoolHandsOutTunnelsOfAllowedRegionsOnly(t *testing.T) {
	tests := []struct {
		name    string
		pooled  []string
		regions []string
		// want are the regions of the connections that the request gets, left those that
		// stay in the pool.
		want, left []string
	}{
		{"any region", []string{"r", "q"}, nil, []string{"q", "r"}, nil},
		{"none allowed", []string{"q", "q"}, []string{"r"}, nil, []string{"q", "q"}},
		{"allowed below others", []string{"r", "q", "p"}, []string{"r"}, []string{"r"}, []string{"p", "q"}},
		{"two allowed", []string{"r", "q", "p"}, []string{"p", "r"}, []string{"p", "r"}, []string{"q"}},
		{"direct ones are always allowed", []string{"", "q"}, []string{"r"}, []string{""}, []string{"q"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPool(tcpPath{}, 0)
			defer p.close()
			for _, region := range test.pooled {
				p.put(newConn(pooledConn(region), "a"))
			}
			c.Assert(takeAll(p, test.regions), qt.DeepEquals, test.want)
			c.Assert(takeAll(p, nil), qt.DeepEquals, test.left)
		})
	}
}

// TestExpiredTunnelsLeaveRoom guards against connections that are never pooled again, and
// tunnels that stay open, because tunnels fill the pool that none of the requests may use.
func TestExpiredTunnelsLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPool(tcpPath{}, 0)
		defer p.close()
		for range maxIdlePerAddr {
			p.put(newConn(pooledConn("q"), "a"))
		}
		time.Sleep(maxIdleTime)
		homed := Server{Addr: "a", Regions: []string{"r"}}
		c.Assert(p.takeIdle(homed), qt.IsNil)
		direct := newConn(pooledConn(""), "a")
		p.put(direct)
		c.Assert(p.takeIdle(homed), qt.Equals, direct)
		_ = direct.Close()
	})
}

// pooledConn returns a tunnel through a region, or a direct connection if it is empty.
func pooledConn(region string) net.Conn {
	near, _ := net.Pipe()
	if region == "" {
		return near
	}
	return tunnel{near, region}
}

// takeAll takes the idle connections that a request with homes in some regions may use,
// and returns the regions that they go through.
func takeAll(p *pool, regions []string) (all []string) {
	for v := p.takeIdle(Server{Addr: "a", Regions: regions}); v != nil; v = p.takeIdle(Server{Addr: "a", Regions: regions}) {
		region := ""
		if t, ok := v.Conn.(Tunnel); ok {
			region = t.ViaRegion()
		}
		all = append(all, region)
		_ = v.Close()
	}
	return all
}
