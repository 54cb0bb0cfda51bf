package yuccatunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"syscall"
)

// The bytes from a server travel through a tunnel in frames: the length of the data, and
// the data. A frame without data marks the end of the server's connection, and a length that
// no frame has marks that the connection broke. Without such a mark, the end of the tunnel
// says nothing about the server: the kernel also ends it properly when the process that
// carries it is killed.
const (
	// frameHeaderBytes is the size of the length, a big-endian number.
	frameHeaderBytes = 4
	// maxFrameBytes is the longest data of a frame.
	maxFrameBytes = copyBufferBytes
	// endMark is the length that marks the end of the server's connection, and breakMark
	// the one that marks its break.
	endMark, breakMark = 0, math.MaxUint32
)

// errFrame is the cause of a tunnel that ends because what it brings is no frame.
var errFrame = errors.New("frame of a tunnel is too long")

// errBroken is the cause of a tunnel that ends because the server's connection broke.
var errBroken = fmt.Errorf("the server's connection broke behind a tunnel: %w", syscall.ECONNRESET)

// copyFramed copies until the source ends or breaks, and then writes the mark for that. It
// returns nil if all bytes of the source and the mark are written.
func copyFramed(to io.Writer, from io.Reader) error {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := from.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if _, err := to.Write(buffer[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return writeMark(to, endMark)
		}
		if err != nil {
			return writeMark(to, breakMark)
		}
	}
}

func writeMark(w io.Writer, mark uint32) error {
	_, err := w.Write(binary.BigEndian.AppendUint32(nil, mark))
	return err
}

// frameReader reads the data of frames. It reads no byte ahead, so that bytes which the
// server sends unasked stay visible on the socket. A read that times out may be repeated.
type frameReader struct {
	from io.Reader
	// header holds the bytes of a length that has arrived in part.
	header []byte
	// left is the number of data bytes of the present frame that are still to be read.
	left int
	// ended is set when the end mark has arrived.
	ended bool
}

// Read implements io.Reader. It returns io.EOF after the end mark only, and errBroken after
// the mark of a break. A tunnel that ends without a mark gives io.ErrUnexpectedEOF.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if err := r.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, unexpectedEOF(err)
}

// readHeader reads the length of the next frame. It returns io.EOF if that is the end mark.
func (r *frameReader) readHeader() error {
	for !r.ended && r.left == 0 {
		var rest [frameHeaderBytes]byte
		n, err := r.from.Read(rest[:frameHeaderBytes-len(r.header)])
		r.header = append(r.header, rest[:n]...)
		if len(r.header) < frameHeaderBytes {
			if err != nil {
				return unexpectedEOF(err)
			}
			continue
		}
		length := binary.BigEndian.Uint32(r.header)
		switch {
		case length == breakMark:
			return errBroken
		case length > maxFrameBytes:
			return errFrame
		}
		r.header, r.left, r.ended = r.header[:0], int(length), length == endMark
	}
	if r.ended {
		return io.EOF
	}
	return nil
}

// betweenFrames reports whether all bytes of the frames that have begun are read.
func (r *frameReader) betweenFrames() bool {
	return r.left == 0 && len(r.header) == 0 && !r.ended
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
