package yuccalinger_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccalinger"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// receiveBuffer is the size of a peer's receive buffer. Most of what is written stays in the
// buffer of the sender.
const receiveBuffer = 4 << 10

// connect returns the two ends of a connection.
func connect(t *testing.T) (own, peer *net.TCPConn) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	own, peer = accepted.(*net.TCPConn), dialed.(*net.TCPConn)
	c.Assert(peer.SetReadBuffer(receiveBuffer), qt.IsNil)
	t.Cleanup(func() { _, _ = own.Close(), peer.Close() })
	return own, peer
}

// TestPeerReceivesEverything closes a connection on which most of the data is still to be
// received, while its peer does something else first. It guards against peers that lose the
// end of what was written because of what they send.
func TestPeerReceivesEverything(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789"), 20_000)
	tests := []struct {
		name string
		// before is what the peer does before it reads.
		before func(c *qt.C, peer *net.TCPConn)
	}{
		{"nothing", func(*qt.C, *net.TCPConn) {}},
		{"sends", func(c *qt.C, peer *net.TCPConn) {
			for range 5 {
				_, err := peer.Write(make([]byte, 100))
				c.Assert(err, qt.IsNil)
				time.Sleep(10 * time.Millisecond)
			}
		}},
		{"sends much", func(c *qt.C, peer *net.TCPConn) {
			_, err := peer.Write(make([]byte, 20<<20))
			c.Assert(err, qt.IsNil)
		}},
		{"waits longer than it may take to close", func(c *qt.C, peer *net.TCPConn) {
			time.Sleep(1500 * time.Millisecond)
			_, err := peer.Write([]byte("x"))
			c.Assert(err, qt.IsNil)
		}},
		{"ends its sending side", func(c *qt.C, peer *net.TCPConn) { c.Assert(peer.CloseWrite(), qt.IsNil) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			own, peer := connect(t)
			group := &errgroup.Group{}
			_, err := own.Write(data)
			c.Assert(err, qt.IsNil)
			closer := yuccalinger.New()
			closer.Close(own)
			group.Go(func() error {
				closer.Wait(time.Now().Add(20 * time.Second))
				return nil
			})
			test.before(c, peer)
			got, err := io.ReadAll(peer)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(got, data), qt.IsTrue, qt.Commentf("%d of %d bytes", len(got), len(data)))
			c.Assert(peer.Close(), qt.IsNil)
			c.Assert(group.Wait(), qt.IsNil)
		})
	}
}

// TestLingeringIsBounded guards against connections that stay open for peers that never
// close, that receive nothing, or that outlast the wait.
func TestLingeringIsBounded(t *testing.T) {
	const large = 8 << 20
	tests := []struct {
		name string
		// written is the number of bytes that are written before.
		written int
		// wait is how long Wait may take at the most.
		wait time.Duration
		// from and to bound the time until the connection is closed.
		from, to time.Duration
	}{
		{"peer does not close", 100, time.Minute, time.Second, 1500 * time.Millisecond},
		{"peer receives nothing", large, time.Minute, 5 * time.Second, 6 * time.Second},
		{"end of the wait", large, 300 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond},
		{"wait is over before", 100, 0, 0, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			own, _ := connect(t)
			c.Assert(own.SetWriteDeadline(time.Now().Add(200*time.Millisecond)), qt.IsNil)
			_, _ = own.Write(make([]byte, test.written))
			start := time.Now()
			closer := yuccalinger.New()
			closer.Close(own)
			closer.Wait(start.Add(test.wait))
			took := time.Since(start)
			c.Assert(took >= test.from && took < test.to, qt.IsTrue, qt.Commentf("%v", took))
			_, err := own.Write([]byte("x"))
			c.Assert(err, qt.ErrorIs, net.ErrClosed)
		})
	}
}
