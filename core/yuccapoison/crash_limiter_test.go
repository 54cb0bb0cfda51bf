package yuccapoison_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccapoison"
)

// fakeBus passes what one member publishes to all other members at once.
type fakeBus struct{ members []*busMember }

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
		if m != s {
			_, _ = m.handlers[topic](context.Background(), "other", body)
		}
	}
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
				entries[s.entry].End(7, "s", s.outcome)
				entries[s.entry].Close()
			}
			for _, e := range entries {
				c.Assert(yuccaerror.Is(e.Check(7), yuccaerror.Quarantined), qt.Equals, test.stopped)
				c.Assert(e.Check(8), qt.IsNil)
			}
		})
	}
}
