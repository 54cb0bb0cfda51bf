package yuccatunnel_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccatunnel"
)

// TestDetectorVerifiesSilence feeds a detector unanswered requests and responses: when
// the links are verified, and what that shows. It guards against overload that is taken
// for a partition, and against silent links that nobody verifies.
func TestDetectorVerifiesSilence(t *testing.T) {
	c := qt.New(t)
	d := &yuccatunnel.Detector{}
	opened := start
	c.Assert(d.Silent(start, "a", opened), qt.IsFalse)
	c.Assert(d.Silent(start, "a", opened), qt.IsFalse, qt.Commentf("one server may be slow"))
	d.Responded(opened)
	c.Assert(d.Silent(start, "b", opened), qt.IsFalse, qt.Commentf("a connection as new has responded"))
	d.Responded(opened.Add(-time.Second))
	c.Assert(d.Silent(start, "a", opened), qt.IsTrue, qt.Commentf("only an old connection has responded"))
	c.Assert(d.Silent(start.Add(time.Millisecond), "a", opened), qt.IsFalse, qt.Commentf("verified just now"))

	later := start.Add(2 * time.Second)
	for _, v := range []struct {
		probed, reached, byOthers int
		cutOff                    bool
	}{{1, 1, 0, false}, {3, 1, 3, false}, {3, 0, 0, false}, {3, 0, 1, false}, {1, 0, 1, false}, {3, 0, 2, true}} {
		c.Assert(d.Silenced(later, v.probed, v.reached, v.byOthers), qt.Equals, v.cutOff, qt.Commentf("%+v", v))
		c.Assert(d.SilentlyCutOff(), qt.Equals, v.cutOff)
	}
	c.Assert(d.Silent(later.Add(2*time.Second), "a", opened), qt.IsFalse, qt.Commentf("there is nothing more to find out"))
	c.Assert(d.Reached(later), qt.IsTrue)
	c.Assert(d.SilentlyCutOff(), qt.IsFalse)
	c.Assert(d.Failing(), qt.IsFalse)
}

// silentAddr returns an address that accepts connections and sends nothing on them,
// whatever the other side does.
func (w *world) silentAddr(t *testing.T) string {
	l := yuccafake.NewTCPProxy("127.0.0.1:0", "127.0.0.1:1", yuccafake.LinkConditions{})
	l.SetPartition("127.0.0.1", yuccafake.PartitionHang)
	w.c.Assert(l.Start(), qt.IsNil)
	t.Cleanup(l.Close)
	return l.Addr()
}

// startDialer starts the dialer until the test ends and lets it know the servers.
func (w *world) startDialer(t *testing.T, servers ...yuccarelay.Server) {
	w.c.Assert(w.dialer.Start(context.WithoutCancel(t.Context()), w.group), qt.IsNil)
	t.Cleanup(func() { _ = w.dialer.Stop(context.Background()) })
	for _, s := range servers {
		c, err := w.dialer.Dial(t.Context(), s)
		w.c.Assert(err, qt.IsNil)
		_ = c.Close()
	}
}

// leaveUnanswered has requests to servers remain unanswered for a time. It returns
// early, and reports it, when the entry is cut off.
func (w *world) leaveUnanswered(length time.Duration, servers ...yuccarelay.Server) (cutOff bool) {
	opened := time.Now()
	for end := opened.Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, s := range servers {
			if w.dialer.Silent(&net.TCPConn{}, s.Name, opened) {
				return true
			}
		}
	}
	return w.dialer.CutOff()
}

// TestSilentConnectionsShowPartition has the links of an entry accept connections and
// stay silent, while another entry reaches the servers. The entry uses tunnels, and its
// own links again when they bring bytes.
func TestSilentConnectionsShowPartition(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	for _, s := range []yuccarelay.Server{a, b} {
		w.redirects.Store(s.Addr, w.silentAddr(t))
	}
	w.startDialer(t, a, b)
	w.c.Assert(w.leaveUnanswered(3*time.Second, a, b), qt.IsTrue)
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	w.c.Assert(c.(yuccarelay.Tunnel).Via(), qt.Equals, "e2")
	time.Sleep(1200 * time.Millisecond)
	w.c.Assert(w.dialer.CutOff(), qt.IsTrue, qt.Commentf("connections that are accepted do not end silence"))
	w.redirects.Clear()
	for end := time.Now().Add(5 * time.Second); w.dialer.CutOff() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		continue
	}
	w.c.Assert(w.dialer.CutOff(), qt.IsFalse)
}

