package yuccatunnel_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccatunnel"
)

// errLinkDown is the error of direct connections while the links of an entry are cut.
var errLinkDown = errors.New("link is down")

// world is an entry that is cut off from its servers, and others that carry its
// tunnels.
type world struct {
	c *qt.C
	// group contains the services of the entries and the servers.
	group  *errgroup.Group
	dialer *yuccatunnel.Dialer
	// linkDown makes direct connections of the entry fail.
	linkDown atomic.Bool
	// hanging makes direct connections of the entry wait until they are given up.
	hanging atomic.Bool
	// refusing holds the addresses of servers to which direct connections fail.
	refusing map[string]bool
	// cutOff is the last value that the dialer reported.
	cutOff  atomic.Bool
	peers   []yuccatunnel.Peer
	servers map[string]string
	// redirects maps the addresses that direct connections ask for to those that they get.
	redirects sync.Map
}

func newWorld(t *testing.T) *world {
	w := &world{c: qt.New(t), group: &errgroup.Group{}, servers: map[string]string{}}
	settings := yuccatunnel.DialerSettings{Self: "e1", Source: net.IPv4(127, 0, 0, 1), Timeout: 100 * time.Millisecond}
	w.dialer = yuccatunnel.NewDialer(settings, func() []yuccatunnel.Peer { return w.peers }, func(cutOff bool) { w.cutOff.Store(cutOff) }, zerolog.Nop())
	w.dialer.SetDirect(func(ctx context.Context, addr string) (net.Conn, error) {
		if w.hanging.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if w.linkDown.Load() || w.refusing[addr] {
			return nil, errLinkDown
		}
		if to, ok := w.redirects.Load(addr); ok {
			addr = to.(string)
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	})
	t.Cleanup(func() { w.c.Check(w.group.Wait(), qt.IsNil) })
	return w
}

// addServer starts a server that passes each connection to handle.
func (w *world) addServer(t *testing.T, name string, handle func(*net.TCPConn)) yuccarelay.Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	w.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			w.group.Go(func() error {
				defer c.Close()
				handle(c.(*net.TCPConn))
				return nil
			})
		}
	})
	w.servers[name] = l.Addr().String()
	return yuccarelay.Server{Name: name, Addr: l.Addr().String(), Region: "r", Domain: "z1"}
}

// addPeer starts an entry that carries tunnels to the known servers.
func (w *world) addPeer(t *testing.T, name string) *yuccatunnel.Listener {
	settings := yuccatunnel.ListenerSettings{
		Addr:          "127.0.0.1:0",
		DrainDeadline: func() time.Time { return time.Now().Add(5 * time.Second) },
		DialTimeout:   100 * time.Millisecond,
	}
	l := yuccatunnel.NewListener(settings, net.IPv4(127, 0, 0, 1), func(server string) string { return w.servers[server] }, zerolog.Nop())
	w.c.Assert(l.Start(context.WithoutCancel(t.Context()), w.group), qt.IsNil)
	t.Cleanup(func() { _ = l.Stop(context.Background()) })
	w.peers = append(w.peers, yuccatunnel.Peer{Name: name, Region: "r", Domain: "z1", Addr: l.Addr()})
	return l
}

// cut takes the links of the entry down and connects to two servers, so that it finds
// out.
func (w *world) cut(servers ...yuccarelay.Server) {
	w.linkDown.Store(true)
	for _, s := range servers {
		if c, err := w.dialer.Dial(context.Background(), s); err == nil {
			_ = c.Close()
		}
	}
}

// echo sends back what it gets.
func echo(c *net.TCPConn) { _, _ = io.Copy(c, c) }

// TestCutOffEntryUsesTunnels cuts the links of an entry: after two servers have failed,
// it reaches all of them through another entry.
func TestCutOffEntryUsesTunnels(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	w.cut(a)
	w.c.Assert(w.dialer.CutOff(), qt.IsFalse, qt.Commentf("one server may be down"))
	w.cut(b)
	w.c.Assert(w.cutOff.Load(), qt.IsTrue)
	opened := time.Now()
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	w.c.Assert(c.(yuccarelay.Tunnel).Via(), qt.Equals, "e2")
	w.c.Assert(w.dialer.Usable(c, opened), qt.IsTrue)
	_, err = io.WriteString(c, "hello")
	w.c.Assert(err, qt.IsNil)
	got := make([]byte, 5)
	_, err = io.ReadFull(c, got)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(string(got), qt.Equals, "hello")
}

