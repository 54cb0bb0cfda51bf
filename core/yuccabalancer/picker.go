package yuccabalancer

import (
	"sync"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaswitch"
)

// Picker is a Core that is safe for concurrent use. Make one with New.
type Picker struct {
	// mu guards core.
	mu sync.Mutex
	// core chooses the servers.
	core *Core
}

// New returns a Picker that rejects every request until Update is called.
func New(p Location) *Picker { return NewWithout(p, yuccaswitch.Set{}) }

// NewWithout is New without the mechanisms that are off.
func NewWithout(p Location, off yuccaswitch.Set) *Picker {
	return &Picker{core: NewCoreWithout(p, off)}
}

// Update replaces the topology.
func (p *Picker) Update(w Topology) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Update(w)
}

// Rebalance moves each service's traffic split toward the one that the
// demand calls for. See Core.Rebalance.
func (p *Picker) Rebalance(demand map[string]Demand, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Rebalance(demand, elapsed)
}

// SetNotice records what a server says about itself. See Core.SetNotice.
func (p *Picker) SetNotice(server string, n Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetNotice(server, n)
}

// SetSenders records which other entries are senders of a server that names a limit. See
// Core.SetSenders.
func (p *Picker) SetSenders(server string, entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetSenders(server, entries)
}

// Sends reports whether this entry is a sender of a server that names a limit.
func (p *Picker) Sends(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Sends(server)
}

// HoldOff keeps requests from a server for the time d. See Core.HoldOff.
func (p *Picker) HoldOff(server string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.HoldOff(time.Now(), server, d)
}

// Unblock lets servers that could not be reached get requests at once. It is for the
// time at which the way to all servers has changed.
func (p *Picker) Unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Unblock()
}

// StatusAndReset returns the state of each service and sets its counts back
// to zero.
func (p *Picker) StatusAndReset() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.StatusAndReset()
}

// Status returns the state of each service, sorted by name.
func (p *Picker) Status() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Status()
}

// Addr returns the address of a server, or an empty string for an unknown
// server.
func (p *Picker) Addr(server string) string {
	s, _ := p.Server(server)
	return s.Addr
}

// AcceptingAddr returns the address of a server that may get requests of this entry now,
// empty for any other.
func (p *Picker) AcceptingAddr(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.core.byName[server] {
		if p.core.acceptsRequests(s) && s.holdOff.allows(time.Now(), 0) {
			return s.Addr
		}
	}
	return ""
}

// Server returns a server by its name and whether it is known.
func (p *Picker) Server(name string) (Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.core.byName[name] {
		return s.Server, true
	}
	return Server{}, false
}

// MeanInFlight returns each service's mean number of in-flight requests
// since the last call.
func (p *Picker) MeanInFlight(now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.MeanInFlight(now)
}

// Pick chooses a server for a request. The error is of kind NoServer when no
// server may take the request and of kind Shed when all are too busy; it
// carries the time after which to retry. A zero Now means the present time.
func (p *Picker) Pick(req yuccaadmission.Request) (yuccaadmission.Ticket, error) {
	if req.Now.IsZero() {
		req.Now = time.Now()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	choice := p.core.Choose(req)
	if choice.Kind != yuccaerror.None {
		return yuccaadmission.Ticket{}, yuccaerror.NewRetryAfter(choice.RetryAfter, choice.Kind, "no server for %s%v", req.Service, choice.Excluded)
	}
	s := choice.server
	return yuccaadmission.Ticket{
		Service:    req.Service,
		Region:     s.Region,
		Domain:     s.Domain,
		Server:     s.Name,
		Run:        s.Run,
		Addr:       s.Addr,
		Started:    req.Now,
		Reason:     string(choice.Reason),
		PickerData: choice,
	}, nil
}

// Done records the result of a request. It must be called once for each
// ticket.
func (p *Picker) Done(t yuccaadmission.Ticket, r yuccaadmission.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if choice, ok := t.PickerData.(Choice); ok {
		p.core.Done(choice, r)
	}
}
