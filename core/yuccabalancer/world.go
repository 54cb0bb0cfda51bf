// Package yuccabalancer chooses the backend server of each request so that objects
// meet servers that have lately handled them, within what servers and regions
// can take.
//
// Core holds the decisions: it has no clock, lock or socket. Picker puts a lock
// and a clock around it.
//
//	picker := yuccabalancer.New(yuccabalancer.Location{Entry: "e1", Region: "palermo", Domain: "palermo-a"})
//	picker.Update(world)
//	ticket, err := picker.Pick(ask)
package yuccabalancer

import "time"

// Location says where an entry is.
type Location struct{ Entry, Region, Domain string }

// Server is one backend server of a service. One that serves several has one
// Server for each.
type Server struct {
	// Name is the identity of one run of the server.
	Name    string
	Service string
	Region  string
	Domain  string
	Addr    string
	// Slots is how many requests it works on at once.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// SlowStartUntil is when the server bears the full rate of requests.
	SlowStartUntil time.Time
}

// Topology is what choices rest on.
type Topology struct {
	Servers []Server
	// Evacuated failure domains get no new requests.
	Evacuated map[string]bool
	// SlowStartRates is how many requests a second a cold server of a service bears
	// from all entries together.
	SlowStartRates map[string]float64
	// Entries are the names of all entries that may be sending requests.
	Entries []string
}
