package yuccarelay

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
)

// TraceHeader is the W3C Trace Context header, which carries a request's id
// from the caller to the backend server.
const TraceHeader = "Traceparent"

var traceparentPattern = regexp.MustCompile(`^00-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}$`)

// requestID returns the trace id of a request. If the header is missing or
// malformed, it adds one with a new id.
func requestID(h *fasthttp.RequestHeader) string {
	if m := traceparentPattern.FindSubmatch(h.Peek(TraceHeader)); m != nil {
		return string(m[1])
	}
	id := fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()|1)
	h.Set(TraceHeader, fmt.Sprintf("00-%s-%016x-00", id, rand.Uint64()|1))
	return id
}

var logLevels = map[yuccaerror.Level]zerolog.Level{
	yuccaerror.LevelDebug: zerolog.DebugLevel,
	yuccaerror.LevelInfo:  zerolog.InfoLevel,
	yuccaerror.LevelWarn:  zerolog.WarnLevel,
	yuccaerror.LevelError: zerolog.ErrorLevel,
}

// logFailure logs a request that did not end with a server's complete response:
// the error, the attempts, the route with the version of its table, and what
// the caller received.
func (t *task) logFailure(f ErrorResponse, status int) {
	t.mu.Lock()
	tries := t.attemptLog.String()
	t.mu.Unlock()
	e := t.relay.failures.WithLevel(logLevels[f.Kind.Attributes().Level]).
		Str("request", t.id).
		Str("kind", f.Kind.String()).
		Int("status", status).
		Str("run", string(f.RunStatus)).
		Dur("after", f.RetryAfter).
		Str("service", t.service).
		Str("tries", tries).
		Dur("took", time.Since(t.arrived)).
		Err(t.err)
	if t.route != nil {
		e = e.Str("route", t.route.Name).Uint64("routes", t.route.Version).Dur("goal", t.route.LatencyTarget)
	}
	if t.account != nil {
		e = e.Str("account", t.account.Name)
	}
	if !t.deadline.IsZero() {
		e = e.Dur("limit", t.deadline.Sub(t.arrived))
	}
	e.Msg("request_failed")
}
