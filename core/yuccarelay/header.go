package yuccarelay

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
)

// The headers of the system's own.
const (
	DeadlineHeader = "Yucca-Deadline"
	ErrorHeader    = "Yucca-Error"
	RunHeader      = "Yucca-Run"
	KeyHeader      = "Idempotency-Key"
)

// hopHeaders are about one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// header is the part of fasthttp's headers that removing needs.
type header interface {
	Peek(name string) []byte
	Del(name string)
}

func removeHopHeaders(h header) {
	for _, name := range strings.Split(string(h.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, "close") {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// requestHead returns the head of the request as every attempt sends it.
func requestHead(from *fasthttp.RequestHeader, body *source) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	from.CopyTo(h)
	removeHopHeaders(h)
	// The caller's body is at hand or on its way already.
	h.Del(fasthttp.HeaderExpect)
	if body.length != noLength {
		h.SetContentLength(body.length)
	}
	return h
}

// retryAfter spreads the returns of refused callers over three times the base,
// so that they do not come back together.
func retryAfter(base time.Duration) int {
	s := int(base / time.Second)
	return s + rand.IntN(2*s+1)
}

// idempotent reports whether the request may be sent again after it may have
// run.
func idempotent(h *fasthttp.RequestHeader) bool {
	safe := []string{fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodTrace}
	return slices.Contains(safe, string(h.Method()))
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

// WriteError makes the answer to a request the answer of the given kind.
func WriteError(ctx *fasthttp.RequestCtx, k yuccaerror.Kind, ran yuccaerror.RunStatus) {
	row := k.Attributes()
	ctx.Response.Reset()
	ctx.Response.SetStatusCode(row.Status)
	ctx.Response.Header.Set(ErrorHeader, row.Name)
	ctx.Response.Header.Set(RunHeader, string(ran))
	if row.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfter(row.RetryAfter)))
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.Response.SetBodyString(row.Name + "\n")
	if ctx.Request.IsBodyStream() {
		ctx.SetConnectionClose()
	}
}
