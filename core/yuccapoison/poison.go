// Package yuccapoison recognizes requests that crash the backend servers
// that run them, and stops such poison requests. Requests are compared by
// their Fingerprint.
//
// There are two mechanisms with the same methods. A CrashLimiter counts how
// many servers in a row died with a request in flight, and stops the request
// after three of them. It makes no request wait. The death of one server counts
// once for all requests that are alike, however many of them it was running. A Guard usually stops
// a poison request after two dead servers: each fingerprint that was in
// flight on a server that died is a suspect, and of one dead server's
// suspects only one runs at a time. The right to run it is called the probe,
// and one entry (a proxy instance of the system), the arbiter, grants it.
// A fingerprint that was in flight on several dead servers is quarantined,
// unless another cause of the deaths is likely: the fingerprint had often run
// without a server death, or other servers died at about the same time
// without it in flight.
//
// State holds the decisions of a Guard and has no clock, lock or network
// access.
//
//	guard := yuccapoison.New(yuccapoison.Options{Bus: bus, Self: "e1", Members: members})
//	if err := guard.Check(fingerprint); err != nil {
//		return err
//	}
//	run := yuccapoison.Run{Fingerprint: fingerprint, Server: server, Started: time.Now()}
//	guard.Start(fingerprint, server)
//	guard.End(run, send(request, server))
package yuccapoison

import "time"

// Fingerprint identifies requests that are alike: it is a hash of the
// service, the caller's account, the method, the target and the body.
type Fingerprint uint64

// Run is one attempt of a request at a server.
type Run struct {
	Fingerprint Fingerprint
	// Server is the name of the server.
	Server string
	// Started is when the attempt was sent.
	Started time.Time
}

// Outcome is what the end of an attempt shows about whether the request crashed its server.
type Outcome uint8

const (
	// Unproven shows nothing: the server declined the request, the time ran out, the caller
	// has left, or the response was not read to its end.
	Unproven Outcome = iota
	// Answered means that the response is complete, which shows that the server ran the
	// request and is alive.
	Answered
	// Broken means that the connection broke before the response was complete. The server
	// may have crashed.
	Broken
)
