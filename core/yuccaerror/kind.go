// Package yuccaerror holds the closed list of error kinds and the one table
// that says how each kind is answered, logged, counted and turned into an exit
// code.
//
// Use New or Wrap where an error is first understood, and KindOf where it is
// answered:
//
//	if err != nil {
//		return yuccaerror.Wrap(yuccaerror.Unreachable, err)
//	}
package yuccaerror

import (
	"errors"
	"fmt"
	"time"
)

// Kind is one member of the closed list of error kinds.
type Kind uint8

// The closed list. Every failure ends in exactly one of these.
const (
	// None means no failure.
	None Kind = iota
	// Malformed is a request that breaks HTTP's rules.
	Malformed
	// UnknownService is a request for a service that no rule names.
	UnknownService
	// Unready is an instance that has no rules yet.
	Unready
	// Shed is a request refused because the budget for its service is used up.
	Shed
	// NoServer is a service without a server that may take the request.
	NoServer
	// ExpiredBeforeSend is a deadline that passed before anything was sent.
	ExpiredBeforeSend
	// ExpiredAfterSend is a deadline that passed after the request may have run.
	ExpiredAfterSend
	// Unreachable is a server that could not be connected to.
	Unreachable
	// Broken is a connection that failed after the request may have run.
	Broken
	// Canceled is a request whose caller hung up.
	Canceled
	// Poison is a request that is quarantined because servers died running it.
	Poison
	// KeyInProgress is an idempotency key whose first request has not ended.
	KeyInProgress
	// ReplayUnavailable is an idempotency key whose first answer is no longer held.
	ReplayUnavailable
	// KeyMismatch is an idempotency key sent again with another request.
	KeyMismatch
	// Throttled is an idempotency key that could not be claimed.
	Throttled
	// KeyStateUnknown is an idempotency key of which nobody can say at present whether
	// it was used before.
	KeyStateUnknown
	// Large is a request whose headers or key exceed a limit.
	Large
	// Leaving is an instance that is stopping and takes no new work.
	Leaving
	// PlatformUnavailable is an object API that did not answer.
	PlatformUnavailable
	// WriteConflict is a conditional update that lost to another writer.
	WriteConflict
	// Missing is an object that does not exist.
	Missing
	// HistoryExpired is a change that the platform no longer remembers.
	HistoryExpired
	// Invalid is a rules file or settings file with faults.
	Invalid
	// Usage is a command line that cannot be understood.
	Usage
	// Protocol is a peer that sent something that cannot be understood.
	Protocol
	// Internal is a defect in the program.
	Internal

	kinds
)

// RunStatus says whether a request may have run on a backend server.
type RunStatus string

// The two values of the Yucca-Run header.
const (
	NotRun     RunStatus = "no"
	MayHaveRun RunStatus = "maybe"
)

// Level is the severity at which a kind is logged.
type Level uint8

// The severities, from quiet to loud.
const (
	LevelDebug Level = iota
	LevelInfo
	LevelWarn
	LevelError
)

// Attributes is what the table holds for one kind.
type Attributes struct {
	// Name is the metric label and the value of the Yucca-Error header.
	Name string
	// Status is the HTTP status of the answer.
	Status int
	// Ran is the value of the Yucca-Run header.
	Ran RunStatus
	// RetryAfter is the base of the Retry-After header; zero leaves it out.
	RetryAfter time.Duration
	// Level is the severity of the log line.
	Level Level
	// Exit is the exit code of a command that ends in this kind.
	Exit int
}

// The exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitUnreachable = 3
)

