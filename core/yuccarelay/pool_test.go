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
		c.Assert(p.takeIdle("a"), qt.Equals, younger)
		c.Assert(p.takeIdle("a"), qt.IsNil)
		c.Assert(p.takeIdle("b"), qt.Equals, elsewhere)
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
			c.Assert(p.takeIdle("a") == v, qt.Equals, test.used)
			_ = v.Close()
		}
		time.Sleep(ageLimitTTL)
		v, err := p.open(t.Context(), Server{Addr: "a"}, time.Time{})
		c.Assert(err, qt.IsNil)
		time.Sleep(6 * time.Second)
		p.put(v)
		c.Assert(p.takeIdle("a"), qt.Equals, v)
		_ = v.Close()
	})
}
