package yuccatunnel_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// addLink puts a link before the last peer. It passes the caller's bytes on, and those for
// the caller with pass.
func (w *world) addLink(t *testing.T, to string, ended <-chan struct{}, pass func(caller, peer *net.TCPConn) error) {
	link := w.addServer(t, "link", func(c *net.TCPConn) {
		raw, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer raw.Close()
		peer := raw.(*net.TCPConn)
		group := &errgroup.Group{}
		group.Go(func() error { _, err := io.Copy(peer, c); return err })
		group.Go(func() error { defer c.CloseWrite(); return pass(c, peer) })
		group.Go(func() error {
			<-ended
			_ = c.Close()
			return peer.Close()
		})
		_ = group.Wait()
	})
	w.peers[len(w.peers)-1].Addr = link.Addr
}

// addKillablePeer starts an entry that carries tunnels. The returned function ends their
// connections as the kernel does when the process is killed: properly.
func (w *world) addKillablePeer(t *testing.T, name string) (kill func()) {
	l := w.addPeer(t, name)
	killed := make(chan struct{})
	w.addLink(t, l.Addr(), killed, func(caller, peer *net.TCPConn) error {
		_, err := io.Copy(caller, peer)
		return err
	})
	return func() { close(killed) }
}

// TestKilledCarrierCutsTunnel kills the entry that carries a tunnel in the middle of a
// response that has no length. It guards against a part of a response that looks complete.
func TestKilledCarrierCutsTunnel(t *testing.T) {
	w := newWorld(t)
	release := make(chan struct{})
	a := w.addServer(t, "a", func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "half")
		<-release
	})
	b := w.addServer(t, "b", echo)
	kill := w.addKillablePeer(t, "e2")
	w.cut(a, b)
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	got := make([]byte, 4)
	_, err = io.ReadFull(c, got)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(string(got), qt.Equals, "half")
	kill()
	close(release)
	rest, err := io.ReadAll(c)
	w.c.Assert(rest, qt.HasLen, 0)
	w.c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	w.c.Assert(w.dialer.Cut(), qt.Equals, uint64(1))
}

// TestUnframedTunnelNeverLooksComplete has the other entry be of a build that sends the
// server's bytes without frames: where its connection ends, the response may go on.
func TestUnframedTunnelNeverLooksComplete(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	w.peers[0].Addr = w.addServer(t, "old", func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		// An OpenReply without fields, which takes no bytes after its length.
		_, _ = io.WriteString(c, "\x00part")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}).Addr
	w.cut(a, b)
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	got, err := io.ReadAll(c)
	w.c.Assert(string(got), qt.Equals, "part")
	w.c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// TestTunnelKeepsBytesOfInterruptedReads has the bytes of a tunnel arrive one by one while
// the entry reads with short deadlines, as it does while it waits for a response. It guards
// against frames that are lost or read twice.
func TestTunnelKeepsBytesOfInterruptedReads(t *testing.T) {
	const text = "a response that arrives byte by byte"
	w := newWorld(t)
	a := w.addServer(t, "a", func(c *net.TCPConn) { _, _ = io.WriteString(c, text) })
	b := w.addServer(t, "b", echo)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	w.addLink(t, w.addPeer(t, "e2").Addr(), ended, func(caller, peer *net.TCPConn) error {
		var b [1]byte
		for {
			if _, err := peer.Read(b[:]); err != nil {
				return err
			}
			time.Sleep(3 * time.Millisecond)
			if _, err := caller.Write(b[:]); err != nil {
				return err
			}
		}
	})
	w.cut(a, b)
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	var got []byte
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		buffer := make([]byte, 16)
		w.c.Assert(c.SetReadDeadline(time.Now().Add(time.Millisecond)), qt.IsNil)
		n, err := c.Read(buffer)
		got = append(got, buffer[:n]...)
		if err == io.EOF {
			break
		}
		w.c.Assert(err == nil || errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	}
	w.c.Assert(string(got), qt.Equals, text)
}

// TestTunnelWithUnreadBytesIsNotReused has a server send more than it was asked for. It
// guards against these bytes being taken for the response to the next request.
func TestTunnelWithUnreadBytesIsNotReused(t *testing.T) {
	w := newWorld(t)
	a := w.addServer(t, "a", func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "answer, and more")
		_, _ = io.Copy(io.Discard, c)
	})
	b := w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	w.cut(a, b)
	opened := time.Now()
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	w.c.Assert(w.dialer.Usable(c, opened), qt.IsTrue)
	_, err = io.ReadFull(c, make([]byte, len("answer")))
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(w.dialer.Usable(c, opened), qt.IsFalse)
}