// TestHangingConnectionsShowPartition has the links of an entry drop all packets: the
// second server that it cannot connect to is reached through another entry, after the
// time of four connections.
func TestHangingConnectionsShowPartition(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	w.hanging.Store(true)
	began := time.Now()
	_, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNotNil)
	c, err := w.dialer.Dial(t.Context(), b)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	w.c.Assert(c.(yuccarelay.Tunnel).Via(), qt.Equals, "e2")
	w.c.Assert(w.cutOff.Load(), qt.IsTrue)
	w.c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// TestLackOfCarrierIsToldFromDeadServer guards against servers that are taken for dead
// because no entry may carry one request, before the entry counts as cut off and after
// that, and against dead servers that are not.
func TestLackOfCarrierIsToldFromDeadServer(t *testing.T) {
	tests := []struct {
		name string
		// carriers are the regions of the other entries.
		carriers []string
		// regions are those that the request may pass.
		regions []string
		// cutOff is set if a request without regions has shown the partition before.
		cutOff, noCarrier bool
	}{
		{"only in another region", []string{"q"}, []string{"r"}, false, true},
		{"only in another region, cut off", []string{"q"}, []string{"r"}, true, true},
		{"no other entry", nil, []string{"r"}, false, false},
		{"any region", []string{"q"}, nil, true, false},
		{"one in the region", []string{"q", "r"}, []string{"r"}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
			for i, region := range test.carriers {
				w.addPeer(t, fmt.Sprint("e", i+2))
				w.peers[i].Region = region
			}
			a.Regions, b.Regions = test.regions, test.regions
			if test.cutOff {
				w.cut(a.WithoutRegions(), b.WithoutRegions())
			}
			w.c.Assert(w.dialer.CutOff(), qt.Equals, test.cutOff)
			w.cut(a)
			c, err := w.dialer.Dial(t.Context(), b)
			w.c.Assert(errors.Is(err, yuccarelay.ErrNoCarrier), qt.Equals, test.noCarrier, qt.Commentf("%v", err))
			w.c.Assert(err == nil, qt.Equals, test.cutOff && !test.noCarrier)
			if err == nil {
				w.c.Assert(b.AllowsCarrier(c.(yuccarelay.Tunnel).ViaRegion()), qt.IsTrue)
				_ = c.Close()
			}
		})
	}
}

// TestRequestWithoutCarrierUsesLinksThatAreBack guards against requests that are rejected
// until the next probe because no entry may carry them, although the links are back, and
// against callers who all wait while the links are down.
func TestRequestWithoutCarrierUsesLinksThatAreBack(t *testing.T) {
	const callers = 20
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	w.peers[0].Region = "q"
	w.cut(a, b)
	w.c.Assert(w.dialer.CutOff(), qt.IsTrue)
	homed := a
	homed.Regions = []string{"r"}
	w.linkDown.Store(false)
	c, err := w.dialer.Dial(t.Context(), homed)
	w.c.Assert(err, qt.IsNil)
	_, tunneled := c.(yuccarelay.Tunnel)
	w.c.Assert(tunneled, qt.IsFalse)
	_ = c.Close()

	w.hanging.Store(true)
	group := &errgroup.Group{}
	var waited atomic.Int64
	for range callers {
		group.Go(func() error {
			began := time.Now()
			_, err := w.dialer.Dial(t.Context(), homed)
			w.c.Check(errors.Is(err, yuccarelay.ErrNoCarrier), qt.IsTrue, qt.Commentf("%v", err))
			if time.Since(began) > 50*time.Millisecond {
				waited.Add(1)
			}
			return nil
		})
	}
	w.c.Assert(group.Wait(), qt.IsNil)
	w.c.Assert(waited.Load() <= 2, qt.IsTrue, qt.Commentf("%d of %d waited", waited.Load(), callers))
}

