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

// party hands what one member publishes to all others at once.
type party struct{ members []*seatAt }

// seatAt is one member's place at a party.
type seatAt struct {
	party    *party
	handlers map[string]yuccapeer.Handler
}

func (p *party) join() *seatAt {
	s := &seatAt{p, map[string]yuccapeer.Handler{}}
	p.members = append(p.members, s)
	return s
}

func (s *seatAt) Handle(topic string, h yuccapeer.Handler) { s.handlers[topic] = h }

func (s *seatAt) Publish(topic string, body []byte) {
	for _, m := range s.party.members {
		if m != s {
			_, _ = m.handlers[topic](context.Background(), "other", body)
		}
	}
}

// TestStrikesStopAKillerEverywhere sends a request that kills servers to one
// entry after the other.
func TestStrikesStopAKillerEverywhere(t *testing.T) {
	type step struct {
		entry int
		died  bool
	}
	dead := func(string) bool { return false }
	alive := func(string) bool { return true }
	tests := []struct {
		name    string
		alive   func(string) bool
		steps   []step
		stopped bool
	}{
		{"three deaths at one entry", dead, []step{{0, true}, {0, true}, {0, true}}, true},
		{"three deaths at three entries", dead, []step{{0, true}, {1, true}, {2, true}}, true},
		{"two deaths", dead, []step{{0, true}, {1, true}}, false},
		{"answered between", dead, []step{{0, true}, {1, true}, {2, false}, {0, true}}, false},
		{"connections break, servers live", alive, []step{{0, true}, {1, true}, {2, true}, {0, true}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := &party{}
			var entries []*yuccapoison.CrashLimiter
			for range 3 {
				entries = append(entries, yuccapoison.NewCrashLimiter(p.join(), test.alive, zerolog.Nop()))
			}
			for _, s := range test.steps {
				entries[s.entry].Start(7, "s")
				entries[s.entry].End(7, "s", s.died)
				entries[s.entry].Close()
			}
			for _, e := range entries {
				c.Assert(yuccaerror.Is(e.Check(7), yuccaerror.Poison), qt.Equals, test.stopped)
				c.Assert(e.Check(8), qt.IsNil)
			}
		})
	}
}
