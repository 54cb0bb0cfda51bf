package yuccapoison_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccapoison"
)

// fakeBus passes what one member publishes to all other members at once.
type fakeBus struct {
	members []*busMember
	// cut is set while no entry is connected.
	cut bool
}

// busMember is one member's connection to the bus.
type busMember struct {
	bus      *fakeBus
	handlers map[string]yuccapeer.Handler
}

func (p *fakeBus) connect() *busMember {
	s := &busMember{p, map[string]yuccapeer.Handler{}}
	p.members = append(p.members, s)
	return s
}

func (s *busMember) Handle(topic string, h yuccapeer.Handler) { s.handlers[topic] = h }

func (s *busMember) Publish(topic string, body []byte) {
	for _, m := range s.bus.members {
		if m != s && !s.bus.cut {
			_, _ = m.handlers[topic](context.Background(), "other", body)
		}
	}
}

func (s *busMember) Connected() []string {
	var names []string
	for i, m := range s.bus.members {
		if m != s && !s.bus.cut {
			names = append(names, fmt.Sprint(i))
		}
	}
	return names
}

func (s *busMember) Call(ctx context.Context, to, topic string, body []byte) ([]byte, error) {
	i, err := strconv.Atoi(to)
	if err != nil {
		return nil, err
	}
	return s.bus.members[i].handlers[topic](ctx, "other", body)
}

// TestCrashLimiterAcrossEntries crashes servers with one fingerprint at
// several entries and checks whether all entries stop it.
func TestCrashLimiterAcrossEntries(t *testing.T) {
	type step struct {
		entry   int
		outcome yuccapoison.Outcome
	}
	dead := func(string) bool { return false }
	alive := func(string) bool { return true }
	const broken, answered, unproven = yuccapoison.Broken, yuccapoison.Answered, yuccapoison.Unproven
	tests := []struct {
		name    string
		alive   func(string) bool
		steps   []step
		stopped bool
	}{
		{"three deaths at one entry", dead, []step{{0, broken}, {0, broken}, {0, broken}}, true},
		{"three deaths at three entries", dead, []step{{0, broken}, {1, broken}, {2, broken}}, true},
		{"two deaths", dead, []step{{0, broken}, {1, broken}}, false},
		{"answered after two deaths", dead, []step{{0, broken}, {1, broken}, {2, answered}, {0, broken}}, false},
		{"nothing proven between the deaths", dead, []step{{0, broken}, {1, broken}, {2, unproven}, {0, broken}}, true},
		{"connections break, servers stay alive", alive, []step{{0, broken}, {1, broken}, {2, broken}, {0, broken}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := &fakeBus{}
			var entries []*yuccapoison.CrashLimiter
			for range 3 {
				entries = append(entries, yuccapoison.NewCrashLimiter(p.connect(), test.alive, zerolog.Nop()))
			}
			for _, s := range test.steps {
				entries[s.entry].Start(7, "s")
				entries[s.entry].End(yuccapoison.Run{Fingerprint: 7, Server: "s", Started: time.Now()}, s.outcome)
				entries[s.entry].Close()
			}
			for _, e := range entries {
				c.Assert(yuccaerror.Is(e.Check(7), yuccaerror.Quarantined), qt.Equals, test.stopped)
				c.Assert(e.Check(8), qt.IsNil)
			}
		})
	}
}

// TestAlikeRequestsOfOneDeath has servers die while entries have several alike requests at
// them. It guards against requests that are stopped everywhere after the crash of one server,
// and against crashes of one server in a row that count once.
func TestAlikeRequestsOfOneDeath(t *testing.T) {
	type step struct {
		entry  int
		server string
		// started and ended are when the attempt starts and breaks off.
		started, ended time.Duration
	}
	const ms = time.Millisecond
	tests := []struct {
		name    string
		steps   []step
		stopped bool
	}{
		{"one death, one entry", []step{{0, "a", 0, 100 * ms}, {0, "a", 20 * ms, 101 * ms}, {0, "a", 90 * ms, 110 * ms}}, false},
		{"one death, three entries", []step{{0, "a", 0, 100 * ms}, {1, "a", 50 * ms, 105 * ms}, {2, "a", 90 * ms, 102 * ms}}, false},
		{"two deaths with two requests each", []step{{0, "a", 0, 100 * ms}, {1, "a", 0, 100 * ms}, {0, "b", 0, 100 * ms}, {1, "b", 0, 100 * ms}}, false},
		{"three servers", []step{{0, "a", 0, 100 * ms}, {1, "b", 0, 100 * ms}, {2, "c", 0, 100 * ms}}, true},
		{"three lives of a server", []step{{0, "a", 0, 10 * ms}, {1, "a", 50 * ms, 60 * ms}, {2, "a", 100 * ms, 110 * ms}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &fakeBus{}
			var entries []*yuccapoison.CrashLimiter
			for range 3 {
				entries = append(entries, yuccapoison.NewCrashLimiter(p.connect(), func(string) bool { return false }, zerolog.Nop()))
			}
			begin := time.Now()
			for _, s := range test.steps {
				time.Sleep(time.Until(begin.Add(s.ended)))
				entries[s.entry].End(yuccapoison.Run{Fingerprint: 7, Server: s.server, Started: begin.Add(s.started)}, yuccapoison.Broken)
				entries[s.entry].Close()
			}
			for _, e := range entries {
				qt.Assert(t, yuccaerror.Is(e.Check(7), yuccaerror.Quarantined), qt.Equals, test.stopped)
			}
		})
	}
}

// TestNewEntryLearnsWhatIsStopped guards against an entry that starts, or that was cut off, and
// lets a request crash servers again that the others have stopped.
func TestNewEntryLearnsWhatIsStopped(t *testing.T) {
	const wait = 5 * time.Second
	c := qt.New(t)
	p := &fakeBus{}
	dead := func(string) bool { return false }
	add := func() *yuccapoison.CrashLimiter { return yuccapoison.NewCrashLimiter(p.connect(), dead, zerolog.Nop()) }
	first, cutOff := add(), add()
	p.cut = true
	for i := range 3 {
		first.End(yuccapoison.Run{Fingerprint: 7, Server: fmt.Sprint(i), Started: time.Now()}, yuccapoison.Broken)
		first.Close()
	}
	first.End(yuccapoison.Run{Fingerprint: 8, Server: "x", Started: time.Now()}, yuccapoison.Broken)
	first.Close()
	c.Assert(cutOff.Check(7), qt.IsNil)
	p.cut = false
	ctx, cancel := context.WithCancel(t.Context())
	group := &errgroup.Group{}
	for _, e := range []*yuccapoison.CrashLimiter{cutOff, add()} {
		c.Assert(e.Learner().Start(ctx, group), qt.IsNil)
		for end := time.Now().Add(wait); e.Check(7) == nil && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		c.Assert(yuccaerror.Is(e.Check(7), yuccaerror.Quarantined), qt.IsTrue)
		c.Assert(e.Check(8), qt.IsNil)
	}
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
}
