package yuccaadmission_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
		s := yuccaadmission.NewSlotExchange(p, net.Bus(name))
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

func perServer(tickets []yuccaadmission.Ticket) map[string]int {
	n := map[string]int{}
	for _, t := range tickets {
		n[t.Server]++
	}
	return n
}
