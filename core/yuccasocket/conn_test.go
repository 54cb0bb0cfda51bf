package yuccasocket_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccasocket"
)

// TestResetIsNoEnd has a peer break off its response while bytes are written to it. It guards
// against a reset that only the write gets, so that the part of the response which has come
// looks complete.
func TestResetIsNoEnd(t *testing.T) {
	const rounds = 100
	tests := []struct {
		name string
		end  func(c *net.TCPConn)
		// ends is whether the response ends.
		ends bool
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		{"closed with unread bytes", func(*net.TCPConn) {}, false},
		{"end, then reset", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(2 * time.Millisecond)
			_ = c.SetLinger(0)
		}, true},
		{"end only", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			for range rounds {
				dialed, err := net.Dial("tcp", l.Addr().String())
				c.Assert(err, qt.IsNil)
				accepted, err := l.Accept()
				c.Assert(err, qt.IsNil)
				peer, own := accepted.(*net.TCPConn), yuccasocket.NewConn(dialed.(*net.TCPConn))
				group := &errgroup.Group{}
				group.Go(func() error {
					block := make([]byte, 256<<10)
					_ = own.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
					for err := error(nil); err == nil; {
						_, err = own.Write(block)
					}
					if test.ends {
						// The peer reads to the end of what is sent.
						_ = own.CloseWrite()
					}
					return nil
				})
				group.Go(func() error {
					_, _ = io.ReadFull(peer, make([]byte, 1000))
					_, _ = io.WriteString(peer, "part")
					time.Sleep(time.Millisecond)
					test.end(peer)
					return peer.Close()
				})
				got, err := io.ReadAll(own)
				c.Assert(err == nil, qt.Equals, test.ends, qt.Commentf("%q, %v", got, err))
				c.Assert(string(got) == "part" || !test.ends, qt.IsTrue, qt.Commentf("%q", got))
				_ = group.Wait()
				_ = own.Close()
			}
		})
	}
}
