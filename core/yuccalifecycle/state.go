// Package yuccalifecycle is the state machine of one proxied request. It
// decides when the request may be retried on another backend server, whether it
// may have run on one, and which response ends it. An attempt is one send of
// the request to a server.
//
// A State processes one event at a time and returns one command. It has no
// clock and no connection: the caller carries out the command and passes the
// outcome to Update as the next event.
//
//	l := yuccalifecycle.New(idempotent)
//	l, cmd := l.Update(yuccalifecycle.Admitted{})
//	for !cmd.Final() {
//		l, cmd = l.Update(perform(cmd))
//	}
package yuccalifecycle

import "yuccawell.example/core/yuccaerror"

// Phase is the progress of a request.
type Phase uint8

// Phases of a request, in order.
const (
	// Arrived means that the request was read from its caller.
	Arrived Phase = iota
	// Waiting means that a server is being chosen.
	Waiting
	// Chosen means that a server is chosen and no byte has been sent to it.
	Chosen
	// Sent means that a byte may have been sent to the server.
	Sent
	// Answered means that the response header has been read.
	Answered
	// Ended means that the response to the caller is complete or was aborted.
	Ended
)

// MaxAttempts is the largest number of servers that one request is sent to.
const MaxAttempts = 3

// MaxPicks is the largest number of servers that are chosen for one request,
// including those that could not be reached.
const MaxPicks = 5

// State is the state of one request. It is a value: Update returns the next
// one. Create the first one with New.
type State struct {
	// phase is the progress of the request.
	phase Phase
	// idempotent is set when running the request twice does no harm.
	idempotent bool
	// sent counts the attempts for which a byte may have been sent.
	sent int
	// declined counts the attempts that a server reported as not run.
	declined int
	// running counts the attempts that have not ended.
	running int
	// attempts counts the servers chosen for the request.
	attempts int
	// maxAttempts is the largest number of servers to send the request to.
	maxAttempts int
	// unreachable counts the servers that could not be connected to.
	unreachable int
	// last is the error of the previous attempt.
	last yuccaerror.Kind
}

// New returns the state of a request that has just arrived.
func New(idempotent bool) State { return State{idempotent: idempotent, maxAttempts: MaxAttempts} }

// WithMaxAttempts returns the state with the limit of servers to send the request to
// set to n, but at most MaxAttempts. Zero or less leaves the limit unchanged.
func (l State) WithMaxAttempts(n int) State {
	if n > 0 {
		l.maxAttempts = min(n, MaxAttempts)
	}
	return l
}

// Phase returns the progress of the request.
func (l State) Phase() Phase { return l.phase }

// MayHaveRun reports whether the request may have run on some server.
func (l State) MayHaveRun() bool { return l.sent > l.declined }

// Attempts returns the number of servers chosen for the request.
func (l State) Attempts() int { return l.attempts }

// MayRetry reports whether the request may be sent to another server.
func (l State) MayRetry() bool {
	return l.attempts-l.unreachable < l.maxAttempts && l.attempts < MaxPicks && (l.idempotent || !l.MayHaveRun())
}

// Event is something that happened to a request.
type Event interface{ isEvent() }

type (
	// Admitted reports that the request was accepted and needs a server.
	Admitted struct{}
	// Refused reports that the request was rejected before it was sent.
	Refused struct{ Kind yuccaerror.Kind }
	// Picked reports that a server was chosen.
	Picked struct{}
	// Hedged reports that a second server was chosen while the first attempt
	// runs.
	Hedged struct{}
	// SendStarted reports that from now on a byte of the request may reach the
	// server.
	SendStarted struct{}
	// Failed reports that the connection to the server failed.
	Failed struct {
		// Kind is the kind of error.
		Kind yuccaerror.Kind
		// WithinBudget is set when the retry budget allows another attempt.
		WithinBudget bool
	}
	// Declined reports that the server responded that it did not run the
	// request. WithinBudget is set when the retry budget allows another
	// attempt.
	Declined struct{ WithinBudget bool }
	// ResponseStarted reports that the response header of the server was read.
	ResponseStarted struct{}
	// TimedOut reports that the caller's deadline has passed.
	TimedOut struct{}
	// Disconnected reports that the caller closed its connection.
	Disconnected struct{}
	// Finished reports that the whole response was relayed.
	Finished struct{}
)

func (Admitted) isEvent()        {}
func (Refused) isEvent()         {}
func (Picked) isEvent()          {}
func (Hedged) isEvent()          {}
func (SendStarted) isEvent()     {}
func (Failed) isEvent()          {}
func (Declined) isEvent()        {}
func (ResponseStarted) isEvent() {}
func (TimedOut) isEvent()        {}
func (Disconnected) isEvent()    {}
func (Finished) isEvent()        {}

