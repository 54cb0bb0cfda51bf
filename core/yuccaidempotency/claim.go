// Package yuccaidempotency lets a request with an idempotency key run at most once,
// whichever entries receive it.
package yuccaidempotency

import "time"

// Request is what a claim is made for.
type Request struct {
	Service string
	// Key is the caller's Idempotency-Key.
	Key string
	// Fingerprint is a hash of the method, the target and the body. The same key with
	// another sum is a conflict.
	Fingerprint uint64
	// Deadline is when the caller stops waiting; the zero time means never.
	Deadline time.Time
}

// Response is a first answer that is held for repeats.
type Response struct {
	Status int
	Header []Field
	Body   []byte
}

// Field is one header field of a Response.
type Field struct{ Name, Value string }

// Claim is the permission to run a request once. Give it back with End.
type Claim struct {
	Request
	// Replay, when not nil, is the first answer: pass it on and run nothing.
	Replay *Response

	id  ID
	try Attempt
}

// Outcome is what came of a claim.
type Outcome struct {
	// MayHaveRun is false only when the request certainly did not run.
	MayHaveRun bool
	// Answer is the server's whole answer, nil when there is none to hold.
	Answer *Response
}
