package yuccafront

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccasleep"
	"yuccawell.example/core/yuccasocket"
)

// handshakeGrace is how long a handshake may take that has begun when a listener stops to
// take new connections. It covers three round trips to a client in the same country.
const handshakeGrace = 50 * time.Millisecond

// drainableSocket is a listening socket that closes without resetting connections that the
// kernel has accepted and the process has not. Clients may have sent a request on them.
type drainableSocket struct {
	net.Listener
	log zerolog.Logger
	// ignoring is set when no new connections are taken any more.
	ignoring atomic.Bool
}

// listen opens a socket on the address.
func listen(ctx context.Context, addr string, log zerolog.Logger) (*drainableSocket, error) {
	var config net.ListenConfig
	// A multipath socket can't ignore new connections.
	config.SetMultipathTCP(false)
	l, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &drainableSocket{Listener: l, log: log}, nil
}

// Accept implements net.Listener.
func (s *drainableSocket) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil || !s.ignoring.Load() {
		return c, err
	}
	if err := applyTo(c, yuccasocket.AcceptPackets); err != nil {
		s.log.Warn().Err(err).Str("client", c.RemoteAddr().String()).Msg("new_connection_receives_nothing")
	}
	return c, nil
}

// drain takes no new connections, gives the handshakes that have begun time to end and to be
// accepted, and closes the socket. If the system can't ignore new connections, it closes the
// socket at once, which resets those that have not been accepted.
func (s *drainableSocket) drain(ctx context.Context) {
	s.ignoring.Store(true)
	if err := applyTo(s.Listener, yuccasocket.IgnoreNewConns); err != nil {
		s.log.Warn().Err(err).Msg("new_connections_not_ignored")
	} else {
		yuccasleep.For(ctx, handshakeGrace)
	}
	_ = s.Close()
}

// applyTo calls a function with the file descriptor of a socket.
func applyTo(socket any, set func(syscall.RawConn) error) error {
	c, ok := socket.(syscall.Conn)
	if !ok {
		return syscall.ENOTSUP
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return set(raw)
}