// TestDeadServersAreNotTakenForPartition stops two servers: no other entry reaches them
// either, so the entry goes on connecting directly.
func TestDeadServersAreNotTakenForPartition(t *testing.T) {
	w := newWorld(t)
	w.addPeer(t, "e2")
	alive := w.addServer(t, "alive", echo)
	for _, name := range []string{"x", "y", "z"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		w.c.Assert(err, qt.IsNil)
		dead := yuccarelay.Server{Name: name, Addr: l.Addr().String()}
		w.servers[name] = dead.Addr
		w.c.Assert(l.Close(), qt.IsNil)
		_, err = w.dialer.Dial(t.Context(), dead)
		w.c.Assert(err, qt.IsNotNil)
		w.c.Assert(w.dialer.Alive(t.Context(), dead), qt.IsFalse)
	}
	w.c.Assert(w.dialer.CutOff(), qt.IsFalse)
	c, err := w.dialer.Dial(t.Context(), alive)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	_, tunneled := c.(yuccarelay.Tunnel)
	w.c.Assert(tunneled, qt.IsFalse)
}

// TestOverloadIsNotTakenForPartition has several servers not accept the connections of an
// entry in time, as under load, while another entry gets through to them. Since one more
// server accepts them, the entry's links are not at fault.
func TestOverloadIsNotTakenForPartition(t *testing.T) {
	w := newWorld(t)
	w.addPeer(t, "e2")
	others := []yuccarelay.Server{w.addServer(t, "a", echo), w.addServer(t, "b", echo)}
	busy := []yuccarelay.Server{w.addServer(t, "x", echo), w.addServer(t, "y", echo)}
	for _, s := range others {
		c, err := w.dialer.Dial(t.Context(), s)
		w.c.Assert(err, qt.IsNil)
		defer c.Close()
	}
	w.refusing = map[string]bool{busy[0].Addr: true, busy[1].Addr: true}
	for range 3 {
		for _, s := range busy {
			_, err := w.dialer.Dial(t.Context(), s)
			w.c.Assert(errors.Is(err, errLinkDown), qt.IsTrue, qt.Commentf("%v", err))
			w.c.Assert(w.dialer.CutOff(), qt.IsFalse)
			w.c.Assert(w.dialer.Tunnels(), qt.Equals, uint64(0))
		}
	}
	w.linkDown.Store(true)
	w.cut(others...)
	w.c.Assert(w.dialer.CutOff(), qt.IsTrue)
}

// TestEntryReturnsToItsOwnLinks ends a partition: the entry soon connects directly, and
// uses neither the tunnels nor connections from before.
func TestEntryReturnsToItsOwnLinks(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	before, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer before.Close()
	beforeAt := time.Now()
	w.cut(a, b)
	tunnel, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer tunnel.Close()
	w.c.Assert(w.dialer.Usable(before, beforeAt), qt.IsFalse)

	w.c.Assert(w.dialer.Start(t.Context(), w.group), qt.IsNil)
	defer func() { _ = w.dialer.Stop(t.Context()) }()
	w.linkDown.Store(false)
	for end := time.Now().Add(5 * time.Second); w.cutOff.Load() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		continue
	}
	w.c.Assert(w.dialer.CutOff(), qt.IsFalse)
	w.c.Assert(w.dialer.Usable(before, beforeAt), qt.IsFalse)
	w.c.Assert(w.dialer.Usable(tunnel, time.Now()), qt.IsFalse)
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	w.c.Assert(w.dialer.Usable(c, time.Now()), qt.IsTrue)
}

// TestAnotherPeerIsAskedAfterDeadOne has the nearest entry be dead, and its address
// closed.
func TestAnotherPeerIsAskedAfterDeadOne(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.peers = append(w.peers, yuccatunnel.Peer{Name: "dead", Region: "r", Domain: "z1", Addr: "127.0.0.1:1"})
	w.addPeer(t, "e3")
	w.peers[1].Domain = "z2"
	w.cut(a, b)
	w.c.Assert(w.dialer.CutOff(), qt.IsTrue)
	c, err := w.dialer.Dial(t.Context(), b)
	w.c.Assert(err, qt.IsNil)
	defer c.Close()
	w.c.Assert(c.(yuccarelay.Tunnel).Via(), qt.Equals, "e3")
}

// TestTunnelEndsAsServerEnds checks that the end of a server's connection reaches the
// entry as what it is: a response without a length that is reset must not look
// complete.
func TestTunnelEndsAsServerEnds(t *testing.T) {
	tests := []struct {
		name   string
		handle func(*net.TCPConn)
		// clean is whether the bytes end without an error.
		clean bool
	}{
		{"closed", func(c *net.TCPConn) { _, _ = io.WriteString(c, "answer") }, true},
		{"reset", func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "answer")
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			a, b := w.addServer(t, "a", test.handle), w.addServer(t, "b", echo)
			w.addPeer(t, "e2")
			w.cut(a, b)
			c, err := w.dialer.Dial(t.Context(), a)
			w.c.Assert(err, qt.IsNil)
			defer c.Close()
			got, err := io.ReadAll(c)
			w.c.Assert(string(got), qt.Equals, "answer")
			w.c.Assert(err == nil, qt.Equals, test.clean, qt.Commentf("%v", err))
		})
	}
}

