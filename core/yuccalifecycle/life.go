// Package yuccalifecycle decides what happens to one request: when it may be sent
// again, when it may have run on a backend server and how it ends.
//
// A State takes one message at a time and answers with one command. It has no
// clock and no connection, so the caller carries commands out and feeds back
// what came of them:
//
//	l := yuccalifecycle.New(idempotent)
//	l, cmd := l.Update(yuccalifecycle.Admitted{})
//	for !cmd.Final() {
//		l, cmd = l.Update(perform(cmd))
//	}
package yuccalifecycle

import "yuccawell.example/core/yuccaerror"

// Phase is how far a request has come.
type Phase uint8

// The phases, in order.
const (
	// Arrived means the request was read from its caller.
	Arrived Phase = iota
	// Waiting means a server is being chosen.
	Waiting
	// Chosen means a server is chosen and no byte has been sent to it.
	Chosen
	// Sent means a byte may have left for the server.
	Sent
	// Answered means the answer's head has been read.
	Answered
	// Ended means the caller has its answer or never will.
	Ended
)

// MaxTries is how many servers one request is sent to at the most.
const MaxTries = 3

// MaxPicks is how many servers are chosen for one request at the most, those
// that could not be reached included.
const MaxPicks = 5

// State is the state of one request.
type State struct {
	phase      Phase
	idempotent bool
	// sent counts the tries of which a byte may have left, declined those that
	// a server said it did not run.
	sent, declined int
	// running counts the tries that have not ended.
	running int
	tries   int
	// limit is how many servers the request may be sent to, missed counts those
	// that it could not be sent to.
	limit, missed int
	// last is how the try before this one failed.
	last yuccaerror.Kind
}

// New returns the life of a request that has just arrived.
func New(idempotent bool) State { return State{idempotent: idempotent, limit: MaxTries} }

// WithTries returns the life of a request that may be sent to n servers at the
// most; zero leaves it at MaxTries.
func (l State) WithTries(n int) State {
	if n > 0 {
		l.limit = min(n, MaxTries)
	}
	return l
}

// Phase returns how far the request has come.
func (l State) Phase() Phase { return l.phase }

// MayHaveRun reports whether the request may have run on some server.
func (l State) MayHaveRun() bool { return l.sent > l.declined }

// Tries returns how many servers the request was given to.
func (l State) Tries() int { return l.tries }

// Repeatable reports whether the request may be given to another server.
func (l State) Repeatable() bool {
	return l.tries-l.missed < l.limit && l.tries < MaxPicks && (l.idempotent || !l.MayHaveRun())
}

// Event is something that happened to a request.
type Event interface{ message() }

type (
	// Admitted says that the request may go on.
	Admitted struct{}
	// Refused says that the request was turned away before it was sent.
	Refused struct{ Kind yuccaerror.Kind }
	// Picked says that a server was chosen.
	Picked struct{}
	// Hedged says that a second server was chosen while the first works.
	Hedged struct{}
	// SendStarted says that a byte of the request may leave for the server.
	SendStarted struct{}
	// Failed says that the connection to the server is of no more use. WithinBudget
	// says that another try is within the retry budget.
	Failed struct {
		Kind         yuccaerror.Kind
		WithinBudget bool
	}
	// Declined says that the server answered that it did not run the request.
	Declined struct{ WithinBudget bool }
	// ResponseStarted says that the head of the server's answer was read.
	ResponseStarted struct{}
	// TimedOut says that the caller's deadline has passed.
	TimedOut struct{}
	// Disconnected says that the caller is gone.
	Disconnected struct{}
	// Finished says that the answer was passed on whole.
	Finished struct{}
)

func (Admitted) message()        {}
func (Refused) message()         {}
func (Picked) message()          {}
func (Hedged) message()          {}
func (SendStarted) message()     {}
func (Failed) message()          {}
func (Declined) message()        {}
func (ResponseStarted) message() {}
func (TimedOut) message()        {}
func (Disconnected) message()    {}
func (Finished) message()        {}

// Action is what has to be done next for a request.
type Action uint8

// The actions.
const (
	// Wait means that the request goes on as it is.
	Wait Action = iota
	// Pick means that a server has to be chosen that was not tried before.
	Pick
	// Connect means that a connection to the chosen server is needed.
	Connect
	// Relay means that the server's answer has to be passed on.
	Relay
	// ReplyError means that the request ends in an answer of the system's own.
	ReplyError
	// Close means that the connection to the caller has to be closed.
	Close
	// Done means that nothing is left to do.
	Done
)

// Command is an action and, for ReplyError, the kind of error and whether the
// request may have run.
type Command struct {
	Action Action
	Kind   yuccaerror.Kind
	Ran    yuccaerror.RunStatus
}

// Final reports whether the command ends the request.
func (c Command) Final() bool { return c.Action == ReplyError || c.Action == Close || c.Action == Done }

// Update takes what happened and returns the new state and what to do.
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
		l.tries++
		l.running++
		return l, Command{Action: Connect}
	case Hedged:
		l.tries++
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
		return l.refused(m)
	case Declined:
		return l.decline(m)
	case Failed:
		return l.failed(m)
	case TimedOut:
		return l.timedOut()
	case Disconnected:
		return l.end(Command{Action: Close, Kind: yuccaerror.Canceled})
	case Finished:
		return l.end(Command{Action: Done})
	}
	return l.answer(yuccaerror.Internal)
}

// refused answers with how the last try failed when there is no further server:
// that says more than the lack of one.
func (l State) refused(m Refused) (State, Command) {
	lacking := m.Kind == yuccaerror.NoServer || m.Kind == yuccaerror.Shed
	if lacking && l.last != yuccaerror.None {
		return l.answer(l.last)
	}
	return l.answer(m.Kind)
}

// decline takes back the mark of one try: the server said that it did not run
// the request.
func (l State) decline(m Declined) (State, Command) {
	l.declined++
	return l.again(yuccaerror.Shed, m.WithinBudget)
}

func (l State) failed(m Failed) (State, Command) {
	if l.phase == Answered {
		return l.end(Command{Action: Close, Kind: m.Kind})
	}
	if m.Kind == yuccaerror.Unreachable {
		l.missed++
	}
	return l.again(m.Kind, m.WithinBudget)
}

// again ends one try and asks for another server where that is safe. A try that
// is still running goes on alone.
func (l State) again(k yuccaerror.Kind, budget bool) (State, Command) {
	l.last = k
	l.running--
	if l.running > 0 {
		return l, Command{}
	}
	if budget && l.Repeatable() {
		l.phase = Waiting
		return l, Command{Action: Pick}
	}
	return l.answer(k)
}

func (l State) timedOut() (State, Command) {
	switch {
	case l.phase == Answered:
		return l.end(Command{Action: Close, Kind: yuccaerror.ExpiredAfterSend})
	case l.MayHaveRun():
		return l.answer(yuccaerror.ExpiredAfterSend)
	}
	return l.answer(yuccaerror.ExpiredBeforeSend)
}

// answer ends the request with an answer that is true of whether it ran.
func (l State) answer(k yuccaerror.Kind) (State, Command) {
	ran := k.Attributes().Ran
	if l.MayHaveRun() {
		ran = yuccaerror.MayHaveRun
	}
	return l.end(Command{Action: ReplyError, Kind: k, Ran: ran})
}

func (l State) end(c Command) (State, Command) {
	l.phase = Ended
	return l, c
}
