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

// cluster is a set of cores that exchange messages, with the requests in
// flight. The test draws which messages are delayed, lost or reordered.
type cluster struct {
	environment
	now      time.Time
	cores    []*yuccaadmission.Core
	tickets  map[int][]yuccaadmission.Ticket
	inFlight map[string]int
	messages []func()
}

func newCluster(w environment) *cluster {
	f := &cluster{environment: w, now: start, tickets: map[int][]yuccaadmission.Ticket{}, inFlight: map[string]int{}}
	for i, name := range w.entries {
		c := yuccaadmission.NewCore(name, uint64(i+1))
		c.Update(w.plan, w.rules, w.view)
		f.cores = append(f.cores, c)
	}
	return f
}

func (f *cluster) record(e int, t yuccaadmission.Ticket) {
	f.tickets[e] = append(f.tickets[e], t)
	f.inFlight[t.Server]++
}

func (f *cluster) admit(e int, random uint64) yuccaadmission.Decision {
	a := f.cores[e].Admit(yuccaadmission.Request{Now: f.now, Service: "s", From: "a", Random: random})
	if !a.Waiting && a.Kind == yuccaerror.None {
		f.record(e, a.Ticket)
	}
	f.execute(e)
	return a
}

func (f *cluster) done(e int, kind yuccaerror.Kind) { f.finish(e, yuccaadmission.Result{Kind: kind}) }

// finish ends the oldest request in flight of an entry with a result.
func (f *cluster) finish(e int, r yuccaadmission.Result) {
	if len(f.tickets[e]) == 0 {
		return
	}
	t := f.tickets[e][0]
	f.tickets[e] = f.tickets[e][1:]
	f.inFlight[t.Server]--
	r.Now = f.now
	f.cores[e].Done(t, r)
	f.execute(e)
}

func (f *cluster) index(name string) int {
	for i, n := range f.entries {
		if n == name {
			return i
		}
	}
	return -1
}

func (f *cluster) execute(e int) {
	for _, cmd := range append([]yuccaadmission.Command(nil), f.cores[e].Commands()...) {
		switch cmd := cmd.(type) {
		case yuccaadmission.Grant:
			f.record(e, cmd.Ticket)
		case yuccaadmission.Borrow:
			f.requestLoan(e, f.index(cmd.To), cmd)
		case yuccaadmission.Offer:
			f.messages = append(f.messages, f.loanMessage(f.index(cmd.To), e, cmd.Loan))
		}
	}
}

func (f *cluster) requestLoan(e, to int, b yuccaadmission.Borrow) {
	w := f.cores[e].LoanRequest(b)
	f.messages = append(f.messages, func() {
		loan := f.cores[to].Lend(f.now, f.entries[e], w)
		f.messages = append(f.messages, f.loanMessage(e, to, loan))
	})
}

func (f *cluster) loanMessage(e, from int, l *yuccaadmission.Loan) func() {
	sent := f.now
	return func() {
		if f.now.Sub(sent) < yuccaadmission.LoanTimeout {
			f.cores[e].HandleLoan(f.now, f.entries[from], l)
			f.execute(e)
		}
	}
}

func (f *cluster) publish(e int) {
	b := f.cores[e].SlotReport()
	for i := range f.cores {
		if i != e {
			f.messages = append(f.messages, func() {
				f.cores[i].HandleReport(f.now, f.entries[e], b)
				f.execute(i)
			})
		}
	}
}

// step performs one randomly drawn action.
func (f *cluster) step(t *rapid.T) {
	e := rapid.IntRange(0, len(f.cores)-1).Draw(t, "entry")
	switch rapid.SampledFrom([]string{"admit", "admit", "admit", "done", "done", "publish", "tick", "deliver", "deliver", "deliver", "lose"}).Draw(t, "what") {
	case "admit":
		f.admit(e, rapid.Uint64().Draw(t, "random"))
	case "done":
		f.done(e, yuccaerror.None)
	case "publish":
		f.publish(e)
	case "tick":
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		f.cores[e].Tick(f.now)
		f.execute(e)
	case "deliver":
		f.deliver(rapid.IntRange(0, 3).Draw(t, "which"), true)
	case "lose":
		f.deliver(0, false)
	}
}

// deliver removes one of the oldest messages and, unless it is lost, delivers
// it.
func (f *cluster) deliver(which int, arrives bool) {
	if len(f.messages) == 0 {
		return
	}
	which %= len(f.messages)
	next := f.messages[which]
	f.messages = slices.Delete(f.messages, which, which+1)
	if arrives {
		next()
	}
}

// checkSlots checks that the entries together never send a server more requests
// than it has slots.
func checkSlots(t *rapid.T) {
	w := newEnvironment(rapid.IntRange(1, 7).Draw(t, "entries"), rapid.IntRange(1, 6).Draw(t, "servers"), rapid.IntRange(1, 9).Draw(t, "slots"))
	f := newCluster(w)
	for range rapid.IntRange(50, 300).Draw(t, "steps") {
		f.step(t)
		for name, n := range f.inFlight {
			if n > w.slots {
				t.Fatalf("%d requests on %s, which has %d slots", n, name, w.slots)
			}
		}
	}
}

