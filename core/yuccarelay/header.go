package yuccarelay

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
)

// The header fields of the system's own protocol.
const (
	// DeadlineHeader holds the time that is left for a request, as a Go
	// duration.
	DeadlineHeader = "Yucca-Deadline"
	// ErrorHeader holds the name of the error kind of an error response.
	ErrorHeader = "Yucca-Error"
	// RunHeader holds the yuccaerror.RunStatus of an error response.
	RunHeader = "Yucca-Run"
	// IdempotencyKeyHeader holds the idempotency key of a request.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// hopHeaders are the hop-by-hop fields, which apply to one connection and are
// not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// mutableHeader is what removeHopHeaders needs of a request or response header.
type mutableHeader interface {
	Peek(name string) []byte
	Del(name string)
}

// removeHopHeaders removes the hop-by-hop fields and those that Connection
// lists.
func removeHopHeaders(h mutableHeader) {
	for _, name := range strings.Split(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, "close") {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// requestHead returns the request header that every attempt starts from.
func requestHead(from *fasthttp.RequestHeader, body *requestBody) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	from.CopyTo(h)
	removeHopHeaders(h)
	// The caller already sends its body, so the server need not ask for it.
	h.Del(fasthttp.HeaderExpect)
	if body.length != identityLength {
		h.SetContentLength(body.length)
	}
	return h
}

// spreadRetryAfter returns a random number of whole seconds between base and three times
// base, so that rejected callers do not all return at once.
func spreadRetryAfter(base time.Duration) time.Duration {
	s := int(base / time.Second)
	return time.Duration(s+rand.IntN(2*s+1)) * time.Second
}

// isIdempotent reports whether a request with this method may be sent again
// after it may have run.
func isIdempotent(h *fasthttp.RequestHeader) bool {
	methods := []string{fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodTrace}
	return slices.Contains(methods, string(h.Method()))
}

// parseDeadline returns when the caller stops waiting; the zero time means
// never.
func parseDeadline(now time.Time, h *fasthttp.RequestHeader) (time.Time, error) {
	text := string(h.Peek(DeadlineHeader))
	if text == "" {
		return time.Time{}, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return time.Time{}, yuccaerror.New(yuccaerror.Malformed, "header %s: %q is not a duration", DeadlineHeader, text)
	}
	return now.Add(d), nil
}

// WriteError replaces the response by an error response of the given kind, in the
// system's own protocol.
func WriteError(ctx *fasthttp.RequestCtx, k yuccaerror.Kind, ran yuccaerror.RunStatus) {
	DefaultProtocol{}.WriteError(ctx, ErrorResponse{Kind: k, RunStatus: ran})
}