var table = [kinds]Attributes{
	None:                {"none", 200, NotRun, 0, LevelDebug, ExitOK},
	Malformed:           {"malformed", 400, NotRun, 0, LevelInfo, ExitFailure},
	UnknownService:      {"unknown", 404, NotRun, 0, LevelInfo, ExitFailure},
	Unready:             {"unready", 503, NotRun, 2 * time.Second, LevelWarn, ExitUnreachable},
	Shed:                {"shed", 503, NotRun, 2 * time.Second, LevelInfo, ExitFailure},
	NoServer:            {"empty", 503, NotRun, 3 * time.Second, LevelWarn, ExitFailure},
	ExpiredBeforeSend:   {"expired", 504, NotRun, 0, LevelInfo, ExitFailure},
	ExpiredAfterSend:    {"overdue", 504, MayHaveRun, 0, LevelInfo, ExitFailure},
	Unreachable:         {"unreachable", 503, NotRun, time.Second, LevelWarn, ExitUnreachable},
	Broken:              {"broken", 502, MayHaveRun, 0, LevelWarn, ExitFailure},
	Canceled:            {"canceled", 499, MayHaveRun, 0, LevelInfo, ExitFailure},
	Poison:              {"poison", 422, MayHaveRun, 0, LevelWarn, ExitFailure},
	KeyInProgress:       {"running", 409, MayHaveRun, 0, LevelInfo, ExitFailure},
	ReplayUnavailable:   {"spent", 409, MayHaveRun, 0, LevelInfo, ExitFailure},
	KeyMismatch:         {"conflict", 422, NotRun, 0, LevelInfo, ExitFailure},
	Throttled:           {"unclaimed", 503, NotRun, 2 * time.Second, LevelWarn, ExitFailure},
	KeyStateUnknown:     {"unsettled", 503, MayHaveRun, 2 * time.Second, LevelWarn, ExitUnreachable},
	Large:               {"large", 431, NotRun, 0, LevelInfo, ExitFailure},
	Leaving:             {"leaving", 503, NotRun, time.Second, LevelInfo, ExitFailure},
	PlatformUnavailable: {"platform", 503, NotRun, 2 * time.Second, LevelWarn, ExitUnreachable},
	WriteConflict:       {"raced", 409, NotRun, 0, LevelInfo, ExitFailure},
	Missing:             {"missing", 404, NotRun, 0, LevelDebug, ExitFailure},
	HistoryExpired:      {"forgotten", 410, NotRun, 0, LevelInfo, ExitFailure},
	Invalid:             {"refused", 400, NotRun, 0, LevelInfo, ExitFailure},
	Usage:               {"usage", 400, NotRun, 0, LevelInfo, ExitUsage},
	Protocol:            {"protocol", 400, NotRun, 0, LevelWarn, ExitFailure},
	Internal:            {"internal", 500, MayHaveRun, 0, LevelError, ExitFailure},
}

// Attributes returns the table's row for the kind. A value outside the list gets the
// row of Internal.
func (k Kind) Attributes() Attributes {
	if k >= kinds {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name as it appears in headers, logs and metrics.
func (k Kind) String() string { return k.Attributes().Name }

// Kinds returns every member of the list but None.
func Kinds() []Kind {
	all := make([]Kind, 0, kinds-1)
	for k := None + 1; k < kinds; k++ {
		all = append(all, k)
	}
	return all
}

// Error is an error with its kind.
type Error struct {
	Kind Kind
	Err  error
	// RetryAfter is when trying again may help; zero means that it is not known.
	RetryAfter time.Duration
}

// Error returns the kind's name followed by the cause.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error of the given kind with a formatted cause.
func New(k Kind, format string, args ...any) error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...)}
}

// NewRetryAfter is New for a failure of which it is known when it may be over.
func NewRetryAfter(after time.Duration, k Kind, format string, args ...any) error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...), RetryAfter: after}
}

// RetryAfter returns when trying again may help, zero when that is not known.
func RetryAfter(err error) time.Duration {
	var known *Error
	if errors.As(err, &known) {
		return known.RetryAfter
	}
	return 0
}

// Wrap gives err a kind. It returns nil when err is nil, and err unchanged when
// it has a kind already.
func Wrap(k Kind, err error) error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return err
	}
	return &Error{Kind: k, Err: err}
}

// KindOf returns the kind of err: None for nil, Internal for an error that was
// never given one.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var known *Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return Internal
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool { return KindOf(err) == k }
