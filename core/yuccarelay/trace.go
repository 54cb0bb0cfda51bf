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

// TraceHeader carries a request's id from caller to backend server, in the form
// of the W3C's Trace Context.
const TraceHeader = "Traceparent"

var tracePattern = regexp.MustCompile(`^00-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}$`)

// trace returns the id of a request. One without a well-formed header gets a new
// id, which is passed on.
func trace(h *fasthttp.RequestHeader) string {
	if m := tracePattern.FindSubmatch(h.Peek(TraceHeader)); m != nil {
		return string(m[1])
	}
	id := fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()|1)
	h.Set(TraceHeader, fmt.Sprintf("00-%s-%016x-00", id, rand.Uint64()|1))
	return id
}

var levels = map[yuccaerror.Level]zerolog.Level{
	yuccaerror.LevelDebug: zerolog.DebugLevel,
	yuccaerror.LevelInfo:  zerolog.InfoLevel,
	yuccaerror.LevelWarn:  zerolog.WarnLevel,
	yuccaerror.LevelError: zerolog.ErrorLevel,
}

// report logs a request that did not end in a server's whole answer: what
// decided it, by which version of the routes, and what its caller was told.
func (t *task) report(f ErrorResponse, status int) {
	t.mu.Lock()
	tries := t.story.String()
	t.mu.Unlock()
	e := t.relay.failures.WithLevel(levels[f.Kind.Attributes().Level]).
		Str("request", t.id).
		Str("kind", f.Kind.String()).
		Int("status", status).
		Str("run", string(f.Ran)).
		Dur("after", f.RetryAfter).
		Str("service", t.service).
		Str("tries", tries).
		Dur("took", time.Since(t.arrived)).
		Err(t.err)
	if t.route != nil {
		e = e.Str("route", t.route.Name).Uint64("routes", t.route.Version).Dur("goal", t.route.LatencyTarget)
	}
	if !t.deadline.IsZero() {
		e = e.Dur("limit", t.deadline.Sub(t.arrived))
	}
	e.Msg("request_failed")
}
