package yuccapeer

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
)

// laterEntry is an entry of a later build: it replies to each call with an error kind
// that this build does not know.
type laterEntry struct{}

func (laterEntry) handlePublished(*Frame) {}

func (laterEntry) handleRequest(context.Context, *session, *Frame) *Frame {
	return withUnknown(&Frame{Kind: "from a later build"}).(*Frame)
}

func (laterEntry) heartbeatInterval() time.Duration { return time.Second }

// withUnknown adds a field that this build does not know.
func withUnknown(m proto.Message) proto.Message {
	m.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 9999, protowire.VarintType), 1))
	return m
}

// TestQueuedFramesAreJoined guards against a frame that is sent to several peers and gets what
// is queued for one of them, and against writes without a bound.
func TestQueuedFramesAreJoined(t *testing.T) {
	c := qt.New(t)
	shared := append(make([]byte, 0, 64), "shared,"...)
	a, b := &session{sendQueue: make(chan []byte, 100)}, &session{sendQueue: make(chan []byte, 100)}
	a.sendQueue <- []byte("one,")
	a.sendQueue <- []byte("two")
	b.sendQueue <- []byte("three")
	joinedA, joinedB := a.withQueued(shared), b.withQueued(shared)
	c.Assert(string(joinedA), qt.Equals, "shared,one,two")
	c.Assert(string(joinedB), qt.Equals, "shared,three")
	for range 100 {
		a.sendQueue <- make([]byte, maxWriteBytes/10)
	}
	c.Assert(len(a.withQueued(shared)) < 2*maxWriteBytes, qt.IsTrue)
}

// TestUnknownContentKeepsSession connects an entry of a later build, which sends topics,
// fields, kinds and ways of forwarding that this build does not know. It guards against
// sessions that end, or are opened again and again, while two builds run side by side.
func TestUnknownContentKeepsSession(t *testing.T) {
	c := qt.New(t)
	p := New(Settings{Name: "a1", Domain: "a", Addr: "127.0.0.1:0", Incarnation: 1}, zerolog.Nop())
	published := make(chan string, 10)
	p.Handle("known", func(_ context.Context, _ string, body []byte) ([]byte, error) {
		published <- string(body)
		return body, nil
	})
	// A handler's error, as for a body that it cannot decode, ends no session either.
	p.Handle("undecodable", func(context.Context, string, []byte) ([]byte, error) {
		return nil, yuccaerror.New(yuccaerror.Protocol, "cannot decode")
	})
	// Nor does a bug in a handler.
	p.Handle("panicking", func(context.Context, string, []byte) ([]byte, error) { panic("bug") })
	group := &errgroup.Group{}
	c.Assert(p.Start(context.Background(), group), qt.IsNil)
	defer func() {
		_ = p.Stop(context.Background())
		c.Check(group.Wait(), qt.IsNil)
	}()
	conn, err := net.Dial("tcp", p.Addr())
	c.Assert(err, qt.IsNil)
	hello := withUnknown(&Hello{Lowest: 1, Highest: 99, Name: "a2", Domain: "a", Incarnation: 1}).(*Hello)
	s, err := dialSession(conn, hello)
	c.Assert(err, qt.IsNil)
	group.Go(func() error {
		_ = s.run(t.Context(), laterEntry{})
		return nil
	})
	defer s.close()
	c.Assert(p.Await(t.Context(), "a2"), qt.IsNil)

	frames := []*Frame{
		{Topic: "from a later build", Body: []byte("x")},
		{Topic: "undecodable", Body: []byte("x")},
		{Topic: "panicking", Body: []byte("x")},
		{Topic: "known", Body: []byte("1"), Forward: Forward(99)},
		{Kind: "from a later build"},
		{Topic: "known", Body: []byte("2")},
	}
	for i, f := range frames {
		f.Origin, f.Incarnation, f.Seq = "a2", 1, uint64(i+1)
		s.sendQueue <- encodeFrame(withUnknown(f).(*Frame))
	}
	c.Assert(<-published, qt.Equals, "1")
	c.Assert(<-published, qt.Equals, "2")
	for _, topic := range []string{"from a later build", "undecodable"} {
		_, err = s.call(t.Context(), &Frame{Topic: topic, Origin: "a2"})
		c.Assert(yuccaerror.Is(err, yuccaerror.Protocol), qt.IsTrue, qt.Commentf("%v", err))
	}
	_, err = p.Call(t.Context(), "a2", "known", nil)
	c.Assert(yuccaerror.Is(err, yuccaerror.Protocol), qt.IsTrue, qt.Commentf("%v", err))
	reply, err := s.call(t.Context(), &Frame{Topic: "known", Origin: "a2", Body: []byte("3")})
	c.Assert(err, qt.IsNil)
	c.Assert(string(reply), qt.Equals, "3")
	select {
	case <-s.done:
		c.Fatal("the session has ended")
	default:
	}
	c.Assert(p.Connected(), qt.DeepEquals, []string{"a2"})
}
