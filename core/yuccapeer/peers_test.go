package yuccapeer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccastore"
)

// droppedPeerLog is a log writer that sends the lines of the event peer_dropped
// to its channel.
type droppedPeerLog chan string

func (l droppedPeerLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "peer_dropped") {
		l <- string(line)
	}
	return len(line), nil
}

// cluster is a number of entries with one bus each.
type cluster struct {
	peers map[string]*yuccapeer.Peers
	list  []yuccastore.Instance
	group errgroup.Group
	lines droppedPeerLog
}

// newCluster creates one bus for each name. The first letter of a name is its
// failure domain.
func newCluster(names ...string) *cluster {
	f := &cluster{peers: map[string]*yuccapeer.Peers{}, lines: make(droppedPeerLog, 100)}
	for i, name := range names {
		f.peers[name] = yuccapeer.New(yuccapeer.Settings{
			Name: name, Domain: name[:1], Addr: "127.0.0.1:0", Incarnation: uint64(i + 1), HeartbeatInterval: 500 * time.Millisecond,
		}, zerolog.New(f.lines))
	}
	return f
}

func (f *cluster) start(t *testing.T) {
	for name, p := range f.peers {
		qt.Assert(t, p.Start(context.Background(), &f.group), qt.IsNil)
		f.list = append(f.list, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Domain: name[:1], Peer: p.Addr()})
	}
	t.Cleanup(func() {
		for _, p := range f.peers {
			_ = p.Stop(context.Background())
		}
		_ = f.group.Wait()
	})
}

func (f *cluster) update() {
	for _, p := range f.peers {
		p.Update(f.list)
	}
}

func (f *cluster) await(t *testing.T, from string, to ...string) {
	for _, name := range to {
		qt.Assert(t, f.peers[from].Await(t.Context(), name), qt.IsNil, qt.Commentf("%s to %s", from, name))
	}
}

func TestCall(t *testing.T) {
	f := newCluster("a1", "a2")
	blocked := make(chan struct{})
	f.peers["a2"].Handle("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	f.peers["a2"].Handle("conflict", func(context.Context, string, []byte) ([]byte, error) {
		return nil, yuccaerror.New(yuccaerror.WriteConflict, "x")
	})
	f.peers["a2"].Handle("blocked", func(context.Context, string, []byte) ([]byte, error) {
		<-blocked
		return nil, nil
	})
	f.start(t)
	t.Cleanup(func() { close(blocked) })
	f.update()
	tests := []struct {
		name, to, topic string
		size            int
		want            yuccaerror.Kind
		reply           string
	}{
		{"answered", "a2", "echo", 1, yuccaerror.None, "a1:x"},
		{"largest", "a2", "echo", yuccapeer.MaxBodyBytes - 3, yuccaerror.None, ""},
		{"too large", "a2", "echo", yuccapeer.MaxBodyBytes + 1, yuccaerror.TooLarge, ""},
		{"reply too large", "a2", "echo", yuccapeer.MaxBodyBytes, yuccaerror.TooLarge, ""},
		{"error kind of the handler", "a2", "conflict", 1, yuccaerror.WriteConflict, ""},
		{"unknown topic", "a2", "other", 1, yuccaerror.Protocol, ""},
		{"unknown entry", "a3", "echo", 1, yuccaerror.Unreachable, ""},
		{"no reply", "a2", "blocked", 1, yuccaerror.ConnectionLost, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			reply, err := f.peers["a1"].Call(ctx, test.to, test.topic, []byte(strings.Repeat("x", test.size)))
			qt.Assert(t, yuccaerror.KindOf(err), qt.Equals, test.want, qt.Commentf("%v", err))
			if test.reply != "" {
				qt.Assert(t, string(reply), qt.Equals, test.reply)
			}
		})
	}
}

