package yuccaadmission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

var start = time.Unix(1_800_000_000, 0)

// fleet is some cores and what is in flight, with messages between them that
// are late, lost or doubled as drawn.
type fleet struct {
	world
	now     time.Time
	cores   []*yuccaadmission.Core
	tickets map[int][]yuccaadmission.Ticket
	busy    map[string]int
	mail    []func()
}

func newFleet(w world) *fleet {
	f := &fleet{world: w, now: start, tickets: map[int][]yuccaadmission.Ticket{}, busy: map[string]int{}}
	for i, name := range w.entries {
		c := yuccaadmission.NewCore(name, uint64(i+1))
		c.Update(w.plan, w.rules, w.view)
		f.cores = append(f.cores, c)
	}
	return f
}

func (f *fleet) took(e int, t yuccaadmission.Ticket) {
	f.tickets[e] = append(f.tickets[e], t)
	f.busy[t.Server]++
}

func (f *fleet) ask(e int, dice uint64) yuccaadmission.Decision {
	a := f.cores[e].Admit(yuccaadmission.Request{Now: f.now, Service: "s", From: "a", Random: dice})
	if !a.Waiting && a.Kind == yuccaerror.None {
		f.took(e, a.Ticket)
	}
	f.carryOut(e)
	return a
}

func (f *fleet) done(e int, kind yuccaerror.Kind) {
	if len(f.tickets[e]) == 0 {
		return
	}
	t := f.tickets[e][0]
	f.tickets[e] = f.tickets[e][1:]
	f.busy[t.Server]--
	f.cores[e].Done(t, yuccaadmission.Result{Now: f.now, Kind: kind})
	f.carryOut(e)
}

func (f *fleet) index(name string) int {
	for i, n := range f.entries {
		if n == name {
			return i
		}
	}
	return -1
}

func (f *fleet) carryOut(e int) {
	for _, cmd := range append([]yuccaadmission.Command(nil), f.cores[e].Commands()...) {
		switch cmd := cmd.(type) {
		case yuccaadmission.Grant:
			f.took(e, cmd.Ticket)
		case yuccaadmission.Borrow:
			f.wish(e, f.index(cmd.To), cmd)
		case yuccaadmission.Offer:
			f.mail = append(f.mail, f.borrowed(f.index(cmd.To), e, cmd.Loan))
		}
	}
}

func (f *fleet) wish(e, to int, b yuccaadmission.Borrow) {
	w := f.cores[e].LoanRequest(b)
	f.mail = append(f.mail, func() {
		loan := f.cores[to].Lend(f.now, f.entries[e], w)
		f.mail = append(f.mail, f.borrowed(e, to, loan))
	})
}

func (f *fleet) borrowed(e, from int, l *yuccaadmission.Loan) func() {
	sent := f.now
	return func() {
		if f.now.Sub(sent) < yuccaadmission.LoanTimeout {
			f.cores[e].HandleLoan(f.now, f.entries[from], l)
			f.carryOut(e)
		}
	}
}

func (f *fleet) publish(e int) {
	b := f.cores[e].SlotReport()
	for i := range f.cores {
		if i != e {
			f.mail = append(f.mail, func() {
				f.cores[i].HandleReport(f.now, f.entries[e], b)
				f.carryOut(i)
			})
		}
	}
}

// step does one drawn thing.
func (f *fleet) step(t *rapid.T) {
	e := rapid.IntRange(0, len(f.cores)-1).Draw(t, "entry")
	switch rapid.SampledFrom([]string{"ask", "ask", "ask", "done", "done", "publish", "tick", "deliver", "deliver", "deliver", "lose"}).Draw(t, "what") {
	case "ask":
		f.ask(e, rapid.Uint64().Draw(t, "dice"))
	case "done":
		f.done(e, yuccaerror.None)
	case "publish":
		f.publish(e)
	case "tick":
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		f.cores[e].Tick(f.now)
		f.carryOut(e)
	case "deliver":
		f.deliver(rapid.IntRange(0, 3).Draw(t, "which"), true)
	case "lose":
		f.deliver(0, false)
	}
}

// deliver takes a message from near the head of the mail.
func (f *fleet) deliver(which int, arrives bool) {
	if len(f.mail) == 0 {
		return
	}
	which %= len(f.mail)
	next := f.mail[which]
	f.mail = slices.Delete(f.mail, which, which+1)
	if arrives {
		next()
	}
}

// checkSlots is the property that no server gets more requests than it has
// slots, whoever sends them.
func checkSlots(t *rapid.T) {
	w := newWorld(rapid.IntRange(1, 7).Draw(t, "entries"), rapid.IntRange(1, 6).Draw(t, "servers"), rapid.IntRange(1, 9).Draw(t, "slots"))
	f := newFleet(w)
	for range rapid.IntRange(50, 300).Draw(t, "steps") {
		f.step(t)
		for name, n := range f.busy {
			if n > w.slots {
				t.Fatalf("%d requests on %s, which has %d slots", n, name, w.slots)
			}
		}
	}
}

// TestSlotsAreNeverExceeded has entries choose at once, with lost and late
// messages between them.
func TestSlotsAreNeverExceeded(t *testing.T) { rapid.Check(t, checkSlots) }

