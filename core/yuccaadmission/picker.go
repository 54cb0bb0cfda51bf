package yuccaadmission

import (
	"sync"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
)

// Picker is a Core for several goroutines. Make one with New.
type Picker struct {
	mu      sync.Mutex
	core    *Core
	waits   map[uint64]chan Decision
	letters chan Command
}

// maxLetters is how many messages may stand before they are sent. More are
// dropped: wishes are made again, and offers are settled like lost ones.
const maxLetters = 64

// New returns a picker for the entry with the given name. It refuses everything
// until Update is called.
func New(self string) *Picker {
	return &Picker{
		core:    NewCore(self, uint64(time.Now().UnixNano())),
		waits:   map[uint64]chan Decision{},
		letters: make(chan Command, maxLetters),
	}
}

// Update takes a new plan, new rules and a new view. What is in flight stays
// counted.
func (p *Picker) Update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccamembership.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.now = later(p.core.now, time.Now())
	p.core.Update(plan, rules, view)
	p.carryOut()
}

// Pick admits a request and chooses its server. It waits for a slot for a time
// bounded by the service's latency. The error is of kind Unknown when the plan
// has no route for the request, Empty when no server can take it and Shed when
// what the entry may use is used up.
func (p *Picker) Pick(ask Request) (Ticket, error) {
	if ask.Now.IsZero() {
		ask.Now = time.Now()
	}
	p.mu.Lock()
	a := p.core.Admit(ask)
	var granted chan Decision
	if a.Waiting {
		granted = make(chan Decision, 1)
		p.waits[a.ID] = granted
	}
	p.carryOut()
	p.mu.Unlock()
	if a.Waiting {
		a = p.wait(granted, a.Until)
	}
	if a.Kind != yuccaerror.None {
		return Ticket{}, yuccaerror.New(a.Kind, "no capacity for %s from %s", ask.Service, ask.From)
	}
	return a.Ticket, nil
}

// wait returns the end of a wait, which Tick brings about at the latest.
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
	p.carryOut()
}

// carryOut does what the core has asked for.
func (p *Picker) carryOut() {
	for _, cmd := range p.core.Commands() {
		switch cmd := cmd.(type) {
		case Grant:
			p.wake(cmd.ID, Decision{Ticket: cmd.Ticket})
		case Refuse:
			p.wake(cmd.ID, Decision{Kind: cmd.Kind})
		case Borrow, Offer:
			select {
			case p.letters <- cmd:
			default:
			}
		}
	}
}

func (p *Picker) wake(id uint64, a Decision) {
	if wait, ok := p.waits[id]; ok {
		delete(p.waits, id)
		wait <- a
	}
}

// Done gives a ticket back.
func (p *Picker) Done(t Ticket, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Done(t, r)
	p.carryOut()
}

// InFlight returns how many requests of a service are in flight to a region.
func (p *Picker) InFlight(service, region string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.core.pools[place{service, region}]; pool != nil {
		return pool.busy
	}
	return 0
}

// Full reports whether requests of a service wait at an entry, this one or
// another.
func (p *Picker) Full(service, entry string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.full(service, entry)
}
