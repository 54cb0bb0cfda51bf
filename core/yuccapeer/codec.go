package yuccapeer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

const (
	// maxFrameBytes is the size of the largest encoded Frame: a body and 4 KiB
	// for its other fields.
	maxFrameBytes = MaxBodyBytes + 4<<10
	// maxHelloBytes is the size of the largest encoded Hello.
	maxHelloBytes = 1 << 10
)

// readMessage reads one length-prefixed message of at most limit bytes.
func readMessage(r *bufio.Reader, limit int64, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
}

// readFrame reads one frame. The error is of kind ConnectionLost when the connection
// failed, of kind Protocol when the sender violates the protocol.
func readFrame(r *bufio.Reader) (*Frame, error) {
	f := &Frame{}
	if err := readMessage(r, maxFrameBytes, f); err != nil {
		return nil, yuccaerror.New(readErrorKind(err), "read frame: %w", err)
	}
	if len(f.Body) > MaxBodyBytes {
		return nil, yuccaerror.New(yuccaerror.Protocol, "read frame: body of %d bytes is too large", len(f.Body))
	}
	return f, nil
}

// readErrorKind returns ConnectionLost for an error of the connection and Protocol for
// any other read error.
func readErrorKind(err error) yuccaerror.Kind {
	var network net.Error
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, yamux.ErrStreamClosed, yamux.ErrSessionShutdown, yamux.ErrConnectionReset} {
		if errors.Is(err, closed) {
			return yuccaerror.ConnectionLost
		}
	}
	if errors.As(err, &network) {
		return yuccaerror.ConnectionLost
	}
	return yuccaerror.Protocol
}

// encodeFrame returns a frame as it is sent, or nil if it cannot be encoded.
func encodeFrame(f *Frame) []byte {
	var b bytes.Buffer
	if err := writeMessage(&b, f); err != nil {
		return nil
	}
	return b.Bytes()
}

// writeMessage writes one length-prefixed message in a single Write call, so
// that it is sent in one piece.
func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}
