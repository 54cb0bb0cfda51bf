package yuccasocket

import "net"

// GiveUp closes a connection on which no response is wanted any more. If the peer has received
// all that was written, the close is an ordinary one, and the peer learns that the connection
// has ended. Otherwise the connection is reset, which discards the rest: after an ordinary
// close the kernel goes on sending it, and a request whose way is cut would run when the cut
// ends, long after its caller has been told that it failed.
func GiveUp(c *net.TCPConn) error {
	if unacked(c) > 0 {
		// The close is an ordinary one if that fails.
		_ = c.SetLinger(0)
	}
	return c.Close()
}

// unacked is Unacked for a connection, zero if it is closed on this side.
func unacked(c *net.TCPConn) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { n = Unacked(fd) })
	return n
}