// TestEverySlotIsUsed checks that one entry with all the requests gets the whole
// region in the end.
func TestEverySlotIsUsed(t *testing.T) {
	f := newFleet(newWorld(7, 4, 3))
	for range 400 {
		f.now = f.now.Add(20 * time.Millisecond)
		if f.busy["s0"]+f.busy["s1"]+f.busy["s2"]+f.busy["s3"] < 12 {
			f.ask(0, uint64(f.now.UnixNano()))
		}
		for e := range f.cores {
			f.cores[e].Tick(f.now)
			f.carryOut(e)
			f.publish(e)
		}
		for len(f.mail) > 0 {
			f.deliver(0, true)
		}
	}
	qt.Assert(t, f.busy, qt.DeepEquals, map[string]int{"s0": 3, "s1": 3, "s2": 3, "s3": 3})
}

// TestEjectionIsBounded fails every request and counts the servers in use.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 12).Draw(t, "servers")
		f := newFleet(newWorld(1, servers, 2))
		for range 200 {
			f.now = f.now.Add(5 * time.Millisecond)
			f.ask(0, rapid.Uint64().Draw(t, "dice"))
			f.done(0, yuccaerror.Broken)
		}
		seen := map[string]bool{}
		for i := range 2 * servers {
			if a := f.ask(0, uint64(i)); !a.Waiting && a.Kind == yuccaerror.None {
				seen[a.Ticket.Server] = true
			}
		}
		if out := servers - len(seen); out*3 > servers {
			t.Fatalf("%d of %d servers ejected", out, servers)
		}
	})
}

// TestBrokenServerIsEjected checks that a server that fails every request gets
// few of them.
func TestBrokenServerIsEjected(t *testing.T) {
	f := newFleet(newWorld(1, 4, 4))
	hits := 0
	for i := range 400 {
		f.now = f.now.Add(time.Millisecond)
		a := f.ask(0, uint64(i)*0x9e3779b97f4a7c15)
		kind := yuccaerror.None
		if a.Ticket.Server == "s1" {
			hits++
			kind = yuccaerror.Broken
		}
		f.done(0, kind)
	}
	qt.Assert(t, hits <= 6, qt.IsTrue, qt.Commentf("%d requests", hits))
}

// TestLeavingServersGetNothing draws which servers leave, by the list or by a
// rule, while requests are in flight and slots are lent.
func TestLeavingServersGetNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(newWorld(rapid.IntRange(1, 4).Draw(t, "entries"), 4, 3))
		for range rapid.IntRange(0, 100).Draw(t, "before") {
			f.step(t)
		}
		leaving := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"s0", "s1", "s2"}), rapid.ID[string]).Draw(t, "leaving")
		rules, view := f.rules, f.view
		if rapid.Bool().Draw(t, "rule") {
			for _, name := range leaving {
				rules.Drains = append(rules.Drains, yuccarule.Drain{Kind: yuccarule.DrainServer, Name: name})
			}
		} else {
			view = view.WithLeaving(leaving...)
		}
		for _, c := range f.cores {
			c.Update(f.plan, rules, view)
		}
		before := map[string]int{}
		for _, name := range leaving {
			before[name] = f.busy[name]
		}
		for range 100 {
			f.step(t)
			for _, name := range leaving {
				if f.busy[name] > before[name] {
					t.Fatalf("new work on %s, which is leaving", name)
				}
				before[name] = f.busy[name]
			}
		}
	})
}

// TestSharesAreFollowed sends many requests over three regions.
func TestSharesAreFollowed(t *testing.T) {
	tests := []struct{ a, b, c float64 }{{1, 0, 0}, {0.5, 0.3, 0.2}, {0.1, 0.2, 0.3}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			c := qt.New(t)
			core, _ := threeRegions(test.a, test.b, test.c, 0)
			const n = 20000
			count := map[string]float64{}
			for i := range n {
				now := start.Add(time.Duration(i) * time.Millisecond)
				a := core.Admit(yuccaadmission.Request{Now: now, Service: "s", From: "a", Random: uint64(i) * 0x9e3779b97f4a7c15})
				if a.Kind == yuccaerror.None {
					count[a.Ticket.Region]++
					core.Done(a.Ticket, yuccaadmission.Result{Now: now})
				}
			}
			for region, part := range map[string]float64{"a": test.a, "b": test.b, "c": test.c} {
				diff := count[region]/n - part
				c.Assert(diff < 0.02 && diff > -0.02, qt.IsTrue, qt.Commentf("%s: %f, not %f", region, count[region]/n, part))
			}
		})
	}
}

func threeRegions(a, b, c float64, reserve int) (*yuccaadmission.Core, yuccamembership.View) {
	list := []yuccastore.Instance{{Name: "e0", Kind: yuccastore.KindEntry, Region: "a"}}
	for _, region := range []string{"a", "b", "c"} {
		for i := range 2 {
			list = append(list, yuccastore.Instance{Name: fmt.Sprint(region, i), Kind: yuccastore.KindServer, Region: region, Slots: 4, Services: []string{"s"}})
		}
	}
	view := yuccamembership.NewView(list)
	core := yuccaadmission.NewCore("e0", 1)
	core.Update(threePlan(a, b, c, reserve), yuccarule.Rules{}, view)
	return core, view
}

func threePlan(a, b, c float64, reserve int) yuccaplan.Plan {
	p := yuccaplan.Plan{Version: 1, Routes: []yuccaplan.Route{{Service: "s", From: "a", Shares: []yuccaplan.Share{{Region: "a", Part: a}, {Region: "b", Part: b}, {Region: "c", Part: c}}}}}
	for _, region := range []string{"a", "b", "c"} {
		p.Budgets = append(p.Budgets, yuccaplan.Budget{Entry: "e0", Service: "s", Region: region, Slots: 4, Reserve: reserve})
	}
	return p
}
