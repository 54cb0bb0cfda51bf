package yuccatunnel

import (
	"io"
	"net"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes is the size of the largest OpenRequest or OpenReply.
const maxMessageBytes = 1 << 10

// tunnelConn is a connection to a backend server through another entry.
type tunnelConn struct {
	*net.TCPConn
	// peer is the name of the entry that carries it.
	peer string
}

// Via implements yuccarelay.Tunnel.
func (c *tunnelConn) Via() string { return c.peer }

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

// reset closes a connection so that the other side gets an error, not the end of a
// complete stream.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
