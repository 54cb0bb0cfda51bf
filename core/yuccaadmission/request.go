// Package yuccaadmission admits requests inside an entry's budgets and chooses a
// server for each.
//
//	ticket, err := p.Pick(ask)
//	if err != nil {
//		// of kind Shed, Empty or Unknown
//	}
//	defer p.Done(ticket, yuccaadmission.Result{Now: now, Kind: kind})
//
// Core holds the decisions: it has no clock, lock or socket. Picker puts a lock
// and a clock around it, and SlotExchange connects it to the other entries.
package yuccaadmission

import (
	"time"

	"yuccawell.example/core/yuccaerror"
)

// Request is a request that needs a server.
type Request struct {
	Now     time.Time
	Service string
	// From is the region where the request arises.
	From string
	// Random is a random number that spreads requests over regions and servers.
	Random uint64
	// Avoid names servers that were tried already.
	Avoid []string
	// Deadline is when the request is of no more use; zero means never.
	Deadline time.Time
	// Object identifies what the request is about; zero means nothing known.
	Object uint64
	// Regions are the only ones in which the request may run; none means any.
	Regions []string
	// LatencyBudget is the time left in which an answer is of full use; zero means not
	// known.
	LatencyBudget time.Duration
	// Priority is the rank of the request: 0 is the most urgent.
	Priority int
}

// Ticket is the permission to send one request to one server. Give it back with
// Done exactly once.
type Ticket struct {
	Service string
	Region  string
	Domain  string
	Server  string
	Addr    string
	Started time.Time
	// Reason says why the server was chosen, where the picker tells.
	Reason string
	// Ref is what the picker keeps with the ticket.
	Ref any

	seat *seat
	// booked is what the answer was expected to take over links, in bytes.
	booked float64
}

// Result is what came of a ticket.
type Result struct {
	Now time.Time
	// Kind is None for an answer of the server's own.
	Kind yuccaerror.Kind
	// Declined is set when the server shed the request.
	Declined bool
	// Bytes is the length of the answer's body.
	Bytes int64
	// Succeeded is set for an answer of the server's own that is no failure, and
	// Failed for one that is.
	Succeeded, Failed bool
	// NoResponse is set when the server could not be connected to, broke the
	// connection off or gave no answer in time.
	NoResponse bool
	// WrongServer is set when another server has the address.
	WrongServer bool
	// Took is the time from the start of the try to the head of the answer.
	Took time.Duration
	// Load is what the server told of its load, nil if nothing.
	Load *Load
}

// Load is a server's report of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Decision is what Core makes of a Request.
type Decision struct {
	Ticket Ticket
	// Waiting is set when the request waits for a slot. A Command with the same
	// ID follows.
	Waiting bool
	// ID names the waiting request, and Until is when its wait ends.
	ID    uint64
	Until time.Time
	// Kind is why the request was refused, None otherwise.
	Kind yuccaerror.Kind
}

// Command is something that the surroundings of Core have to do.
type Command interface{ command() }

type (
	// Grant gives a waiting request its ticket.
	Grant struct {
		ID     uint64
		Ticket Ticket
	}
	// Refuse ends the wait of a request.
	Refuse struct {
		ID   uint64
		Kind yuccaerror.Kind
	}
	// Borrow asks another entry for slots.
	Borrow struct {
		To      string
		Service string
		Region  string
		Count   int
		// Urgent is set when requests wait.
		Urgent bool
	}
	// Offer gives another entry slots that it has asked for in vain.
	Offer struct {
		To   string
		Loan *Loan
	}
)

func (Grant) command()  {}
func (Refuse) command() {}
func (Borrow) command() {}
func (Offer) command()  {}
