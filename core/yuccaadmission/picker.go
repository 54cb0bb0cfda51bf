package yuccaadmission

import (
	"sync"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

// Picker is a Core that is safe for concurrent use. Create one with New.
type Picker struct {
	// mu guards core and waiters.
	mu sync.Mutex
	// core makes the decisions.
	core *Core
	// waiters holds the channel of each queued request by its ID.
	waiters map[uint64]chan Decision
	// outbox holds the messages to send to other entries.
	outbox chan Command
}

// outboxSize is the number of messages that can wait to be sent. Further ones
// are dropped: loan requests are repeated, and offers are reconciled like lost
// ones.
const outboxSize = 64

// New returns a picker for the entry named self. It refuses all requests until
// Update is called.
func New(self string) *Picker {
	return &Picker{
		core:    NewCore(self, uint64(time.Now().UnixNano())),
		waiters: map[uint64]chan Decision{},
		outbox:  make(chan Command, outboxSize),
	}
}

// Update applies a new plan, new rules and a new view. Requests in flight stay
// counted.
func (p *Picker) Update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccamembership.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.now = later(p.core.now, time.Now())
	p.core.Update(plan, rules, view)
	p.execute()
}

// Pick admits a request and chooses its server. It waits for a slot for a time
// bounded by the latency of the service. The error is of kind UnknownService
// when the plan has no route for the request, NoServer when no server can
// handle it and Shed when the budget of this entry is used up.
func (p *Picker) Pick(req Request) (Ticket, error) {
	if req.Now.IsZero() {
		req.Now = time.Now()
	}
	p.mu.Lock()
	decision := p.core.Admit(req)
	var granted chan Decision
	if decision.Waiting {
		granted = make(chan Decision, 1)
		p.waiters[decision.ID] = granted
	}
	p.execute()
	p.mu.Unlock()
	if decision.Waiting {
		decision = p.wait(granted, decision.Until)
	}
	if decision.Kind != yuccaerror.None {
		return Ticket{}, yuccaerror.New(decision.Kind, "no capacity for %s from %s", req.Service, req.From)
	}
	return decision.Ticket, nil
}

// wait waits for the decision on a queued request. If none has arrived by the
// given time, it calls Tick, which ends the wait.
func (p *Picker) wait(granted <-chan Decision, until time.Time) Decision {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case a := <-granted:
		return a
	case <-t.C:
		p.tick(later(until, time.Now()))
		return <-granted
	}
}

func (p *Picker) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Tick(now)
	p.execute()
}

// execute carries out the commands of the core.
func (p *Picker) execute() {
	for _, cmd := range p.core.Commands() {
		switch cmd := cmd.(type) {
		case Grant:
			p.resolve(cmd.ID, Decision{Ticket: cmd.Ticket})
		case Refuse:
			p.resolve(cmd.ID, Decision{Kind: cmd.Kind})
		case Borrow, Offer:
			select {
			case p.outbox <- cmd:
			default:
			}
		}
	}
}

// resolve sends the decision to the goroutine that waits for it.
func (p *Picker) resolve(id uint64, decision Decision) {
	if wait, ok := p.waiters[id]; ok {
		delete(p.waiters, id)
		wait <- decision
	}
}

// Done releases the slot of a ticket and records the result of the attempt.
func (p *Picker) Done(t Ticket, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Done(t, r)
	p.execute()
}

// InFlight returns the number of requests of a service in flight from this
// entry to a region.
func (p *Picker) InFlight(service, region string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.core.pools[serviceRegion{service, region}]; pool != nil {
		return pool.inFlight
	}
	return 0
}

// HasQueued reports whether requests of a service are queued at an entry, either
// this one or another.
func (p *Picker) HasQueued(service, entry string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.hasQueued(service, entry)
}
