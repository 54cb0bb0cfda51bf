package yuccahead

import (
	"bytes"
	"net"
)

// maxHeadBytes bounds the heads that a Conn reads.
const maxHeadBytes = 64 << 10

// Conn is a connection of an HTTP client that sends one request after another. It checks the
// head of each response before the client has read it whole; a read of one that is invalid
// fails.
type Conn struct {
	net.Conn
	// inHead is set while a head is expected.
	inHead bool
	// head holds the bytes so far of the head.
	head []byte
}

// NewConn returns a Conn that reads from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial returns a function that opens connections with dial and checks the responses on them.
func Dial(dial func(addr string) (net.Conn, error)) func(addr string) (net.Conn, error) {
	return func(addr string) (net.Conn, error) {
		c, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Write implements net.Conn. The head of a response is expected afterwards.
func (c *Conn) Write(p []byte) (int, error) {
	c.inHead, c.head = true, nil
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.inHead || n <= 0 {
		return n, err
	}
	c.head = append(c.head, p[:n]...)
	if err := c.check(); err != nil {
		return 0, err
	}
	return n, err
}

// check checks the heads of interim responses and of the final one as far as they have been
// read.
func (c *Conn) check() error {
	for c.inHead {
		end := bytes.Index(c.head, headEnd)
		if end < 0 {
			if len(c.head) > maxHeadBytes {
				return ErrTooLong
			}
			return checkLineEnds(c.head)
		}
		if err := checkResponse(c.head[:end+len(lineEnd)]); err != nil {
			return err
		}
		c.inHead = isInterim(c.head)
		c.head = c.head[end+len(headEnd):]
	}
	c.head = nil
	return nil
}