// Action is the next thing to do for a request.
type Action uint8

// Actions of a Command.
const (
	// Wait means that there is nothing to do until the next event.
	Wait Action = iota
	// Pick means that a server must be chosen that was not tried before.
	Pick
	// Connect means that a connection to the chosen server is needed.
	Connect
	// Relay means that the response of the server must be relayed to the
	// caller.
	Relay
	// ReplyError means that the request ends with an error response of the
	// proxy.
	ReplyError
	// Close means that the connection to the caller must be closed.
	Close
	// Done means that nothing is left to do.
	Done
)

// Command tells the caller of Update what to do.
type Command struct {
	// Action is what to do.
	Action Action
	// Kind is the kind of error for ReplyError and Close.
	Kind yuccaerror.Kind
	// Ran says, for ReplyError, whether the request may have run.
	Ran yuccaerror.RunStatus
}

// Final reports whether the command ends the request.
func (c Command) Final() bool { return c.Action == ReplyError || c.Action == Close || c.Action == Done }

// Update applies an event and returns the new state and what to do next.
func (l State) Update(m Event) (State, Command) {
	if l.phase == Ended {
		return l, Command{Action: Done}
	}
	switch m := m.(type) {
	case Admitted:
		l.phase = Waiting
		return l, Command{Action: Pick}
	case Picked:
		l.phase = Chosen
		l.attempts++
		l.running++
		return l, Command{Action: Connect}
	case Hedged:
		l.attempts++
		l.running++
		return l, Command{Action: Connect}
	case SendStarted:
		l.phase = max(l.phase, Sent)
		l.sent++
		return l, Command{}
	case ResponseStarted:
		l.phase = Answered
		return l, Command{Action: Relay}
	case Refused:
		return l.handleRefused(m)
	case Declined:
		return l.handleDeclined(m)
	case Failed:
		return l.handleFailed(m)
	case TimedOut:
		return l.handleTimeout()
	case Disconnected:
		return l.end(Command{Action: Close, Kind: yuccaerror.Canceled})
	case Finished:
		return l.end(Command{Action: Done})
	}
	return l.replyError(yuccaerror.Internal)
}

// handleRefused ends the request. If no further server is available, it replies
// with the error of the last attempt, which tells the caller more than the lack
// of a server.
func (l State) handleRefused(m Refused) (State, Command) {
	noServer := m.Kind == yuccaerror.NoServer || m.Kind == yuccaerror.Shed
	if noServer && l.last != yuccaerror.None {
		return l.replyError(l.last)
	}
	return l.replyError(m.Kind)
}

// handleDeclined counts the attempt as not run and retries where possible.
func (l State) handleDeclined(m Declined) (State, Command) {
	l.declined++
	return l.endAttempt(yuccaerror.Shed, m.WithinBudget)
}

func (l State) handleFailed(m Failed) (State, Command) {
	if l.phase == Answered {
		return l.end(Command{Action: Close, Kind: m.Kind})
	}
	if m.Kind == yuccaerror.Unreachable {
		l.unreachable++
	}
	return l.endAttempt(m.Kind, m.WithinBudget)
}

// endAttempt ends one attempt and requests another server if a retry is safe.
// If a hedged attempt is still running, the request continues with it.
func (l State) endAttempt(k yuccaerror.Kind, budget bool) (State, Command) {
	l.last = k
	l.running--
	if l.running > 0 {
		return l, Command{}
	}
	if budget && l.MayRetry() {
		l.phase = Waiting
		return l, Command{Action: Pick}
	}
	return l.replyError(k)
}

func (l State) handleTimeout() (State, Command) {
	switch {
	case l.phase == Answered:
		return l.end(Command{Action: Close, Kind: yuccaerror.ExpiredAfterSend})
	case l.MayHaveRun():
		return l.replyError(yuccaerror.ExpiredAfterSend)
	}
	return l.replyError(yuccaerror.ExpiredBeforeSend)
}

// replyError ends the request with an error response that states whether it may
// have run.
func (l State) replyError(k yuccaerror.Kind) (State, Command) {
	ran := k.Attributes().RunStatus
	if l.MayHaveRun() {
		ran = yuccaerror.MayHaveRun
	}
	return l.end(Command{Action: ReplyError, Kind: k, Ran: ran})
}

func (l State) end(c Command) (State, Command) {
	l.phase = Ended
	return l, c
}
