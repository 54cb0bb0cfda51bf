package yuccarelay

import (
	"time"

	"yuccawell.example/core/yuccaerror"
)

// leavingRetryDelay is the Retry-After of a request that is refused because the entry
// stops. Another entry can serve it at once.
const leavingRetryDelay = 10 * time.Millisecond

// stop is how a relay stops.
type stop struct {
	// lastRequest is the time from which on a request is sent to a server only if it ends
	// before end by its own deadline.
	lastRequest time.Time
	// end is when the relay stops to wait for servers.
	end time.Time
}

// StopAt bounds the deadlines of all further requests to end, so that those for which a
// server does not answer in time get a response before the entry exits. A request that
// is read after lastRequest must not be aborted in that way: it is rejected as not run
// if its own deadline is later than end. It may arrive that late on a connection that is
// not idle, such as the rest of a request of which the entry has read a part.
func (r *Relay) StopAt(lastRequest, end time.Time) { r.stop.Store(&stop{lastRequest, end}) }

// tooLate reports whether a request that is complete now could be answered only after the end.
func (s *stop) tooLate(now, deadline time.Time) bool {
	return !now.Before(s.lastRequest) && (deadline.IsZero() || s.end.Before(deadline))
}

// limitToStop bounds the deadline to the end of a stop. It is called when the body has
// been read, which may take long. The error is of kind Leaving.
func (t *task) limitToStop(now time.Time) error {
	s := t.relay.stop.Load()
	if s == nil {
		return nil
	}
	if s.tooLate(now, t.deadline) {
		return yuccaerror.NewRetryAfter(leavingRetryDelay, yuccaerror.Leaving, "entry exits before the deadline of the request")
	}
	t.limitDeadline(s.end)
	return nil
}
