package yuccasocket

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// acceptRetryDelay is the pause after a connection could not be accepted for lack of a
// resource of the system.
const acceptRetryDelay = 50 * time.Millisecond

// scarcity holds the errors of accept that pass: the process or the system is short of
// descriptors or memory, or the connection has ended before it was accepted.
var scarcity = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

// acceptFailures counts the failures of all listeners, since descriptors and memory are those
// of the process.
var acceptFailures atomic.Uint64

// AcceptFailures returns how often the listeners of the process have failed to accept a
// connection for a reason that passes.
func AcceptFailures() uint64 { return acceptFailures.Load() }

// Listener is a net.Listener that goes on accepting when it has failed for a reason that
// passes. It writes one log line when that begins, and one when it is over. Create one with
// NewListener.
type Listener struct {
	net.Listener
	name string
	log  zerolog.Logger
	// failures counts the failures since the last connection was accepted.
	failures atomic.Uint64
}

// NewListener returns a listener that accepts the connections of l. The name stands in the
// log lines.
func NewListener(l net.Listener, name string, log zerolog.Logger) *Listener {
	return &Listener{Listener: l, name: name, log: log}
}

// Accept implements net.Listener. An error means that the listener is closed or broken.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.accepted()
			return c, nil
		}
		if !passes(err) {
			return nil, err
		}
		acceptFailures.Add(1)
		if l.failures.Add(1) == 1 {
			l.log.Warn().Err(err).Str("listener", l.name).Msg("connections_not_accepted")
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (l *Listener) accepted() {
	if failed := l.failures.Swap(0); failed > 0 {
		l.log.Info().Uint64("failed", failed).Str("listener", l.name).Msg("connections_accepted_again")
	}
}

// passes reports whether an error of accept passes.
func passes(err error) bool {
	for _, e := range scarcity {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
