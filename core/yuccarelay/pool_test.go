package yuccarelay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// dialPipe returns a connection to a closed peer.
func dialPipe(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	return near, far.Close()
}

func TestPoolDiscardsConnsAsOldAsSilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := newPool(dialPipe, 0, 0)
		defer p.close()
		open := func(addr string) *conn {
			v, err := p.open(t.Context(), addr, time.Time{})
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
		p := newPool(dialPipe, 0, 0)
		defer p.close()
		silent, err := p.open(t.Context(), "a", time.Time{})
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		silent.idleSince = time.Now()
		p.discardSuspects(silent)
		for _, test := range []struct {
			age  time.Duration
			used bool
		}{{4 * time.Second, true}, {6 * time.Second, false}} {
			v, err := p.open(t.Context(), "a", time.Time{})
			c.Assert(err, qt.IsNil)
			time.Sleep(test.age)
			p.put(v)
			c.Assert(p.takeIdle("a") == v, qt.Equals, test.used)
			_ = v.Close()
		}
		time.Sleep(ageLimitTTL)
		v, err := p.open(t.Context(), "a", time.Time{})
		c.Assert(err, qt.IsNil)
		time.Sleep(6 * time.Second)
		p.put(v)
		c.Assert(p.takeIdle("a"), qt.Equals, v)
		_ = v.Close()
	})
}
