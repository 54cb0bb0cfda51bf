// Package yuccaidempotency runs a request that has an idempotency key at most
// once, whichever entry (a proxy instance of the system) receives it, and
// answers repeated requests with the first response.
//
// Each entry has a Deduplicator. Its Begin claims a key: it writes a Record,
// which names the one attempt that may run, to the platform's store. The keys
// are spread over shards by their hash. A shard is one object in the store,
// which refers to part objects with older records. Every write of a shard
// object is conditional on the tag that was read last (compare-and-swap), so of
// two attempts to claim a key only one succeeds.
//
// Any entry may write any shard. To keep conflicting writes rare, each shard
// has an owner, chosen by rendezvous hash, and the other entries send it their
// claims. An entry that cannot reach the owner writes the shard itself.
//
// When a key has already been claimed, Begin looks for the first response: in
// its own cache, on the entry that ran the request, and on the owner of the
// shard, to which a stopping entry hands its cached responses off.
//
// Shard is the state machine of one shard and does no I/O: its Update takes a
// Message and returns Commands, which a worker performs.
//
// A caller uses it like this:
//
//	claim, err := dedup.Begin(ctx, yuccaidempotency.Request{Service: "orders", Key: key, Fingerprint: hash})
//	switch {
//	case err != nil:
//		// Do not send the request. The kind of err tells which response to return.
//	case claim.Replay != nil:
//		// Return claim.Replay.
//	default:
//		response, mayHaveRun := send(request)
//		dedup.End(claim, yuccaidempotency.Outcome{MayHaveRun: mayHaveRun, Response: response})
//	}
package yuccaidempotency

import "time"

// Request describes the request that a claim is made for.
type Request struct {
	// Service is the name of the service. Equal keys of two services are
	// independent.
	Service string
	// Key is the caller's Idempotency-Key, at most MaxKeyBytes bytes.
	Key string
	// Fingerprint is a hash of the method, the target and the body. A request
	// with a known key and another fingerprint fails with an error of kind
	// KeyMismatch.
	Fingerprint uint64
	// Deadline is when the caller stops waiting. The zero time means no
	// deadline.
	Deadline time.Time
}

// Response is the first response to an idempotency key, which is returned to
// repeated requests.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the header fields in their order.
	Header []Field
	// Body is the complete body.
	Body []byte
}

// Field is one header field of a Response.
type Field struct {
	// Name is the name of the field.
	Name string
	// Value is the value of the field.
	Value string
}

// Claim is the permission to run a request once. Pass a Claim without a Replay
// to Deduplicator.End when the request has ended.
type Claim struct {
	Request
	// Replay, when not nil, is the first response: return it to the caller and
	// do not run the request.
	Replay *Response

	// id identifies the key.
	id ID
	// attempt identifies the call of Begin that made the claim.
	attempt Attempt
}

// Outcome is the result of a request that was run under a claim.
type Outcome struct {
	// MayHaveRun is false only when the request certainly did not run. The key
	// is then released, so that a later request can claim it.
	MayHaveRun bool
	// Response is the complete response of the backend server. It is nil when
	// there is none to cache.
	Response *Response
}
