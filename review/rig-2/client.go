package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path, id string
	body             string
	// limit is the client's time limit.
	limit time.Duration
	// extra are further header lines, each with its line end.
	extra string
}

// text returns the request as it is sent.
func (r request) text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", r.method, r.path, host, names["id"], r.id, names["remaining"], r.limit.Milliseconds(), r.extra)
	if r.method == http.MethodPost || r.body != "" {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// result is what a client received for a request.
type result struct {
	// status is zero if there was no answer.
	status int
	// complete is set if the whole body arrived.
	complete bool
	// own is set if a backend's seal names the request.
	own  bool
	body []byte
	err  error
	took time.Duration
}

func (r result) String() string {
	switch {
	case r.status == 0:
		return fmt.Sprintf("no answer (%v)", r.err)
	case !r.complete:
		return fmt.Sprintf("status %d, broken off after %d bytes (%v)", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, %d bytes", r.status, len(r.body))
}

// served reports whether the answer is the backend's whole answer to the request.
func (r result) served(id string) bool {
	return r.status == http.StatusOK && r.complete && r.own && string(r.body) == bodyOf(id, len(r.body))
}

// client is a connection of a client.
type client struct {
	net.Conn
	r *bufio.Reader
	// answers counts the whole answers that came on it.
	answers int
	// ended is set if an answer did not come or was the last one.
	ended bool
}

// keeper keeps a client's connection for many requests.
type keeper struct {
	addr string
	c    *client
}

// conn returns the connection that is kept, or a new one.
func (k *keeper) conn() (*client, error) {
	if k.c != nil && !k.c.ended {
		return k.c, nil
	}
	k.close()
	c, err := dial(k.addr)
	if err != nil {
		return nil, err
	}
	k.c = c
	return c, nil
}

func (k *keeper) close() {
	if k.c != nil {
		_ = k.c.Close()
		k.c = nil
	}
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, r: bufio.NewReader(c)}, nil
}

// read reads the next answer until a deadline.
func (c *client) read(req request, deadline time.Time) result {
	start := time.Now()
	_ = c.SetReadDeadline(deadline)
	resp, err := http.ReadResponse(c.r, &http.Request{Method: req.method})
	if err != nil {
		c.ended = true
		return result{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.ended = c.ended || err != nil || resp.Close
	if err == nil {
		c.answers++
	}
	own := resp.Header.Get(names["seal"]) == "seal."+req.id && resp.Header.Get(names["id"]) == req.id
	return result{status: resp.StatusCode, complete: err == nil, own: own, body: body, err: err, took: time.Since(start)}
}

// once sends a request on a connection of its own.
func once(addr string, req request) result {
	c, err := dial(addr)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	if _, err := io.WriteString(c, req.text()); err != nil {
		return result{err: err}
	}
	return c.read(req, time.Now().Add(req.limit))
}