// TestResponseToUnreadRequest has a server respond and close its connection while the entry
// is still sending a request that the server does not read. It guards against a response that
// a tunnel loses because the server takes no more of the request, and against a part of one
// that looks complete (review report MIXED).
func TestResponseToUnreadRequest(t *testing.T) {
	tests := []struct {
		name   string
		rounds int
		// length is that of the response.
		length int
		// stays is how long the server stays after it, and readAfter how long the entry
		// takes before it reads.
		stays, readAfter time.Duration
		resets           bool
	}{
		{"closed at once", 100, 9, 0, 0, false},
		{"closed", 10, 9, 2 * time.Millisecond, 10 * time.Millisecond, false},
		{"reset", 10, 9, 2 * time.Millisecond, 10 * time.Millisecond, true},
		{"reset, read late", 5, 1 << 20, 50 * time.Millisecond, 150 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			answer := strings.Repeat("x", test.length)
			a := w.addServer(t, "a", func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 1000))
				_, _ = io.WriteString(c, answer)
				time.Sleep(test.stays)
				if test.resets {
					_ = c.SetLinger(0)
				}
			})
			b := w.addServer(t, "b", echo)
			w.addPeer(t, "e2")
			w.cut(a, b)
			for range test.rounds {
				c, err := w.dialer.Dial(t.Context(), a)
				w.c.Assert(err, qt.IsNil)
				sender := &errgroup.Group{}
				sender.Go(func() error {
					_, err := c.Write(make([]byte, 4<<20))
					return err
				})
				time.Sleep(test.readAfter)
				got, err := io.ReadAll(c)
				w.c.Assert(len(got), qt.Equals, len(answer), qt.Commentf("%v", err))
				w.c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
				_ = c.Close()
				_ = sender.Wait()
			}
		})
	}
}

// TestServerSeesCallerLeave closes the entry's side: the server's connection closes too,
// so that it stops its work.
func TestServerSeesCallerLeave(t *testing.T) {
	w := newWorld(t)
	left := make(chan struct{}, 8)
	wait := func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		left <- struct{}{}
	}
	a, b := w.addServer(t, "a", wait), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	w.cut(a, b)
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	_, err = io.WriteString(c, "request")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(c.Close(), qt.IsNil)
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		w.c.Fatal("the server's connection is still open")
	}
}

// TestTunnelLeadsToKnownServersOnly asks for a server that the other entry doesn't know.
func TestTunnelLeadsToKnownServersOnly(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	w.addPeer(t, "e2")
	w.cut(a, b)
	unknown := a
	unknown.Name = "unknown"
	_, err := w.dialer.Dial(t.Context(), unknown)
	w.c.Assert(err, qt.ErrorMatches, ".*no connection to the server: empty.*")
}

// TestStopWaitsForTunnels stops the entry that carries a tunnel: bytes under way still
// arrive, and no further tunnel is opened.
func TestStopWaitsForTunnels(t *testing.T) {
	w := newWorld(t)
	a, b := w.addServer(t, "a", echo), w.addServer(t, "b", echo)
	l := w.addPeer(t, "e2")
	w.cut(a, b)
	c, err := w.dialer.Dial(t.Context(), a)
	w.c.Assert(err, qt.IsNil)
	stopped := &errgroup.Group{}
	stopped.Go(func() error { return l.Stop(context.Background()) })
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, "late")
	w.c.Assert(err, qt.IsNil)
	got := make([]byte, 4)
	_, err = io.ReadFull(c, got)
	w.c.Assert(err, qt.IsNil)
	_, err = w.dialer.Dial(t.Context(), b)
	w.c.Assert(err, qt.IsNotNil)
	w.peers = nil
	w.c.Assert(w.dialer.Usable(c, time.Now()), qt.IsFalse, qt.Commentf("a tunnel through an entry that leaves is not used again"))
	w.c.Assert(c.Close(), qt.IsNil)
	w.c.Assert(stopped.Wait(), qt.IsNil)
}