// TestPublishReachesEveryDomainOnce has domains with more members than
// gateways, so that messages must be forwarded.
func TestPublishReachesEveryDomainOnce(t *testing.T) {
	names := []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4", "c1"}
	f := newCluster(names...)
	got := make(chan string, 1000)
	for name, p := range f.peers {
		p.Handle("update", func(_ context.Context, from string, body []byte) ([]byte, error) {
			got <- fmt.Sprintf("%s %s from %s", name, body, from)
			return nil, nil
		})
	}
	f.start(t)
	f.update()
	gateways := map[string][]string{}
	for _, d := range []string{"a", "b", "c"} {
		var members []string
		for _, name := range names {
			if name[:1] == d {
				members = append(members, name)
			}
		}
		gateways[d] = yuccapeer.RendezvousTop("summarizer "+d, members, yuccapeer.GatewaysPerDomain)
		for _, from := range members {
			for _, to := range members {
				if from != to {
					f.await(t, from, to)
				}
			}
		}
	}
	for d, from := range gateways {
		for e, to := range gateways {
			for _, x := range from {
				for _, y := range to {
					if d != e {
						f.await(t, x, y)
					}
				}
			}
		}
	}
	for _, from := range names {
		f.peers[from].Publish("update", []byte("first"))
		f.peers[from].Publish("update", []byte("second"))
	}
	count := map[string]int{}
	for range 2 * len(names) * (len(names) - 1) {
		line := <-got
		count[line]++
		qt.Assert(t, count[line], qt.Equals, 1, qt.Commentf("%s", line))
	}
}

// TestEntryThatIsNotListedYetGetsMessages has an entry join whose name is not in the
// lists of the others yet: it gets what they publish as soon as it is connected.
func TestEntryThatIsNotListedYetGetsMessages(t *testing.T) {
	tests := []struct {
		name  string
		old   []string
		joins string
	}{
		{"another domain", []string{"b1", "b2", "b3"}, "a1"},
		{"the same domain", []string{"b2", "b3", "b4"}, "b1"},
		{"another domain and a higher name", []string{"b1", "b2", "b3"}, "c1"},
		{"the same domain and a higher name", []string{"b1", "b2", "b3"}, "b4"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newCluster(append(test.old, test.joins)...)
			got := make(chan string, 1000)
			f.peers[test.joins].Handle("update", func(_ context.Context, from string, _ []byte) ([]byte, error) {
				got <- from
				return nil, nil
			})
			f.start(t)
			var listed []yuccastore.Instance
			for _, e := range f.list {
				if e.Name != test.joins {
					listed = append(listed, e)
				}
			}
			for _, name := range test.old {
				f.peers[name].Update(listed)
			}
			f.peers[test.joins].Update(f.list)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			for _, name := range test.old {
				for heard := false; !heard; {
					f.peers[name].Publish("update", nil)
					select {
					case from := <-got:
						heard = from == name
					case <-time.After(10 * time.Millisecond):
						qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("messages of %s do not arrive", name))
					}
				}
			}
		})
	}
}

// TestUnlistedEntryIsDialedAfterRestart restarts an entry that knows no peers, as while
// the store is unavailable. The other entry's list does not name it yet: without the
// address from the earlier session neither would ever dial the other.
func TestUnlistedEntryIsDialedAfterRestart(t *testing.T) {
	for _, name := range []string{"a1", "a3", "b1"} {
		t.Run(name, func(t *testing.T) {
			f := newCluster("a2", name)
			f.start(t)
			f.peers[name].Update(f.list)
			f.await(t, "a2", name)
			addr := f.peers[name].Addr()
			qt.Assert(t, f.peers[name].Stop(context.Background()), qt.IsNil)
			<-f.peers[name].Done()
			again := yuccapeer.New(yuccapeer.Settings{Name: name, Domain: name[:1], Addr: addr, Incarnation: 10}, zerolog.Nop())
			qt.Assert(t, again.Start(context.Background(), &f.group), qt.IsNil)
			t.Cleanup(func() { _ = again.Stop(context.Background()) })
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			qt.Assert(t, again.Await(ctx, "a2"), qt.IsNil)
		})
	}
}

