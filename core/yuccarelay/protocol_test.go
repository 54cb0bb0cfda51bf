package yuccarelay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccarelay"
)

// labelProtocol is a Protocol in which responses carry the id of their request.
type labelProtocol struct{ yuccarelay.DefaultProtocol }

func (labelProtocol) ID(h *fasthttp.RequestHeader) string { return string(h.Peek("Label")) }

func (labelProtocol) ClassifyResponse(id string, h *fasthttp.ResponseHeader) yuccarelay.ResponseClass {
	switch got := string(h.Peek("Label")); {
	case h.StatusCode() == fasthttp.StatusMisdirectedRequest:
		return yuccarelay.Misdirected
	case got != id:
		return yuccarelay.Mismatched
	}
	return yuccarelay.Genuine
}

func (labelProtocol) Report(*fasthttp.ResponseHeader) yuccaadmission.Report {
	return yuccaadmission.Report{}
}

// serveConns starts a server that passes each connection to handle and closes it then.
func serveConns(t *testing.T, handle func(*net.TCPConn)) backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	group := &errgroup.Group{}
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = c.Close() }()
				handle(c.(*net.TCPConn))
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return backend{l.Addr().String(), 4}
}

// serveResponses starts a server that responds to each request with the output
// of write.
func serveResponses(t *testing.T, write func(w *bufio.Writer, label string)) backend {
	return serveConns(t, func(c *net.TCPConn) {
		r, w := bufio.NewReader(c), bufio.NewWriter(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			write(w, req.Header.Get("Label"))
			if w.Flush() != nil {
				return
			}
		}
	})
}

// TestHoldOffIsRead reads the time for which a server wants no requests.
func TestHoldOffIsRead(t *testing.T) {
	tests := []struct {
		name       string
		status     int
		run, after string
		want       time.Duration
		invalid    bool
	}{
		{"seconds", 503, "no", "3", 3 * time.Second, false},
		{"fraction", 503, "no", "0.25", 250 * time.Millisecond, false},
		{"zero", 503, "no", "0", 0, false},
		{"absurd", 503, "no", "1e300", 1e6 * time.Second, false},
		{"no number", 503, "no", "Fri, 04 Dec 2026", 0, true},
		{"negative", 503, "no", "-1", 0, true},
		{"NaN", 503, "no", "NaN", 0, true},
		{"the request may have run", 503, "", "3", 0, false},
		{"another status", 200, "no", "3", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var h fasthttp.ResponseHeader
			h.SetStatusCode(test.status)
			h.Set(yuccarelay.RunHeader, test.run)
			h.Set(fasthttp.HeaderRetryAfter, test.after)
			r := yuccarelay.DefaultProtocol{}.Report(&h)
			qt.Assert(t, r.HoldOff, qt.Equals, test.want)
			qt.Assert(t, r.Invalid != "", qt.Equals, test.invalid)
		})
	}
}

// TestMismatchedResponseIsSkipped has a server that repeats its previous
// response before each new one on the same connection.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	sized := func(label, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nLabel: %s\r\nContent-Length: %d\r\n\r\n%s", label, len(body), body)
	}
	chunks := func(label, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nLabel: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", label, len(body), body)
	}
	tests := []struct {
		name string
		// mismatched formats the response to the previous request.
		mismatched func(label, body string) string
		// genuine formats the response to the current request.
		genuine func(label, body string) string
	}{
		{"sized before sized", sized, sized},
		{"sized before chunked", sized, chunks},
		{"chunked before sized", chunks, sized},
		{"chunked before chunked", chunks, chunks},
	}
	for _, test := range tests {
		for _, hold := range []int{0, 4096} {
			t.Run(fmt.Sprint(test.name, hold), func(t *testing.T) {
				c := qt.New(t)
				w := &fixture{}
				last := ""
				server := serveResponses(t, func(out *bufio.Writer, label string) {
					if last != "" {
						_, _ = out.WriteString(test.mismatched(last, "old"))
					}
					_, _ = out.WriteString(test.genuine(label, "body of "+label))
					last = label
				})
				w.start(t, yuccarelay.Options{Protocol: labelProtocol{}, MaxBufferedBytes: hold, NoHedge: true}, []backend{server})
				for i := range 3 {
					label := fmt.Sprint("r", i)
					resp, err := w.call(func(r *fasthttp.Request) { r.Header.Set("Label", label) })
					c.Assert(err, qt.IsNil)
					c.Assert(string(resp.Body()), qt.Equals, "body of "+label)
					// The next request must find the connection in the pool.
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
}
