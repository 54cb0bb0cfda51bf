// Package yuccaadmission decides whether a request is admitted and which
// backend server it is sent to. Each entry (a proxy instance of the system) has
// a budget of slots for every service and region; a request in flight uses one
// slot. A request without a free slot waits in a queue for a bounded time,
// spills over to another region or is shed. Entries lend each other unused
// slots.
//
//	p := yuccaadmission.New("e1")
//	p.Update(plan, rules, view)
//	ticket, err := p.Pick(req)
//	if err != nil {
//		return err // of kind Shed, NoServer or UnknownService
//	}
//	kind := send(ticket.Addr)
//	p.Done(ticket, yuccaadmission.Result{Now: time.Now(), Kind: kind})
//
// Core makes the decisions and has no clock, lock or socket. Picker adds a lock
// and a clock, and SlotExchange exchanges slots with the other entries.
package yuccaadmission

import (
	"time"

	"yuccawell.example/core/yuccaerror"
)

// Request describes a request that needs a backend server.
type Request struct {
	// Now is the current time; Picker replaces the zero value by time.Now.
	Now time.Time
	// Service is the name of the service that the request is for.
	Service string
	// From is the region where the request arrives.
	From string
	// Random holds random bits that spread requests over regions and servers.
	Random uint64
	// AvoidServers lists the names of servers that were already tried.
	AvoidServers []string
	// Deadline is the time after which the caller has no use for the response;
	// the zero value means that there is none.
	Deadline time.Time
	// Object identifies the object that the request is about; zero means
	// unknown.
	Object uint64
	// Regions lists the only regions in which the request may run; empty means
	// any region.
	Regions []string
	// LatencyBudget is the time left in which a response has its full value to
	// the caller; zero means unknown.
	LatencyBudget time.Duration
	// LatencyTarget is the time in which a response has its full value, counted from the
	// caller's first attempt; zero means unknown.
	LatencyTarget time.Duration
	// Priority is the priority class of the request; 0 is the most urgent.
	Priority int
	// Bulk is set if the response is expected to be long, so that its way counts.
	Bulk bool
}

// Ticket is the permission to send one request to one server. It holds a slot
// until it is passed to Done, which must happen exactly once.
type Ticket struct {
	// Service is the name of the service.
	Service string
	// Region is the region of the server.
	Region string
	// Domain is the failure domain of the server; empty if the picker doesn't
	// set it.
	Domain string
	// Server is the name of the server.
	Server string
	// Run identifies the run of the server under its name; zero if the picker doesn't
	// set it.
	Run int64
	// Addr is the address of the server.
	Addr string
	// Started is the time when the slot was assigned.
	Started time.Time
	// Reason says why the server was chosen; empty if the picker states no
	// reason.
	Reason string
	// PickerData is private data of the picker that issued the ticket.
	PickerData any

	// allocation is the set of slots that the request uses one of; nil if Core
	// did not issue the ticket.
	allocation *allocation
	// reservedBytes is the number of bytes reserved in the link budget for the
	// response.
	reservedBytes float64
}

// Result is the outcome of one attempt.
type Result struct {
	// Now is the time when the attempt ended.
	Now time.Time
	// Kind is the kind of error; None means that the server itself sent a
	// response.
	Kind yuccaerror.Kind
	// Declined is set when the server shed the request.
	Declined bool
	// Bytes is the length of the response body in bytes.
	Bytes int64
	// Succeeded is set when the server sent a response that is not a failure.
	Succeeded bool
	// Failed is set when the server sent a response that is a failure.
	Failed bool
	// NoResponse is set when connecting to the server failed, the server closed
	// the connection without a response or the response timed out.
	NoResponse bool
	// WrongServer is set when a different server answered at the address.
	WrongServer bool
	// TimeToHeader is the time from the start of the attempt to the response header.
	TimeToHeader time.Duration
	// Load is the load that the server reported; nil if it reported none.
	Load *Load
	// HoldOff is how long the server wants no requests from this entry.
	HoldOff time.Duration
}

// Report is what a server says about itself in a response.
type Report struct {
	// Load is the server's load; nil if it reports none.
	Load *Load
	// Limited is set when the server names a limit for the requests of all entries
	// together.
	Limited bool
	// RateLimit is that limit in requests a second.
	RateLimit float64
	// Leaving is set when the server is about to exit.
	Leaving bool
	// HoldOff is how long the server wants no requests from this entry.
	HoldOff time.Duration
	// Invalid says which part of the report could not be read; empty if none. Whether
	// the server names a limit is then unknown.
	Invalid string
}

// Load is the load that a server reports in a response. The request that the
// response belongs to does not count.
type Load struct {
	// Running is the number of requests that the server is running.
	Running int
	// Waiting is the number of requests in the server's queue.
	Waiting int
	// Slots is the number of requests that the server can run at once.
	Slots int
	// Slowness is how long work takes on the server's machine at this moment, as a
	// multiple of what is usual; zero means unknown.
	Slowness float64
}

// Decision is the answer of Core.Admit to a Request.
type Decision struct {
	// Ticket is valid when the request is admitted at once.
	Ticket Ticket
	// Waiting is set when the request is queued for a slot. A Grant or Refuse
	// command with the same ID follows.
	Waiting bool
	// ID identifies the queued request.
	ID uint64
	// Until is the time when the wait ends.
	Until time.Time
	// Kind says why the request was refused; None if it was not.
	Kind yuccaerror.Kind
}

// Command is an action that the caller of Core must carry out.
type Command interface{ command() }

type (
	// Grant admits a queued request.
	Grant struct {
		// ID identifies the queued request.
		ID uint64
		// Ticket is the slot that the request got.
		Ticket Ticket
	}
	// Refuse rejects a queued request.
	Refuse struct {
		// ID identifies the queued request.
		ID uint64
		// Kind says why the request is rejected.
		Kind yuccaerror.Kind
	}
	// Borrow asks another entry for a loan of slots.
	Borrow struct {
		// To is the name of the entry to ask.
		To string
		// Service is the service that the slots are for.
		Service string
		// Region is the region of the servers that the slots belong to.
		Region string
		// Count is the number of slots to ask for.
		Count int
		// Urgent is set when requests are queued for the slots.
		Urgent bool
	}
	// Offer sends slots to an entry that asked for some when none were free.
	Offer struct {
		// To is the name of the entry that gets the slots.
		To string
		// Loan lists the slots.
		Loan *Loan
	}
)

func (Grant) command()  {}
func (Refuse) command() {}
func (Borrow) command() {}
func (Offer) command()  {}
