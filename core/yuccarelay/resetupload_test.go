package yuccarelay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccasocket"
)

// serveUploads starts a server that responds to each request before it has read its body, and
// then ends the connection with end.
func serveUploads(t *testing.T, response string, end func(*net.TCPConn)) backend {
	return serveConns(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		end(c)
	})
}

// waitForUnread waits until bytes have come that are unread, with which a close is a reset.
func waitForUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(longTimeout))
	_ = raw.Read(func(fd uintptr) bool { return yuccasocket.Peek(fd) != yuccasocket.NoData })
}

// TestResetResponseToUploadIsCut has a server respond at once to a long upload, without a
// length, and break off while the upload is being written. It guards against the part of the
// response that has come being passed on as a complete one, which depends on whether the read
// or the write gets the reset.
func TestResetResponseToUploadIsCut(t *testing.T) {
	const uploads, uploadBytes = 20, 8 << 20
	reset := func(after time.Duration) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			time.Sleep(after)
			_ = c.SetLinger(0)
		}
	}
	const sized = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
	const unsized = "HTTP/1.1 200 OK\r\n\r\npart"
	tests := []struct {
		name, response string
		end            func(*net.TCPConn)
		complete       bool
	}{
		{"reset at once", unsized, reset(0), false},
		{"reset soon", unsized, reset(time.Millisecond), false},
		{"closed with unread bytes", unsized, waitForUnread, false},
		{"ended", unsized, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
		{"reset, with a length", sized, reset(time.Millisecond), true},
	}
	for _, buffered := range []int{0, 64 << 10} {
		for _, test := range tests {
			t.Run(fmt.Sprint(test.name, " ", buffered), func(t *testing.T) {
				c := qt.New(t)
				w := &fixture{}
				options := yuccarelay.Options{MaxBufferedBytes: buffered, NoResume: true, NoHedge: true}
				w.start(t, options, []backend{serveUploads(t, test.response, test.end)})
				for range uploads {
					body, err := uploadOnce(w.addr, uploadBytes)
					c.Assert(err == nil && body == "part", qt.Equals, test.complete, qt.Commentf("%q, %v", body, err))
				}
			})
		}
	}
}

// uploadOnce sends a body of n bytes and returns the body of the response. The error is that
// of a response that is not complete or no success.
func uploadOnce(addr string, n int) (string, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	group := &errgroup.Group{}
	defer func() { _ = group.Wait() }()
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(longTimeout))
	group.Go(func() error {
		_, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: s.example\r\nContent-Length: %d\r\n\r\n", n)
		_, err := conn.Write(make([]byte, n))
		return err
	})
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return string(body), err
}
