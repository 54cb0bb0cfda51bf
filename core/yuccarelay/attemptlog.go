package yuccarelay

import (
	"fmt"
	"strings"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
)

// attemptLog lists the attempts of a request in the order in which they ended,
// for the log line of a failed request.
type attemptLog []string

// add returns the log with one more attempt. The name of the entry that it went through
// is empty for a direct one.
func (s attemptLog) add(t yuccaadmission.Ticket, r yuccaadmission.Result, via string) attemptLog {
	took := r.Now.Sub(t.Started).Round(time.Millisecond)
	line := fmt.Sprintf("%s/%s:%s:%s:%dms", t.Server, t.Domain, t.Reason, outcomeName(r), took.Milliseconds())
	if via != "" {
		line += ":" + via
	}
	return append(s, line)
}

// outcomeName returns the name of an attempt's result in the log.
func outcomeName(r yuccaadmission.Result) string {
	switch {
	case r.WrongServer:
		return "foreign"
	case r.Declined:
		return "declined"
	case r.Kind != yuccaerror.None:
		return r.Kind.String()
	case r.Failed:
		return "failed"
	}
	return "answered"
}

// String returns the attempts joined by commas.
func (s attemptLog) String() string { return strings.Join(s, ",") }
