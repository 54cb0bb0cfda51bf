package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// requestCount numbers the requests of this process.
var requestCount atomic.Int64

// newID returns the id of a new client attempt.
func newID() string { return fmt.Sprintf("%016x", requestCount.Add(1)) }

// reply is what a client saw of the answer to a request.
type reply struct {
	// status is zero if no answer came.
	status int
	// complete is set if the answer ended as the protocol says.
	complete bool
	seal     string
	length   int
	body     []byte
	err      error
	took     time.Duration
}

func (r reply) String() string {
	return fmt.Sprintf("status %d complete %v length %d after %.0f ms (%v)", r.status, r.complete, r.length, float64(r.took.Microseconds())/1000, r.err)
}

// request is one client attempt.
type request struct {
	id, method, host, target string
	// remaining is how long the client waits.
	remaining time.Duration
	// bodyLength is the length of the body, which consists of zeros.
	bodyLength int
	cookie     string
}

// head returns the head of the request.
func (q request) head() string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.target, q.host, wire["attempt"], q.id, wire["remaining"], q.remaining.Milliseconds())
	if q.cookie != "" {
		h += "Cookie: " + wire["affinity"] + "=" + q.cookie + "\r\n"
	}
	if q.bodyLength > 0 || q.method == http.MethodPost {
		h += fmt.Sprintf("Content-Length: %d\r\n", q.bodyLength)
	}
	return h + "\r\n"
}

// send sends a request on a new connection and reads its answer until the client's time
// limit.
func send(addr string, q request) reply {
	start := time.Now()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(q.remaining))
	done := make(chan struct{})
	written := make(chan error, 1)
	requestGroup.Go(func() {
		defer close(done)
		written <- q.write(c)
	})
	r := readReply(bufio.NewReader(c), q.method)
	r.took = time.Since(start)
	_ = c.Close()
	<-done
	if err := <-written; err != nil && r.err == nil && r.status == 0 {
		r.err = err
	}
	return r
}

var zeros = make([]byte, 64<<10)

func (q request) write(c net.Conn) error {
	if _, err := io.WriteString(c, q.head()); err != nil {
		return err
	}
	for left := q.bodyLength; left > 0; {
		n, err := c.Write(zeros[:min(left, len(zeros))])
		if err != nil {
			return err
		}
		left -= n
	}
	return nil
}

func readReply(r *bufio.Reader, method string) reply {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, complete: err == nil, seal: resp.Header.Get(wire["seal"]), length: len(body), body: body, err: err}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
