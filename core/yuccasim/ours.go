package yuccasim

import (
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

const busyInterval = 200 * time.Millisecond

// ours runs yuccaadmission.Core for one entry; messages between entries take their
// time.
type ours struct {
	sim   *sim
	entry int
	core  *yuccaadmission.Core
	waits map[uint64]*request
}

func newOurs(m *sim, entry int) *ours {
	o := &ours{sim: m, entry: entry, core: yuccaadmission.NewCore(entryName(entry), uint64(entry+1)), waits: map[uint64]*request{}}
	length := m.set.length()
	m.every(yuccaadmission.TickInterval, length, func() {
		o.core.Tick(m.time())
		o.carryOut()
	})
	m.after(time.Duration(entry)*busyInterval/entryCount, func() { m.every(busyInterval, length, o.publish) })
	return o
}

func (o *ours) update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccamembership.View) {
	o.core.Tick(o.sim.time())
	o.core.Update(plan, rules, view)
	o.carryOut()
}

func (o *ours) ask(r *request) {
	a := o.core.Admit(yuccaadmission.Request{
		Now:     o.sim.time(),
		Service: serviceName,
		From:    regionName(entryRegion(o.entry)),
		Random:  r.dice,
		Avoid:   r.avoid,
	})
	switch {
	case a.Waiting:
		o.waits[a.ID] = r
	case a.Kind != yuccaerror.None:
		o.sim.shed(r)
	default:
		o.send(r, a.Ticket)
	}
	o.carryOut()
}

func (o *ours) send(r *request, t yuccaadmission.Ticket) {
	r.state = t
	o.sim.send(r, o.sim.byName[t.Server])
}

func (o *ours) done(r *request, out outcome) {
	result := yuccaadmission.Result{Now: o.sim.time(), Declined: out.declined}
	switch {
	case out.unreachable:
		result.Kind = yuccaerror.Unreachable
	case out.broken:
		result.Kind = yuccaerror.Broken
	}
	o.core.Done(r.state.(yuccaadmission.Ticket), result)
	o.carryOut()
}

func (o *ours) carryOut() {
	for _, cmd := range o.core.Commands() {
		switch cmd := cmd.(type) {
		case yuccaadmission.Grant:
			r := o.waits[cmd.ID]
			delete(o.waits, cmd.ID)
			o.send(r, cmd.Ticket)
		case yuccaadmission.Refuse:
			r := o.waits[cmd.ID]
			delete(o.waits, cmd.ID)
			o.sim.shed(r)
		case yuccaadmission.Borrow:
			o.wish(cmd)
		case yuccaadmission.Offer:
			o.reach(int(cmd.To[0]-'1'), func(to *ours) {
				to.core.HandleLoan(o.sim.time(), entryName(o.entry), cmd.Loan)
				to.carryOut()
			})
		}
	}
}

// each calls do with every other entry when a message sent now arrives there.
func (o *ours) each(do func(to *ours)) {
	for e := range entryCount {
		if e != o.entry {
			o.reach(e, do)
		}
	}
}

func (o *ours) reach(e int, do func(to *ours)) {
	d := farDelay
	if entryRegion(e) == entryRegion(o.entry) {
		d = nearDelay
	}
	o.sim.after(d, func() {
		if o.sim.alive[e] {
			do(o.sim.policies[e].(*ours))
		}
	})
}

func (o *ours) publish() {
	if !o.sim.alive[o.entry] {
		return
	}
	message := o.core.SlotReport()
	o.each(func(to *ours) {
		to.core.HandleReport(o.sim.time(), entryName(o.entry), message)
		to.carryOut()
	})
}

func (o *ours) wish(b yuccaadmission.Borrow) {
	message := o.core.LoanRequest(b)
	o.reach(int(b.To[0]-'1'), func(to *ours) {
		loan := to.core.Lend(o.sim.time(), entryName(o.entry), message)
		to.carryOut()
		to.reach(o.entry, func(back *ours) {
			back.core.HandleLoan(o.sim.time(), b.To, loan)
			back.carryOut()
		})
	})
}
