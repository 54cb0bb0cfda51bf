package yuccarelay

import (
	"errors"
	"io"
	"time"
)

// errBodyTooLate is the cause of a request whose body ends so late in a planned stop that its
// server could answer only after the entry has exited. The server does not get the end.
var errBodyTooLate = errors.New("the request body ends too late for a response before the entry exits")

// endingBody reads the part of a caller's body that is not kept in memory. It calls onEnd before
// it returns the last bytes, or the end of a chunked body, and returns its error in their place:
// the server does not have the whole request then.
type endingBody struct {
	io.Reader
	// left is the number of bytes that follow, negative if the body is chunked.
	left  int
	ended bool
	onEnd func() error
}

// Read implements io.Reader.
func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.left >= 0 {
		b.left -= n
	}
	if b.ended || b.onEnd == nil || b.left != 0 && err != io.EOF {
		return n, err
	}
	b.ended = true
	if endErr := b.onEnd(); endErr != nil {
		return 0, endErr
	}
	return n, err
}

// checkEnd decides whether a server may get the end of the request's body now. During a planned
// stop it returns until when the server has to answer, and errBodyTooLate if that is too short
// for the request. A body may arrive for longer than it takes to decide on a request whose body
// is kept in memory, which is done when it is complete.
func (t *task) checkEnd(now time.Time) (answerBy time.Time, err error) {
	s := t.relay.stop.Load()
	switch {
	case s == nil:
		return time.Time{}, nil
	case s.tooLate(now, t.ownDeadline):
		return time.Time{}, errBodyTooLate
	}
	return s.end, nil
}
