package yuccabalancer

import (
	"sync"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
)

// Picker is a Core for several goroutines. Make one with New.
type Picker struct {
	mu   sync.Mutex
	core *Core
}

// New returns a picker that refuses everything until Update is called.
func New(p Location) *Picker { return &Picker{core: NewCore(p)} }

// Update takes what is known of the world.
func (p *Picker) Update(w Topology) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Update(w)
}

// Rebalance moves the shares of the regions toward what the demand asks for.
func (p *Picker) Rebalance(demand map[string]Demand, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Rebalance(demand, elapsed)
}

// StatusAndReset returns the state of each service and starts counting choices anew.
func (p *Picker) StatusAndReset() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.StatusAndReset()
}

// Status returns the state of each service.
func (p *Picker) Status() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Status()
}

// Addr returns the address of a server, empty when it is not known.
func (p *Picker) Addr(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.core.world.Servers {
		if s.Name == server {
			return s.Addr
		}
	}
	return ""
}

// MeanInFlight returns the mean number in flight of each service since the last call.
func (p *Picker) MeanInFlight(now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.MeanInFlight(now)
}

// Pick chooses a server. The error is of kind Empty when none may take the
// request and Shed when all are too full, and tells when to come back.
func (p *Picker) Pick(ask yuccaadmission.Request) (yuccaadmission.Ticket, error) {
	if ask.Now.IsZero() {
		ask.Now = time.Now()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	choice := p.core.Ask(ask)
	if choice.Kind != yuccaerror.None {
		return yuccaadmission.Ticket{}, yuccaerror.NewRetryAfter(choice.After, choice.Kind, "no server for %s", ask.Service)
	}
	s := choice.seat
	return yuccaadmission.Ticket{
		Service: ask.Service,
		Region:  s.Region,
		Domain:  s.Domain,
		Server:  s.Name,
		Addr:    s.Addr,
		Started: ask.Now,
		Reason:  string(choice.Reason),
		Ref:     choice,
	}, nil
}

// Done gives a ticket back.
func (p *Picker) Done(t yuccaadmission.Ticket, r yuccaadmission.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if choice, ok := t.Ref.(Choice); ok {
		p.core.Done(choice, r)
	}
}
