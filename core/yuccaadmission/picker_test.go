package yuccaadmission_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

const rules = `region a domains=a1 # t
service s host=s regions=a # t
`

func setup(c *qt.C, extra string) (*yuccaadmission.Picker, func(yuccastore.Instance)) {
	r, faults := yuccarule.Parse("rules", []byte(rules+extra))
	c.Assert(faults, qt.HasLen, 0)
	list := []yuccastore.Instance{
		{Name: "e1", Kind: yuccastore.KindEntry, Region: "a"},
		{Name: "s1", Kind: yuccastore.KindServer, Region: "a", Addr: "10.0.0.1:80", Slots: 2, Services: []string{"s"}},
		{Name: "s2", Kind: yuccastore.KindServer, Region: "a", Addr: "10.0.0.2:80", Slots: 2, Services: []string{"s"}},
	}
	p := yuccaadmission.New("e1")
	update := func(changed yuccastore.Instance) {
		list = append(list, changed)
		view := yuccamembership.NewView(list)
		p.Update(yuccaplan.Make(yuccaplan.Input{Rules: r, View: view}), r, view)
	}
	update(yuccastore.Instance{Name: "e1", Kind: yuccastore.KindEntry, Region: "a"})
	return p, update
}

func TestPickStaysInsideSlots(t *testing.T) {
	c := qt.New(t)
	p, _ := setup(c, "")
	inFlight := map[string]int{}
	var tickets []yuccaadmission.Ticket
	for range 4 {
		ticket, err := p.Pick(yuccaadmission.Request{Service: "s", From: "a"})
		c.Assert(err, qt.IsNil)
		inFlight[ticket.Server]++
		tickets = append(tickets, ticket)
	}
	c.Assert(inFlight, qt.DeepEquals, map[string]int{"s1": 2, "s2": 2})
	_, err := p.Pick(yuccaadmission.Request{Service: "s", From: "a"})
	c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.Shed)
	p.Done(tickets[0], yuccaadmission.Result{})
	ticket, err := p.Pick(yuccaadmission.Request{Service: "s", From: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(ticket.Server, qt.Equals, tickets[0].Server)
}

func TestPickAvoidsLeavingServers(t *testing.T) {
	tests := []struct {
		name  string
		rules string
		leave bool
	}{
		{"server marked as leaving", "", true},
		{"drain rule", "drain server 10.0.0.1:80 # t", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p, update := setup(c, test.rules)
			if test.leave {
				update(yuccastore.Instance{Name: "s1", Kind: yuccastore.KindServer, Region: "a", Slots: 2, Services: []string{"s"}, Leaving: true})
			}
			for range 2 {
				ticket, err := p.Pick(yuccaadmission.Request{Service: "s", From: "a"})
				c.Assert(err, qt.IsNil)
				c.Assert(ticket.Server, qt.Equals, "s2")
			}
			_, err := p.Pick(yuccaadmission.Request{Service: "s", From: "a"})
			c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.Shed)
		})
	}
}

func TestPickUnknown(t *testing.T) {
	c := qt.New(t)
	p, _ := setup(c, "")
	_, err := p.Pick(yuccaadmission.Request{Service: "t", From: "a"})
	c.Assert(yuccaerror.KindOf(err), qt.Equals, yuccaerror.UnknownService)
}
