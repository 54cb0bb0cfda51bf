// Package yuccabalancer chooses the backend server that runs each request.
// It prefers a server that has recently handled the same object (and so is
// likely to have it cached), as long as that server, its region and the
// request's latency budget leave room for it.
//
// An entry is a proxy instance of the system. Each entry has one Picker and
// makes its own choices; entries coordinate only through the Topology and
// the load that servers report.
//
// Core holds the decisions and has no clock, lock or socket. It picks a
// region by a weighted rendezvous hash over the TrafficSplit, then the
// server of that region with the least estimated cost. Picker adds a lock
// and a clock and issues a ticket for each choice:
//
//	picker := yuccabalancer.New(yuccabalancer.Location{Entry: "e1", Region: "palermo", Domain: "palermo-a"})
//	picker.Update(topology)
//	ticket, err := picker.Pick(request)
//	if err != nil {
//		return err
//	}
//	result := send(ticket.Addr)
//	picker.Done(ticket, result)
package yuccabalancer

import "time"

// Location identifies an entry and where it runs.
type Location struct {
	// Entry is the name of the entry.
	Entry string
	// Region is the region of the entry.
	Region string
	// Domain is the failure domain of the entry.
	Domain string
}

// Server is one backend server of one service. A backend server that serves
// several services has one Server for each of them.
type Server struct {
	// Name identifies the server. A restarted server mostly has another name.
	Name string
	// Service is the name of the service.
	Service string
	// Region is the region of the server.
	Region string
	// Domain is the failure domain of the server.
	Domain string
	// Addr is the network address of the server.
	Addr string
	// Slots is how many requests the server runs at the same time.
	Slots int
	// Run identifies the run of the server under its name. A later run has a higher
	// number.
	Run int64
	// Draining is set for a server that gets no new requests.
	Draining bool
	// SlowStartUntil is when slow start ends, so that the server gets the
	// full rate of requests. Zero means that it already gets it.
	SlowStartUntil time.Time
}

// Topology is what an entry knows about the servers and the other entries.
type Topology struct {
	// Servers are all known servers, of all services.
	Servers []Server
	// Version identifies Servers: where it is the same as before, so are the servers. Zero
	// means that they may differ.
	Version uint64
	// Evacuated holds the failure domains that get no new requests.
	Evacuated map[string]bool
	// SlowStartRates holds, for each service, how many requests a second all
	// entries together may send to one server in slow start.
	SlowStartRates map[string]float64
	// Entries are the names of the listed entries, which may send requests.
	Entries []string
	// Large are the names of the entries that callers mostly use, where entries differ in
	// capacity; empty means all of Entries.
	Large []string
}
