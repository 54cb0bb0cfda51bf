package yuccafront_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// receiveBuffer is the size of a client's receive buffer, of which a response fills a multiple.
const receiveBuffer = 4 << 10

// dialSlow opens a connection whose client receives little at a time.
func (f *pipelineFixture) dialSlow(t *testing.T) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		// The buffer counts only if it is set before the handshake.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", f.addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestLastResponseIsReceivedWhole has a client send further bytes before it reads the last
// response on its connection. It guards against responses that their clients lose because the
// connection is closed while they are still sending (review case 6).
func TestLastResponseIsReceivedWhole(t *testing.T) {
	const size = 30_000
	target := fmt.Sprintf("?size=%d", size)
	tests := []struct {
		name  string
		first string
		// statuses are those of the responses.
		statuses []int
		stops    bool
		// sizes are the lengths of the bodies, -1 for any.
		sizes []int
		// late is what the client sends when the responses have been written.
		late string
	}{
		{"the handler closes", get("/gate1" + target + "&close=1"), []int{200}, false, []int{size}, get("/late")},
		{"the handler closes, a body follows", get("/gate1" + target + "&close=1"), []int{200}, false, []int{size}, "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"},
		{"a request that was read ahead closes", get("/gate1", "/b"+target+"&close=1"), []int{200, 200}, false, []int{6, size}, get("/late")},
		{"the listener stops", get("/gate1" + target), []int{200}, true, []int{size}, get("/late")},
		{"the listener stops, read ahead", get("/gate1", "/b"+target), []int{200, 200}, true, []int{6, size}, get("/late")},
		{"malformed", get("/gate1"+target) + "GET\r\n\r\n", []int{200, 400}, false, []int{size, -1}, get("/late")},
		{"the client asks for it", "GET /gate1" + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", []int{200}, false, []int{size}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newPipelineFixture(t)
			conn := f.dialSlow(t)
			_, err := io.WriteString(conn, test.first)
			c.Assert(err, qt.IsNil)
			waitUntil(t, "the first has started", func() bool { return f.startedCount() >= 1 })
			group := &errgroup.Group{}
			if test.stops {
				group.Go(f.stop)
			}
			time.Sleep(2 * settle)
			f.release("/gate1")
			time.Sleep(2 * settle)
			_, _ = io.WriteString(conn, test.late)
			time.Sleep(2 * settle)
			r := bufio.NewReader(conn)
			for i, status := range test.statuses {
				resp, err := http.ReadResponse(r, nil)
				c.Assert(err, qt.IsNil)
				got, err := io.ReadAll(resp.Body)
				c.Assert(err, qt.IsNil, qt.Commentf("after %d bytes", len(got)))
				c.Assert(resp.StatusCode, qt.Equals, status)
				c.Assert(test.sizes[i] < 0 || len(got) == test.sizes[i], qt.IsTrue, qt.Commentf("%d bytes", len(got)))
			}
			_ = conn.Close()
			c.Assert(group.Wait(), qt.IsNil)
		})
	}
}

// TestIdleConnectionDeliversItsResponses stops the listener while a client has not received
// all of a response on a connection that is idle for the server, and has the client send then.
// It guards against a stop that takes the end of the response from the client.
func TestIdleConnectionDeliversItsResponses(t *testing.T) {
	const size = 30_000
	c := qt.New(t)
	f := newPipelineFixture(t)
	conn := f.dialSlow(t)
	_, err := io.WriteString(conn, get(fmt.Sprintf("/a?size=%d", size)))
	c.Assert(err, qt.IsNil)
	time.Sleep(4 * settle)
	group := &errgroup.Group{}
	group.Go(f.stop)
	time.Sleep(4 * settle)
	_, _ = io.WriteString(conn, get("/late"))
	time.Sleep(4 * settle)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil, qt.Commentf("after %d bytes", len(got)))
	c.Assert(got, qt.HasLen, size)
	_ = conn.Close()
	c.Assert(group.Wait(), qt.IsNil)
}
