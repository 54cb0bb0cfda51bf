package yuccatunnel

import (
	"io"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccalinger"
	"yuccawell.example/core/yuccasocket"
)

const (
	// copyBufferBytes is the size of the buffer of each direction of a tunnel.
	copyBufferBytes = 16 << 10
	// closeDelay is how long the other entry may take to close its side of a tunnel
	// whose server has ended the connection.
	closeDelay = time.Second
)

// tunnel carries bytes between another entry, the caller, and a server.
type tunnel struct {
	caller *net.TCPConn
	server *yuccasocket.Conn
	// framed is set if the server's bytes travel in frames.
	framed bool
}

// carry copies the bytes of both directions until both have ended.
func (t tunnel) carry() {
	group := &errgroup.Group{}
	group.Go(func() error {
		t.carryResponse()
		return nil
	})
	group.Go(func() error {
		t.carryRequest()
		return nil
	})
	_ = group.Wait()
}

// carryResponse copies what the server sends. The end of the server's connection becomes the
// end of the caller's, and an error an error, so that a response that was cut short does not
// look complete. With frames, the caller gets all that came before the error.
func (t tunnel) carryResponse() {
	copyResponse := copyBytes
	if t.framed {
		copyResponse = copyFramed
	}
	if err := copyResponse(t.caller, t.server); err != nil {
		yuccalinger.Reset(t.caller)
		return
	}
	_ = t.caller.CloseWrite()
	_ = t.caller.SetReadDeadline(time.Now().Add(closeDelay))
}

// carryRequest copies what the caller sends until it has ended its side. A server that takes
// no more of it may have sent a response that is still to be read, so that the connection to
// it stays open, and the rest of the request is discarded. Afterwards the server stops its
// work, since its connection closes, and does not get what is still on its way.
func (t tunnel) carryRequest() {
	from := &endingReader{Reader: t.caller}
	_ = copyBytes(t.server, from)
	if !from.ended {
		_ = copyBytes(io.Discard, from)
	}
	_ = t.server.Close()
}

// endingReader notes when a read has returned an error.
type endingReader struct {
	io.Reader
	ended bool
}

// Read implements io.Reader.
func (r *endingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.ended = err != nil
	return n, err
}

// copyBytes copies until the source ends. It returns nil if the source has ended and
// all its bytes are written.
func copyBytes(to io.Writer, from io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBufferBytes))
	return err
}
