package yuccaadmission_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccafake"
)

// TestSlotExchangeMovesSlotsToRequests sends all requests to one of two
// entries, which borrows the slots of the other.
func TestSlotExchangeMovesSlotsToRequests(t *testing.T) {
	c := qt.New(t)
	net := yuccafake.NewNet()
	var group errgroup.Group
	env := newEnvironment(2, 2, 4)
	var pickers []*yuccaadmission.Picker
	for _, name := range env.entries {
		p := yuccaadmission.New(name)
		p.Update(env.plan, env.rules, env.view)
		s := yuccaadmission.NewSlotExchange(p, net.Bus(name), zerolog.Nop())
		c.Assert(s.Start(context.Background(), &group), qt.IsNil)
		defer func() { c.Check(s.Stop(context.Background()), qt.IsNil) }()
		pickers = append(pickers, p)
	}
	var tickets []yuccaadmission.Ticket
	for len(tickets) < 8 {
		ticket, err := pickers[0].Pick(yuccaadmission.Request{Now: time.Now(), Service: "s", From: "a"})
		if err == nil {
			tickets = append(tickets, ticket)
		}
	}
	c.Assert(perServer(tickets), qt.DeepEquals, map[string]int{"s0": 4, "s1": 4})
	_, err := pickers[1].Pick(yuccaadmission.Request{Now: time.Now(), Service: "s", From: "a"})
	c.Assert(err, qt.ErrorMatches, "shed: .*")
	for _, ticket := range tickets {
		pickers[0].Done(ticket, yuccaadmission.Result{Now: time.Now()})
	}
}

// TestUnansweredSlotMessagesAreLogged cuts off the entry that has the slots that another
// one needs.
func TestUnansweredSlotMessagesAreLogged(t *testing.T) {
	c := qt.New(t)
	net := yuccafake.NewNet()
	var group errgroup.Group
	env := newEnvironment(2, 2, 4)
	var log lockedBuffer
	var pickers []*yuccaadmission.Picker
	for _, name := range env.entries {
		p := yuccaadmission.New(name)
		p.Update(env.plan, env.rules, env.view)
		s := yuccaadmission.NewSlotExchange(p, net.Bus(name), zerolog.New(&log))
		c.Assert(s.Start(context.Background(), &group), qt.IsNil)
		defer func() { c.Check(s.Stop(context.Background()), qt.IsNil) }()
		pickers = append(pickers, p)
	}
	time.Sleep(2 * reportInterval)
	net.SetDisconnected(env.entries[1], true)
	for end := time.Now().Add(10 * time.Second); !log.contains("slot_message_unanswered"); {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no line"))
		_, _ = pickers[0].Pick(yuccaadmission.Request{Now: time.Now(), Service: "s", From: "a"})
	}
}

// reportInterval is the time between two slot reports of an entry.
const reportInterval = 200 * time.Millisecond

// lockedBuffer is a log that several goroutines write.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

func perServer(tickets []yuccaadmission.Ticket) map[string]int {
	n := map[string]int{}
	for _, t := range tickets {
		n[t.Server]++
	}
	return n
}
