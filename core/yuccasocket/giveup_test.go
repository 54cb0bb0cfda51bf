package yuccasocket_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccasocket"
)

// TestGivenUpBytesAreNotDelivered closes a connection whose peer receives again only later, as
// behind a cut. It guards against requests that reach a server after they were given up
// (review case 9), and against resets that take from the peer what it has received.
func TestGivenUpBytesAreNotDelivered(t *testing.T) {
	const large = 16 << 20
	tests := []struct {
		name    string
		written int
		// delivered is whether the peer has received everything before the close.
		delivered bool
	}{
		{"nothing", 0, true},
		{"received", 1000, true},
		{"held up", large, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			dialed, err := net.Dial("tcp", l.Addr().String())
			c.Assert(err, qt.IsNil)
			peer, err := l.Accept()
			c.Assert(err, qt.IsNil)
			defer func() { _ = peer.Close() }()
			own := yuccasocket.NewConn(dialed.(*net.TCPConn))
			c.Assert(own.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
			written, _ := own.Write(make([]byte, test.written))
			time.Sleep(20 * time.Millisecond)
			c.Assert(own.Close(), qt.IsNil)
			c.Assert(peer.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			received, err := io.Copy(io.Discard, peer)
			c.Assert(int(received) == written, qt.Equals, test.delivered, qt.Commentf("%d of %d bytes", received, written))
			c.Assert(err == nil, qt.Equals, test.delivered, qt.Commentf("%v", err))
		})
	}
}
