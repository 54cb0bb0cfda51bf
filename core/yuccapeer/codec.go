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
	// maxFrame is the largest frame in bytes: a body and its envelope.
	maxFrame = MaxBody + 4<<10
	// maxHello is the largest greeting in bytes.
	maxHello = 1 << 10
)

// readMessage reads one message of at most limit bytes.
func readMessage(r *bufio.Reader, limit int64, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
}

// readFrame reads one frame. An error of kind Protocol means that the sender
// does not follow the protocol.
func readFrame(r *bufio.Reader) (*Frame, error) {
	f := &Frame{}
	if err := readMessage(r, maxFrame, f); err != nil {
		return nil, yuccaerror.New(readKind(err), "frame: %w", err)
	}
	if len(f.Body) > MaxBody {
		return nil, yuccaerror.New(yuccaerror.Protocol, "frame: body of %d bytes", len(f.Body))
	}
	return f, nil
}

// readKind tells a connection that failed from a sender that does not follow
// the protocol.
func readKind(err error) yuccaerror.Kind {
	var network net.Error
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, yamux.ErrStreamClosed, yamux.ErrSessionShutdown, yamux.ErrConnectionReset} {
		if errors.Is(err, lost) {
			return yuccaerror.Broken
		}
	}
	if errors.As(err, &network) {
		return yuccaerror.Broken
	}
	return yuccaerror.Protocol
}

// encode returns a frame as it travels.
func encode(f *Frame) []byte {
	var b bytes.Buffer
	if err := writeMessage(&b, f); err != nil {
		return nil
	}
	return b.Bytes()
}

// writeMessage writes one message in a single call, so that it leaves in one
// piece.
func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}
