package yuccasocket_test

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccasocket"
)

// failingListener fails with the given errors before it returns a connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return &net.TCPConn{}, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestListenerBearsScarcity guards against processes that end when they run out of
// descriptors, and against listeners that never notice their end.
func TestListenerBearsScarcity(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name string
		errs []error
		// want is the error of Accept, nil for a connection.
		want error
		// lines is the number of log lines.
		lines int
	}{
		{"nothing fails", nil, nil, 0},
		{"descriptors of the process", []error{syscall.EMFILE, syscall.EMFILE, syscall.EMFILE}, nil, 2},
		{"descriptors of the system", []error{syscall.ENFILE}, nil, 2},
		{"buffers and memory", []error{syscall.ENOBUFS, syscall.ENOMEM}, nil, 2},
		{"aborted connection", []error{syscall.ECONNABORTED}, nil, 2},
		{"closed", []error{net.ErrClosed}, net.ErrClosed, 0},
		{"closed meanwhile", []error{syscall.EMFILE, net.ErrClosed}, net.ErrClosed, 1},
		{"broken", []error{broken}, broken, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			l := yuccasocket.NewListener(&failingListener{errs: test.errs}, "front", zerolog.New(&log))
			conn, err := l.Accept()
			c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(conn != nil, qt.Equals, test.want == nil)
			c.Assert(strings.Count(log.String(), "\n"), qt.Equals, test.lines)
		})
	}
}
