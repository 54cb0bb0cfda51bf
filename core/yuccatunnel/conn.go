package yuccatunnel

import (
	"io"
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccasocket"
)

// maxMessageBytes is the size of the largest OpenRequest or OpenReply.
const maxMessageBytes = 1 << 10

// tunnelConn is a connection to a backend server through another entry.
type tunnelConn struct {
	*net.TCPConn
	// peer is the entry that carries it.
	peer Peer
	// frames reads the server's bytes, nil if the other entry's build sends them without
	// frames.
	frames *frameReader
	// cut counts the tunnels that have ended before the server's connection.
	cut *atomic.Uint64
}

func newTunnelConn(c *net.TCPConn, peer Peer, framed bool, cut *atomic.Uint64) *tunnelConn {
	t := &tunnelConn{TCPConn: c, peer: peer, cut: cut}
	if framed {
		t.frames = &frameReader{from: c}
	}
	return t
}

// Read implements net.Conn. It returns io.EOF only if the server has ended its connection.
// Without frames that cannot be known, and the end counts as io.ErrUnexpectedEOF.
func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err == io.ErrUnexpectedEOF {
		c.cut.Add(1)
	}
	return n, err
}

func (c *tunnelConn) read(p []byte) (int, error) {
	if c.frames != nil {
		return c.frames.Read(p)
	}
	n, err := c.TCPConn.Read(p)
	return n, unexpectedEOF(err)
}

// Close implements net.Conn like yuccasocket.GiveUp. The other entry gives up on the server in
// the same way when it sees that.
func (c *tunnelConn) Close() error { return yuccasocket.GiveUp(c.TCPConn) }

// WriteTo implements io.WriterTo in place of the embedded connection, whose method would
// pass the frames on unread.
func (c *tunnelConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// idle reports whether all bytes that the server has sent, as far as known, are read.
func (c *tunnelConn) idle() bool { return c.frames == nil || c.frames.betweenFrames() }

// Via implements yuccarelay.Tunnel.
func (c *tunnelConn) Via() string { return c.peer.Name }

// ViaRegion implements yuccarelay.Tunnel.
func (c *tunnelConn) ViaRegion() string { return c.peer.Region }

// byteReader reads single bytes from a connection, without reading ahead: the bytes
// after a message belong to the caller.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

// readMessage reads one length-prefixed message and no byte more.
func readMessage(r io.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(byteReader{r}, m)
}

// writeMessage writes one length-prefixed message.
func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}