// TestProbesPassAnyRegion guards against a partition that goes unnoticed because no entry may
// carry the requests that have met it.
func TestProbesPassAnyRegion(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	a.Regions, b.Regions = []string{"q"}, []string{"q"}
	for _, s := range []yuccarelay.Server{a, b} {
		w.redirects.Store(s.Addr, w.silentAddr(t))
	}
	w.startDialer(t, a, b)
	w.c.Assert(w.leaveUnanswered(3*time.Second, a, b), qt.IsTrue)
	_, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(errors.Is(err, yuccarelay.ErrNoCarrier), qt.IsTrue, qt.Commentf("no request goes to a silent link: %v", err))
}

// TestProbesNameTheServerThatHasTheAddress guards against a partition that goes unnoticed
// because other entries are asked for servers whose addresses belong to others now.
func TestProbesNameTheServerThatHasTheAddress(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	for _, s := range []yuccarelay.Server{a, b} {
		w.redirects.Store(s.Addr, w.silentAddr(t))
	}
	goneA, goneB := a, b
	goneA.Name, goneB.Name = "gone-a", "gone-b"
	w.startDialer(t, goneA, goneB, a, b)
	w.c.Assert(w.leaveUnanswered(3*time.Second, a, b), qt.IsTrue)
}

// TestOverloadIsNotTakenForSilence has servers leave requests unanswered for long, as
// under overload. The links bring bytes, or nobody reaches the servers, or nobody can
// tell: none of it shows a partition.
func TestOverloadIsNotTakenForSilence(t *testing.T) {
	t.Run("servers respond to connections only", func(t *testing.T) {
		w := newWorld(t)
		a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
		w.addPeer(t, "e2")
		w.startDialer(t, a, b)
		w.c.Assert(w.leaveUnanswered(2500*time.Millisecond, a, b), qt.IsFalse)
	})
	t.Run("one server responds to connections", func(t *testing.T) {
		w := newWorld(t)
		a, b, x := w.addServer(t, "a", echo), w.addServer(t, "b", echo), w.addServer(t, "x", echo)
		w.addPeer(t, "e2")
		a.Addr, b.Addr = w.silentAddr(t), w.silentAddr(t)
		w.startDialer(t, a, b, x)
		w.c.Assert(w.leaveUnanswered(4*time.Second, a, b), qt.IsFalse)
	})
	t.Run("servers do not accept connections of anybody", func(t *testing.T) {
		w := newWorld(t)
		a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
		w.addPeer(t, "e2")
		a.Addr, b.Addr = w.silentAddr(t), w.silentAddr(t)
		w.servers["a"], w.servers["b"] = a.Addr, b.Addr
		w.startDialer(t, a, b)
		w.c.Assert(w.leaveUnanswered(4*time.Second, a, b), qt.IsFalse)
	})
	t.Run("other entries are of a build without probes", func(t *testing.T) {
		w := newWorld(t)
		a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
		w.peers = []yuccatunnel.Peer{{Name: "e2", Region: "r", Domain: "z1", Addr: w.oldPeerAddr(t)}}
		a.Addr, b.Addr = w.silentAddr(t), w.silentAddr(t)
		w.startDialer(t, a, b)
		w.c.Assert(w.leaveUnanswered(4*time.Second, a, b), qt.IsFalse)
	})
}

// oldPeerAddr returns the address of an entry that replies to each request as if it
// were one for a tunnel.
func (w *world) oldPeerAddr(t *testing.T) string {
	return w.addServer(t, "old", func(c *net.TCPConn) {
		buffer := make([]byte, 100)
		_, _ = c.Read(buffer)
		// The length of an OpenReply without fields.
		_, _ = c.Write([]byte{0})
		_, _ = c.Read(buffer)
	}).Addr
}

// TestFullBacklogShowsPartition has the connections of an entry never be established,
// while another entry reaches the servers.
func TestFullBacklogShowsPartition(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	for _, s := range []*yuccarelay.Server{&a, &b} {
		full, err := yuccafake.NewFullBacklog()
		w.c.Assert(err, qt.IsNil)
		t.Cleanup(full.Close)
		s.Addr = full.Addr()
	}
	_, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNotNil)
	c, err := w.dialer.Dial(t.Context(), b)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	w.c.Assert(c.(yuccarelay.Tunnel).Via(), qt.Equals, "e2")
	w.c.Assert(w.cutOff.Load(), qt.IsTrue)
}
