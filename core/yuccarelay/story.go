package yuccarelay

import (
	"fmt"
	"strings"
	"time"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaerror"
)

// story tells the tries of a request in the order of their ends, for the line
// that is logged when it fails.
type story []string

// with returns the story with one more try.
func (s story) with(t yuccaadmission.Ticket, r yuccaadmission.Result) story {
	took := r.Now.Sub(t.Started).Round(time.Millisecond)
	return append(s, fmt.Sprintf("%s/%s:%s:%s:%dms", t.Server, t.Domain, t.Reason, ending(r), took.Milliseconds()))
}

// ending names what came of a try.
func ending(r yuccaadmission.Result) string {
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

// String joins the tries.
func (s story) String() string { return strings.Join(s, ",") }
