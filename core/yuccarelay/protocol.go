package yuccarelay

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
)

// Protocol reads and writes the header fields by which callers, the relay and
// backend servers exchange ids, deadlines, load and errors. DefaultProtocol is
// the system's own.
type Protocol interface {
	// ID returns the id of a request, which identifies it in logs and at the
	// backend server. It may add a header field.
	ID(h *fasthttp.RequestHeader) string
	// Deadline returns when the caller stops waiting; the zero time means
	// never.
	Deadline(now time.Time, h *fasthttp.RequestHeader) (time.Time, error)
	// AffinityKey returns a hash of the object that the request is about, zero
	// if unknown. Requests with the same key prefer the same server.
	AffinityKey(h *fasthttp.RequestHeader) uint64
	// Credential returns the key of the caller's account, empty if the request has none.
	// The result is valid until the header changes.
	Credential(h *fasthttp.RequestHeader) []byte
	// PrepareRequest changes a copy of the request header for one attempt. No server
	// may get a name of an account that the caller has set, nor the caller's key if
	// there are accounts.
	PrepareRequest(h *fasthttp.RequestHeader, to Target)
	// ClassifyResponse says what a response header means for the request with
	// the given id.
	ClassifyResponse(id string, h *fasthttp.ResponseHeader) ResponseClass
	// Report returns what a server says about itself in its response.
	Report(h *fasthttp.ResponseHeader) yuccaadmission.Report
	// WriteError replaces the response by an error response of the relay. It returns the
	// delay that it names to the caller, zero if none.
	WriteError(ctx *fasthttp.RequestCtx, f ErrorResponse) (retryAfter time.Duration)
}

// Target is the destination of one attempt.
type Target struct {
	// Server is the name of the backend server.
	Server string
	// TimeLeft is the time until the request's deadline; zero means no deadline.
	TimeLeft time.Duration
	// Account is the name of the caller's account, empty if it has none.
	Account string
	// HasAccounts is set if the config in force has accounts. The header that holds the
	// key has no meaning otherwise.
	HasAccounts bool
}

// ErrorResponse is an error response that the relay itself sends.
type ErrorResponse struct {
	// Kind determines the status and the body.
	Kind yuccaerror.Kind
	// RunStatus says whether the request may have run on a server.
	RunStatus yuccaerror.RunStatus
	// RetryAfter is the delay after which the caller may retry; zero means the
	// default of Kind.
	RetryAfter time.Duration
}

// ResponseClass is what a response header means for the request that was sent.
type ResponseClass uint8

// The classes of responses.
const (
	// Genuine means that the server itself responds to this request.
	Genuine ResponseClass = iota
	// Declined means that the server did not run the request.
	Declined
	// Misdirected means that another server has the address and did not run the
	// request.
	Misdirected
	// Mismatched means that the response belongs to another request.
	Mismatched
	// Unnamed means that the response does not say which request it belongs to. It may
	// belong to an earlier one on the connection and proves nothing about this one.
	Unnamed
	// Invalid means that the response cannot come from the server, whichever
	// request it belongs to.
	Invalid
)

// DefaultProtocol uses the system's own header fields. It reports no affinity keys, keys of
// accounts or load.
type DefaultProtocol struct{}

// ID returns the trace id of the Traceparent header and adds the header if it
// is missing or malformed.
func (DefaultProtocol) ID(h *fasthttp.RequestHeader) string { return requestID(h) }

// Deadline parses DeadlineHeader.
func (DefaultProtocol) Deadline(now time.Time, h *fasthttp.RequestHeader) (time.Time, error) {
	return parseDeadline(now, h)
}

// AffinityKey returns zero.
func (DefaultProtocol) AffinityKey(*fasthttp.RequestHeader) uint64 { return 0 }

// Credential returns nil.
func (DefaultProtocol) Credential(*fasthttp.RequestHeader) []byte { return nil }

// PrepareRequest sets DeadlineHeader to the time that is left.
func (DefaultProtocol) PrepareRequest(h *fasthttp.RequestHeader, to Target) {
	h.Del(DeadlineHeader)
	if to.TimeLeft > 0 {
		h.Set(DeadlineHeader, to.TimeLeft.Round(time.Millisecond).String())
	}
}

// ClassifyResponse returns Declined for a 503 whose RunHeader says that the
// request did not run, else Genuine.
func (DefaultProtocol) ClassifyResponse(_ string, h *fasthttp.ResponseHeader) ResponseClass {
	if h.StatusCode() == fasthttp.StatusServiceUnavailable && string(h.Peek(RunHeader)) == string(yuccaerror.NotRun) {
		return Declined
	}
	return Genuine
}

// Report returns the time for which a server that did not run the request wants no more,
// from the header Retry-After in seconds.
func (d DefaultProtocol) Report(h *fasthttp.ResponseHeader) yuccaadmission.Report {
	text := h.Peek(fasthttp.HeaderRetryAfter)
	if len(text) == 0 || d.ClassifyResponse("", h) != Declined {
		return yuccaadmission.Report{}
	}
	holdOff, err := ParseSeconds(text)
	if err != nil {
		return yuccaadmission.Report{Invalid: fmt.Sprintf("header %s: %v", fasthttp.HeaderRetryAfter, err)}
	}
	return yuccaadmission.Report{HoldOff: holdOff}
}

// MaxSeconds bounds the times in header fields, so that they fit a time.Duration.
const MaxSeconds = 1e6

// ParseSeconds parses a time in seconds, a decimal number that is finite and not
// negative. It returns MaxSeconds for a longer time, and zero with an error.
func ParseSeconds(text []byte) (time.Duration, error) {
	v, err := ParseNumber(text)
	return time.Duration(min(v, MaxSeconds) * float64(time.Second)), err
}

// ParseNumber parses a decimal number that is finite and not negative. It returns zero
// with an error.
func ParseNumber(text []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 1) {
		return 0, fmt.Errorf("%.40q is not a number, 0 or more", text)
	}
	return v, nil
}

// WriteError implements Protocol. The delay is in whole seconds: the time after which a
// retry may succeed, or a random one if that is unknown.
func (DefaultProtocol) WriteError(ctx *fasthttp.RequestCtx, f ErrorResponse) time.Duration {
	attributes := f.Kind.Attributes()
	ctx.Response.Reset()
	ctx.Response.SetStatusCode(attributes.Status)
	ctx.Response.Header.Set(ErrorHeader, attributes.Name)
	ctx.Response.Header.Set(RunHeader, string(f.RunStatus))
	var after time.Duration
	if attributes.RetryAfter > 0 {
		after = time.Duration(math.Ceil(f.RetryAfter.Seconds())) * time.Second
		if after <= 0 {
			after = spreadRetryAfter(attributes.RetryAfter)
		}
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(after/time.Second)))
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.Response.SetBodyString(attributes.Name + "\n")
	if MayHaveUnreadBody(&ctx.Request) {
		ctx.SetConnectionClose()
	}
	return after
}
