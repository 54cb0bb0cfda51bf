// Package yuccapick admits requests inside an entry's budgets and chooses a
// server for each.
//
//	ticket, err := p.Pick(ask)
//	if err != nil {
//		// of kind Shed, Empty or Unknown
//	}
//	defer p.Done(ticket, yuccapick.Result{Kind: kind, Took: took})
package yuccapick

import (
	"slices"
	"sync"
	"time"

	"yuccawell.example/core/yuccafault"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccaview"
)

// Ask is a request that needs a server.
type Ask struct {
	Now     time.Time
	Service string
	// From is the region where the request arises.
	From string
	// Dice is a random number that spreads requests over regions and servers.
	Dice uint64
	// Avoid names servers that were tried already.
	Avoid []string
}

// Ticket is the permission to send one request to one server. Give it back with
// Done exactly once.
type Ticket struct {
	Service string
	Region  string
	Server  string
	Addr    string
	Started time.Time
}

// Result is what came of a ticket.
type Result struct {
	Now time.Time
	// Kind is None for an answer of the server's own.
	Kind yuccafault.Kind
	// Declined is set when the server shed the request.
	Declined bool
	// Bytes is the length of the answer's body.
	Bytes int64
}

// Picker holds the servers, the budgets and what is in flight. Its methods may
// be called from several goroutines. Make one with New.
type Picker struct {
	mu       sync.Mutex
	self     string
	plan     yuccaplan.Plan
	services map[string][]*server
	inflight map[place]int
}

type place struct{ service, region string }

type server struct {
	yuccastore.Instance
	busy int
}

// New returns a picker for the entry with the given name. It refuses everything
// until Update is called.
func New(self string) *Picker {
	return &Picker{self: self, services: map[string][]*server{}, inflight: map[place]int{}}
}

// Update takes a new plan and a new view. What is in flight stays counted.
func (p *Picker) Update(plan yuccaplan.Plan, rules yuccarule.Rules, view yuccaview.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan = plan
	old := map[string]*server{}
	for _, list := range p.services {
		for _, s := range list {
			old[s.Name] = s
		}
	}
	p.services = map[string][]*server{}
	for _, i := range view.Servers() {
		i.Leaving = i.Leaving || rules.Drained(yuccarule.DrainServer, i.Addr)
		s, ok := old[i.Name]
		if !ok {
			s = &server{}
		}
		s.Instance = i
		for _, name := range i.Services {
			p.services[name] = append(p.services[name], s)
		}
	}
}

// Pick admits a request and chooses its server. The error is of kind Unknown
// when the plan has no route for it, Empty when no server can take it and Shed
// when the budget is used up.
func (p *Picker) Pick(ask Ask) (Ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	route, ok := p.plan.Route(ask.Service, ask.From)
	if !ok {
		return Ticket{}, yuccafault.New(yuccafault.Unknown, "no route for %s from %s", ask.Service, ask.From)
	}
	kind := yuccafault.Empty
	for _, share := range route.Shares {
		if !p.within(ask.Service, share.Region) {
			kind = yuccafault.Shed
			continue
		}
		if s := p.choose(ask, share.Region); s != nil {
			return p.take(ask, share.Region, s), nil
		}
	}
	return Ticket{}, yuccafault.New(kind, "no capacity for %s from %s", ask.Service, ask.From)
}

func (p *Picker) within(service, region string) bool {
	b, ok := p.plan.Budget(p.self, service, region)
	return ok && p.inflight[place{service, region}] < b.Slots
}

// choose returns the server in the region with the most free slots.
func (p *Picker) choose(ask Ask, region string) *server {
	var best *server
	list := p.services[ask.Service]
	for i := range list {
		s := list[(i+int(ask.Dice%uint64(len(list))))%len(list)]
		if s.Region != region || s.Leaving || s.busy >= s.Slots || slices.Contains(ask.Avoid, s.Name) {
			continue
		}
		if best == nil || s.Slots-s.busy > best.Slots-best.busy {
			best = s
		}
	}
	return best
}

func (p *Picker) take(ask Ask, region string, s *server) Ticket {
	s.busy++
	p.inflight[place{ask.Service, region}]++
	return Ticket{Service: ask.Service, Region: region, Server: s.Name, Addr: s.Addr, Started: ask.Now}
}

// Done gives a ticket back.
func (p *Picker) Done(t Ticket, _ Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inflight[place{t.Service, t.Region}]--
	for _, s := range p.services[t.Service] {
		if s.Name == t.Server {
			s.busy--
		}
	}
}

// Busy returns how many requests of a service are in flight to a region.
func (p *Picker) Busy(service, region string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inflight[place{service, region}]
}
