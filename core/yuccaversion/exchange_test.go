package yuccaversion_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccaversion"
)

// testEntry is an entry with an exchange.
type testEntry struct {
	*yuccaversion.Exchange
	// value is the config in force.
	value atomic.Pointer[[]byte]
}

// inForce returns the config in force, nil before the first.
func (e *testEntry) inForce() []byte {
	if value := e.value.Load(); value != nil {
		return *value
	}
	return nil
}

// config returns a config of a length whose first bytes are its version.
func config(version uint64, length int) []byte {
	return append(binary.BigEndian.AppendUint64(nil, version), bytes.Repeat([]byte{byte(version)}, length)...)
}

func (e *testEntry) decode(value []byte) (yuccaversion.Candidate, error) {
	if len(value) < 8 {
		return yuccaversion.Candidate{}, fmt.Errorf("%d bytes", len(value))
	}
	return yuccaversion.Candidate{Version: binary.BigEndian.Uint64(value), Source: accounts, Value: value, Apply: func() error {
		e.value.Store(&value)
		return nil
	}}, nil
}

// propose proposes a config as if it had been read from the platform.
func (e *testEntry) propose(c *qt.C, value []byte) {
	candidate, err := e.decode(value)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Propose(candidate), qt.IsNil)
}

// testFleet is a number of entries, e0 and so on, whose announcements the test passes on.
type testFleet struct {
	c       *qt.C
	net     *yuccafake.Net
	group   errgroup.Group
	entries []*testEntry
}

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{c: qt.New(t), net: yuccafake.NewNet(), entries: make([]*testEntry, n)}
	for i := range n {
		f.start(t, i)
	}
	return f
}

// start starts an entry, or a new process of one that has stopped.
func (f *testFleet) start(t *testing.T, i int) {
	name := fmt.Sprint("e", i)
	e := &testEntry{}
	e.Exchange = yuccaversion.New(name, f.net.Bus(name), e.decode, zerolog.Nop())
	f.c.Assert(e.Start(t.Context(), &f.group), qt.IsNil)
	f.entries[i] = e
}

// pass lets the time d pass, in which all entries announce their versions.
func (f *testFleet) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, from := range f.entries {
			for j, to := range f.entries {
				if i != j {
					to.Observe(fmt.Sprint("e", i), from.InForce())
				}
			}
		}
	}
}

func (f *testFleet) stop() {
	for _, e := range f.entries {
		f.c.Assert(e.Stop(context.Background()), qt.IsNil)
	}
	f.c.Assert(f.group.Wait(), qt.IsNil)
	f.net.Wait()
}

// TestRestartedEntryTakesNoOlderConfig restarts an entry whose platform has an older config
// than the others have in force. It guards against a revoked key that is valid again, and
// against a long config that does not get through.
func TestRestartedEntryTakesNoOlderConfig(t *testing.T) {
	for _, length := range []int{0, 300_000, 5 << 20} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 3)
				old, latest := config(3, 9), config(5, length)
				f.entries[0].propose(f.c, latest)
				f.pass(2 * time.Second)
				f.entries[0].propose(f.c, old)
				f.pass(2 * time.Second)
				for _, e := range f.entries {
					f.c.Assert(bytes.Equal(e.inForce(), latest), qt.IsTrue)
				}
				f.c.Assert(f.entries[1].Stop(context.Background()), qt.IsNil)
				f.start(t, 1)
				f.entries[1].propose(f.c, old)
				f.c.Assert(f.entries[1].inForce(), qt.IsNil)
				for range 20 {
					f.pass(100 * time.Millisecond)
					f.c.Assert(bytes.Equal(f.entries[1].inForce(), old), qt.IsFalse)
				}
				f.c.Assert(bytes.Equal(f.entries[1].inForce(), latest), qt.IsTrue)
				f.stop()
			})
		})
	}
}

// TestLongConfigIsAnnouncedAtOnce has an entry get a long config while no heartbeats come.
// It guards against entries that go on with the version before for the time between two
// heartbeats.
func TestLongConfigIsAnnouncedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.entries[0].UpdateList(nil)
		f.entries[1].UpdateList([]string{"e0"})
		f.entries[0].propose(f.c, config(5, 100_000))
		time.Sleep(400 * time.Millisecond)
		f.c.Assert(f.entries[1].InForce(), qt.Equals, uint64(5))
		f.stop()
	})
}

// TestAllEntriesRestart has all entries restart with a platform that has an older config.
// It guards against entries that wait for a version that nobody has any more.
func TestAllEntriesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		for _, e := range f.entries {
			e.UpdateList([]string{"e0", "e1", "e2"})
			e.propose(f.c, config(3, 0))
		}
		f.pass(2 * time.Second)
		for _, e := range f.entries {
			f.c.Assert(e.InForce(), qt.Equals, uint64(3))
		}
		f.stop()
	})
}

// TestUnusableAnnouncement has an entry announce a version whose config it does not have.
// It guards against entries that never start again because of it.
func TestUnusableAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.entries[0].propose(f.c, config(3, 0))
		for range 150 {
			f.entries[0].Observe("e1", 1<<63)
			time.Sleep(100 * time.Millisecond)
		}
		f.c.Assert(f.entries[0].InForce(), qt.Equals, uint64(3))
		f.stop()
	})
}

// FuzzFetchRequest decodes requests from other entries. It guards against a request that
// ends the process or gets more than the config.
func FuzzFetchRequest(f *testing.F) {
	for _, r := range []*yuccaversion.FetchRequest{{}, {Version: 3}, {Version: 3, Offset: 7}, {Version: 3, Offset: 1 << 63}} {
		body, err := proto.Marshal(r)
		qt.Assert(f, err, qt.IsNil)
		f.Add(body)
	}
	net := yuccafake.NewNet()
	e := &testEntry{}
	e.Exchange = yuccaversion.New("e0", net.Bus("e0"), e.decode, zerolog.Nop())
	e.UpdateList(nil)
	e.propose(qt.New(f), config(3, 9))
	bus := net.Bus("e1")
	f.Fuzz(func(t *testing.T, body []byte) {
		reply, err := bus.Call(t.Context(), "e0", "config.fetch", body)
		var r yuccaversion.FetchReply
		if err == nil {
			qt.Assert(t, proto.Unmarshal(reply, &r), qt.IsNil)
			qt.Assert(t, bytes.HasSuffix(e.inForce(), r.GetPart()) && int(r.GetSize()) == len(e.inForce()), qt.IsTrue)
		}
	})
}
