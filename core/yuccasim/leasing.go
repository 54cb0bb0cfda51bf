package yuccasim

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

// slotReportInterval is the time between two slot reports of an entry.
const slotReportInterval = 200 * time.Millisecond

// leasingPolicy runs yuccaadmission.Core for one entry. Messages between entries
// arrive after the network delay between their regions.
type leasingPolicy struct {
	sim *sim
	// entry is the index of the entry.
	entry int
	core  *yuccaadmission.Core
	// waiting holds the queued requests by the ID that the core gave them.
	waiting map[uint64]*request
}

// newLeasingPolicy returns the policy of an entry and schedules its ticks and slot
// reports. The reports of the entries are evenly spread over the interval.
func newLeasingPolicy(m *sim, entry int) *leasingPolicy {
	o := &leasingPolicy{sim: m, entry: entry, core: yuccaadmission.NewCore(entryName(entry), uint64(entry+1)), waiting: map[uint64]*request{}}
	length := m.setup.length()
	m.every(yuccaadmission.TickInterval, length, func() {
		o.core.Tick(m.time())
		o.runCommands()
	})
	m.after(time.Duration(entry)*slotReportInterval/time.Duration(m.entries()), func() { m.every(slotReportInterval, length, o.sendSlotReport) })
	return o
}

func (o *leasingPolicy) update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccamembership.View) {
	o.core.Tick(o.sim.time())
	o.core.Update(plan, rules, view)
	o.runCommands()
}

func (o *leasingPolicy) admit(r *request) {
	a := o.core.Admit(yuccaadmission.Request{
		Now:          o.sim.time(),
		Service:      serviceName,
		From:         regionName(entryRegion(o.entry)),
		Random:       r.random,
		AvoidServers: r.avoid,
	})
	switch {
	case a.Waiting:
		o.waiting[a.ID] = r
	case a.Kind != yuccaerror.None:
		o.sim.recordShed(r)
	default:
		o.send(r, a.Ticket)
	}
	o.runCommands()
}

// send sends an admitted request to the server of its ticket.
func (o *leasingPolicy) send(r *request, t yuccaadmission.Ticket) {
	r.state = t
	o.sim.send(r, o.sim.serversByName[t.Server])
}

func (o *leasingPolicy) done(r *request, out outcome) {
	result := yuccaadmission.Result{Now: o.sim.time(), Declined: out.declined}
	switch {
	case out.unreachable:
		result.Kind = yuccaerror.Unreachable
	case out.broken:
		result.Kind = yuccaerror.ConnectionLost
	}
	o.core.Done(r.state.(yuccaadmission.Ticket), result)
	o.runCommands()
}

// runCommands executes the commands that the core has queued.
func (o *leasingPolicy) runCommands() {
	for _, cmd := range o.core.Commands() {
		switch cmd := cmd.(type) {
		case yuccaadmission.Grant:
			r := o.waiting[cmd.ID]
			delete(o.waiting, cmd.ID)
			o.send(r, cmd.Ticket)
		case yuccaadmission.Refuse:
			r := o.waiting[cmd.ID]
			delete(o.waiting, cmd.ID)
			o.sim.recordShed(r)
		case yuccaadmission.Borrow:
			o.requestLoan(cmd)
		case yuccaadmission.Offer:
			o.sendTo(entryIndex(cmd.To), func(peer *leasingPolicy) {
				peer.core.HandleLoan(o.sim.time(), entryName(o.entry), cmd.Loan)
				peer.runCommands()
			})
		}
	}
}

// broadcast calls deliver with each other entry at the time at which a message sent
// now arrives there.
func (o *leasingPolicy) broadcast(deliver func(peer *leasingPolicy)) {
	for e := range o.sim.entries() {
		if e != o.entry {
			o.sendTo(e, deliver)
		}
	}
}

// sendTo calls deliver with the entry with index e at the time at which a message
// sent now arrives there. The message is lost if that entry is stopped by then.
func (o *leasingPolicy) sendTo(e int, deliver func(peer *leasingPolicy)) {
	d := farDelay
	if entryRegion(e) == entryRegion(o.entry) {
		d = nearDelay
	}
	o.sim.after(d, func() {
		if o.sim.alive[e] {
			deliver(o.sim.policies[e].(*leasingPolicy))
		}
	})
}

// sendSlotReport sends the entry's slot report to all other entries.
func (o *leasingPolicy) sendSlotReport() {
	if !o.sim.alive[o.entry] {
		return
	}
	message := o.core.SlotReport()
	o.broadcast(func(peer *leasingPolicy) {
		peer.core.HandleReport(o.sim.time(), entryName(o.entry), message)
		peer.runCommands()
	})
}

// requestLoan asks another entry for a loan of slots; the reply arrives after
// the network delay in both directions.
func (o *leasingPolicy) requestLoan(b yuccaadmission.Borrow) {
	message := o.core.LoanRequest(b)
	o.sendTo(entryIndex(b.To), func(peer *leasingPolicy) {
		loan := peer.core.Lend(o.sim.time(), entryName(o.entry), message)
		peer.runCommands()
		peer.sendTo(o.entry, func(borrower *leasingPolicy) {
			borrower.core.HandleLoan(o.sim.time(), b.To, loan)
			borrower.runCommands()
		})
	})
}