// TestUnlistedEntryIsForgotten checks that an entry which the list has named once is
// not dialed after it has left the list.
func TestUnlistedEntryIsForgotten(t *testing.T) {
	f := newCluster("a1", "a2")
	f.start(t)
	f.peers["a2"].Update(f.list)
	f.await(t, "a1", "a2")
	qt.Assert(t, f.peers["a1"].Remembers("a2"), qt.IsTrue)
	f.update()
	f.peers["a1"].Update(nil)
	qt.Assert(t, f.peers["a1"].Remembers("a2"), qt.IsFalse)
}

// TestInvalidInputEndsOnlyItsConnection sends bytes that violate the protocol.
// Their connections are closed and logged; the session between the entries goes
// on.
func TestInvalidInputEndsOnlyItsConnection(t *testing.T) {
	f := newCluster("a1", "a2")
	f.peers["a2"].Handle("echo", func(_ context.Context, _ string, body []byte) ([]byte, error) { return body, nil })
	f.start(t)
	f.update()
	f.await(t, "a1", "a2")
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\x00\xff", 4096), strings.Repeat("\x00", 64)} {
		conn, err := net.Dial("tcp", f.peers["a2"].Addr())
		qt.Assert(t, err, qt.IsNil)
		_, _ = conn.Write([]byte(text))
		_, err = conn.Read(make([]byte, 1))
		for err == nil {
			_, err = conn.Read(make([]byte, 1))
		}
		_ = conn.Close()
		<-f.lines
	}
	reply, err := f.peers["a1"].Call(t.Context(), "a2", "echo", []byte("x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(reply), qt.Equals, "x")
	qt.Assert(t, len(f.lines), qt.Equals, 0)
}

// TestSilentConnectionIsReplaced lets existing connections lose all data
// without being closed, while new connections work. The entries must detect it
// and connect again.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newCluster("a1", "a2")
	got := make(chan string, 1000)
	f.peers["a2"].Handle("update", func(_ context.Context, _ string, body []byte) ([]byte, error) {
		got <- string(body)
		return nil, nil
	})
	f.start(t)
	link := yuccafake.NewTCPProxy("127.0.0.1:0", f.peers["a2"].Addr(), yuccafake.LinkConditions{})
	qt.Assert(t, link.Start(), qt.IsNil)
	t.Cleanup(link.Close)
	for i := range f.list {
		if f.list[i].Name == "a2" {
			f.list[i].Peer = link.Addr()
		}
	}
	f.update()
	f.await(t, "a1", "a2")
	link.SetConditions(yuccafake.LinkConditions{BlackholeAfter: time.Nanosecond})
	for len(f.peers["a1"].Connected()) > 0 {
		time.Sleep(time.Millisecond)
	}
	link.SetConditions(yuccafake.LinkConditions{})
	f.await(t, "a1", "a2")
	for {
		f.peers["a1"].Publish("update", []byte("x"))
		select {
		case <-got:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestUnreachablePeersAreLoggedOnce runs an entry with six peers that never
// answer, for a time shorter than failureTTL. A peer that was forgotten too
// early would be logged again.
func TestUnreachablePeersAreLoggedOnce(t *testing.T) {
	c := qt.New(t)
	lines := make(chan struct{}, 10_000)
	log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
		if message == "peer_unreachable" {
			lines <- struct{}{}
		}
	}))
	p := yuccapeer.New(yuccapeer.Settings{Name: "e1", Domain: "d1", Addr: "127.0.0.1:0", Incarnation: 1}, log)
	var all []yuccastore.Instance
	for i := range 7 {
		name := fmt.Sprint("e", i+1)
		all = append(all, yuccastore.Instance{Name: name, Kind: yuccastore.KindEntry, Domain: fmt.Sprint("d", i+1), Peer: "127.0.0.1:1"})
	}
	group := &errgroup.Group{}
	c.Assert(p.Start(context.Background(), group), qt.IsNil)
	p.Update(all)
	time.Sleep(3 * time.Second)
	c.Assert(p.Stop(context.Background()), qt.IsNil)
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(len(lines) <= 6, qt.IsTrue, qt.Commentf("%d log lines about 6 unreachable peers, want at most 6", len(lines)))
}