// TestSlotsAreNeverExceeded guards against overloaded servers when several
// entries choose at once and messages between them are lost or late.
func TestSlotsAreNeverExceeded(t *testing.T) { rapid.Check(t, checkSlots) }

// TestEverySlotIsUsed checks that one entry that gets all requests borrows all
// slots of the region.
func TestEverySlotIsUsed(t *testing.T) {
	f := newCluster(newEnvironment(7, 4, 3))
	for range 400 {
		f.now = f.now.Add(20 * time.Millisecond)
		if f.inFlight["s0"]+f.inFlight["s1"]+f.inFlight["s2"]+f.inFlight["s3"] < 12 {
			f.admit(0, uint64(f.now.UnixNano()))
		}
		for e := range f.cores {
			f.cores[e].Tick(f.now)
			f.execute(e)
			f.publish(e)
		}
		for len(f.messages) > 0 {
			f.deliver(0, true)
		}
	}
	qt.Assert(t, f.inFlight, qt.DeepEquals, map[string]int{"s0": 3, "s1": 3, "s2": 3, "s3": 3})
}

// TestEjectionIsBounded fails every request and checks that at most a third of
// the servers is ejected.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 12).Draw(t, "servers")
		f := newCluster(newEnvironment(1, servers, 2))
		for range 200 {
			f.now = f.now.Add(5 * time.Millisecond)
			f.admit(0, rapid.Uint64().Draw(t, "random"))
			f.done(0, yuccaerror.ConnectionLost)
		}
		seen := map[string]bool{}
		for i := range 2 * servers {
			if a := f.admit(0, uint64(i)); !a.Waiting && a.Kind == yuccaerror.None {
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
	f := newCluster(newEnvironment(1, 4, 4))
	hits := 0
	for i := range 400 {
		f.now = f.now.Add(time.Millisecond)
		a := f.admit(0, uint64(i)*0x9e3779b97f4a7c15)
		kind := yuccaerror.None
		if a.Ticket.Server == "s1" {
			hits++
			kind = yuccaerror.ConnectionLost
		}
		f.done(0, kind)
	}
	qt.Assert(t, hits <= 6, qt.IsTrue, qt.Commentf("%d requests", hits))
}

// TestServerThatAsksToHoldOffGetsNothing has a server reject a request and ask for a
// pause: it gets nothing until that has passed, while the others serve, and is then used
// again.
func TestServerThatAsksToHoldOffGetsNothing(t *testing.T) {
	const holdOff = 300 * time.Millisecond
	f := newCluster(newEnvironment(1, 4, 4))
	rejectedAt, after := time.Time{}, 0
	for i := range 1000 {
		f.now = f.now.Add(time.Millisecond)
		a := f.admit(0, uint64(i)*0x9e3779b97f4a7c15)
		if a.Ticket.Server != "s1" {
			f.done(0, yuccaerror.None)
			continue
		}
		if rejectedAt.IsZero() {
			rejectedAt = f.now
			f.finish(0, yuccaadmission.Result{Declined: true, HoldOff: holdOff})
			continue
		}
		if f.now.Sub(rejectedAt) >= holdOff {
			after++
		}
		qt.Assert(t, f.now.Sub(rejectedAt) >= holdOff, qt.IsTrue, qt.Commentf("a request after %v", f.now.Sub(rejectedAt)))
		f.done(0, yuccaerror.None)
	}
	qt.Assert(t, after > 50, qt.IsTrue, qt.Commentf("%d requests after the pause", after))
}

// TestLeavingServersGetNothing checks that leaving servers get no new request.
// They leave by the membership list or by a drain rule, while requests are in
// flight and slots are lent.
func TestLeavingServersGetNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCluster(newEnvironment(rapid.IntRange(1, 4).Draw(t, "entries"), 4, 3))
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
			before[name] = f.inFlight[name]
		}
		for range 100 {
			f.step(t)
			for _, name := range leaving {
				if f.inFlight[name] > before[name] {
					t.Fatalf("new request on %s, which is leaving", name)
				}
				before[name] = f.inFlight[name]
			}
		}
	})
}

// TestSharesAreFollowed checks that requests are spread over three regions in
// proportion to the shares of the route.
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

// threeRegions returns the core of entry e0 in region a, with the given shares of
// the regions a, b and c. Each region has two servers of four slots.
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

// threePlan returns a plan with the given shares of three regions. It budgets four
// slots and the reserve in each of them.
func threePlan(a, b, c float64, reserve int) yuccaplan.Plan {
	p := yuccaplan.Plan{Version: 1, Routes: []yuccaplan.Route{{Service: "s", From: "a", Shares: []yuccaplan.Share{{Region: "a", Fraction: a}, {Region: "b", Fraction: b}, {Region: "c", Fraction: c}}}}}
	for _, region := range []string{"a", "b", "c"} {
		p.Budgets = append(p.Budgets, yuccaplan.Budget{Entry: "e0", Service: "s", Region: region, Slots: 4, Reserve: reserve})
	}
	return p
}
