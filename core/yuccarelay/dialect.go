package yuccarelay

import (
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
)

// Protocol is how callers and backend servers say on the wire what the relay has
// to know. DefaultProtocol is the system's own.
type Protocol interface {
	// ID returns the id of a request, which names it in logs and at the backend
	// server.
	ID(h *fasthttp.RequestHeader) string
	// Deadline returns when the caller stops waiting; the zero time means never.
	Deadline(now time.Time, h *fasthttp.RequestHeader) (time.Time, error)
	// AffinityKey returns the hash of what the request is about, zero if unknown.
	AffinityKey(h *fasthttp.RequestHeader) uint64
	// PrepareRequest makes the head of a request that of one try.
	PrepareRequest(h *fasthttp.RequestHeader, to Target)
	// ClassifyResponse says what the head of an answer means to the request with an id.
	ClassifyResponse(id string, h *fasthttp.ResponseHeader) ResponseClass
	// Load returns the load that a server tells with its answer, nil if none.
	Load(h *fasthttp.ResponseHeader) *yuccaadmission.Load
	// WriteError makes the answer to a request one of the system's own.
	WriteError(ctx *fasthttp.RequestCtx, f ErrorResponse)
}

// Target is the server of one try and the time that is left for it; zero means
// no limit.
type Target struct {
	Server string
	Left   time.Duration
}

// ErrorResponse is an answer of the system's own.
type ErrorResponse struct {
	Kind yuccaerror.Kind
	Ran  yuccaerror.RunStatus
	// RetryAfter is when to come back, zero where the table of kinds says it.
	RetryAfter time.Duration
}

// ResponseClass is what an answer's head means.
type ResponseClass uint8

// The verdicts.
const (
	// Genuine answers are the server's own to this request.
	Genuine ResponseClass = iota
	// Declined answers say that the server did not run the request.
	Declined
	// Misdirected answers say that another server has the address and did not
	// run the request.
	Misdirected
	// Mismatched answers belong to another request.
	Mismatched
	// Invalid answers cannot be the server's own to any request.
	Invalid
)

// DefaultProtocol is the dialect of the system's own interface.
type DefaultProtocol struct{}

// ID implements Protocol.
func (DefaultProtocol) ID(h *fasthttp.RequestHeader) string { return trace(h) }

// Deadline implements Protocol.
func (DefaultProtocol) Deadline(now time.Time, h *fasthttp.RequestHeader) (time.Time, error) {
	return parseDeadline(now, h)
}

// AffinityKey implements Protocol.
func (DefaultProtocol) AffinityKey(*fasthttp.RequestHeader) uint64 { return 0 }

// PrepareRequest implements Protocol.
func (DefaultProtocol) PrepareRequest(h *fasthttp.RequestHeader, to Target) {
	h.Del(DeadlineHeader)
	if to.Left > 0 {
		h.Set(DeadlineHeader, to.Left.Round(time.Millisecond).String())
	}
}

// ClassifyResponse implements Protocol.
func (DefaultProtocol) ClassifyResponse(_ string, h *fasthttp.ResponseHeader) ResponseClass {
	if h.StatusCode() == fasthttp.StatusServiceUnavailable && string(h.Peek(RunHeader)) == string(yuccaerror.NotRun) {
		return Declined
	}
	return Genuine
}

// Load implements Protocol.
func (DefaultProtocol) Load(*fasthttp.ResponseHeader) *yuccaadmission.Load { return nil }

// WriteError implements Protocol.
func (DefaultProtocol) WriteError(ctx *fasthttp.RequestCtx, f ErrorResponse) {
	WriteError(ctx, f.Kind, f.Ran)
}
