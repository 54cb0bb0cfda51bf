package yuccasocket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// maxTTL is the largest time to live of a packet. No packet that a router has forwarded
	// has it, and few systems send it.
	maxTTL = 255
	// noMinTTL accepts packets with any time to live.
	noMinTTL = 0
)

// IgnoreNewConns makes a listening IPv4 socket drop the first packet of each handshake. The
// kernel still completes the handshakes that it has answered, so that the queue of the
// socket can be emptied before it is closed. A client that is dropped sends the packet again
// after about a second, and is refused if the socket is closed by then.
//
// It sets IP_MINTTL, which the kernel checks for packets to the listening socket but not for
// those that complete a handshake. Connections that are accepted afterwards need
// AcceptPackets. It returns the error of the system call; a multipath socket doesn't have
// the option.
func IgnoreNewConns(raw syscall.RawConn) error { return setMinTTL(raw, maxTTL) }

// AcceptPackets undoes for one connection what it has inherited from a listening socket after
// IgnoreNewConns. What the peer has sent meanwhile was dropped, and arrives when the peer
// sends it again.
func AcceptPackets(raw syscall.RawConn) error { return setMinTTL(raw, noMinTTL) }

func setMinTTL(raw syscall.RawConn, ttl int) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_MINTTL, ttl) // #nosec G115
	})
	if err != nil {
		return err
	}
	return setErr
}
