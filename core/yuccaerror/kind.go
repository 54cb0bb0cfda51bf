// Package yuccaerror defines the error kinds of the system. One table holds, for
// each kind, the HTTP response, the log level, the metric label and the exit code
// of a command.
//
// Use New or Wrap where the cause of an error is known, and KindOf where the error
// is handled:
//
//	conn, err := dial(addr)
//	if err != nil {
//		return yuccaerror.Wrap(yuccaerror.Unreachable, err)
//	}
//
//	status := yuccaerror.KindOf(err).Attributes().Status // 503
package yuccaerror

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the kind of an error. The zero value is None.
type Kind uint8

// The error kinds. The list is complete: every failure has exactly one of them.
const (
	// None means that there is no error.
	None Kind = iota
	// Malformed is a request that is not valid HTTP or has an invalid parameter.
	Malformed
	// UnknownService is a request that matches no configured service or route.
	UnknownService
	// Unauthorized is a request without the key of a client account, or with an unknown
	// one.
	Unauthorized
	// QuotaExceeded is a request above the quota of its client account.
	QuotaExceeded
	// Unready is an instance that has not received its rules or routes yet.
	Unready
	// Shed is a request rejected because the capacity for its service is used up.
	Shed
	// NoServer is a service without a backend server that may receive the request.
	NoServer
	// ExpiredBeforeSend is a deadline that passed before the request was sent to a
	// backend server.
	ExpiredBeforeSend
	// ExpiredAfterSend is a deadline that passed when the request may have run
	// already.
	ExpiredAfterSend
	// Unreachable is a server that does not accept a connection.
	Unreachable
	// ConnectionLost is a connection that failed when the request may have run already.
	ConnectionLost
	// Canceled is a request that ended because the client closed its connection.
	Canceled
	// Quarantined is a request in quarantine because servers crashed while they ran it.
	Quarantined
	// KeyInProgress is an idempotency key of a request that is still running.
	KeyInProgress
	// ReplayUnavailable is an idempotency key that was used before. The response of
	// that request is not stored, so it cannot be replayed.
	ReplayUnavailable
	// KeyMismatch is an idempotency key that was used for a different request.
	KeyMismatch
	// Throttled is a call to the platform that the local rate limit rejected, such
	// as the claim of an idempotency key.
	Throttled
	// KeyStateUnknown is an idempotency key for which the store cannot determine at
	// present whether it was used before.
	KeyStateUnknown
	// TooLarge is a request header, key, value or message that exceeds its size limit.
	TooLarge
	// Leaving is an instance that is stopping and accepts no new work.
	Leaving
	// PlatformUnavailable is a platform whose object API does not respond or returns
	// an unusable response.
	PlatformUnavailable
	// WriteConflict is a conditional update that failed because of another write.
	WriteConflict
	// NotFound is an object that does not exist.
	NotFound
	// HistoryExpired is a watch that starts before the oldest change in the
	// platform's history.
	HistoryExpired
	// Invalid is a rules file or settings file with errors in it.
	Invalid
	// Usage is an invalid command line.
	Usage
	// Protocol is a message from a peer that violates the protocol.
	Protocol
	// Internal is a bug in the program.
	Internal

	// kindCount is the number of kinds, None included.
	kindCount
)

// RunStatus says whether a request may have run on a backend server. It is the value
// of the Yucca-Run header.
type RunStatus string

const (
	// NotRun means that the request has not run on any backend server.
	NotRun RunStatus = "no"
	// MayHaveRun means that the request may have run on a backend server.
	MayHaveRun RunStatus = "maybe"
)

// Level is the severity at which an error is logged. Higher values are more severe.
type Level uint8

const (
	// LevelDebug is for errors that are part of normal operation.
	LevelDebug Level = iota
	// LevelInfo is for errors that need no attention.
	LevelInfo
	// LevelWarn is for errors that may need attention.
	LevelWarn
	// LevelError is for bugs in the program.
	LevelError
)

// Attributes holds the properties of one kind.
type Attributes struct {
	// Name is the metric label and the value of the Yucca-Error header.
	Name string
	// Status is the HTTP status of the response.
	Status int
	// RunStatus is the value of the Yucca-Run header.
	RunStatus RunStatus
	// RetryAfter is the base value of the Retry-After header. Zero means that the
	// response has no such header.
	RetryAfter time.Duration
	// Level is the severity of the log entry.
	Level Level
	// ExitCode is the exit code of a command that fails with this kind.
	ExitCode int
}

const (
	// ExitOK is the exit code of a command that succeeds.
	ExitOK = 0
	// ExitFailure is the exit code of a command that fails for any reason without a
	// code of its own.
	ExitFailure = 1
	// ExitUsage is the exit code for an invalid command line.
	ExitUsage = 2
	// ExitUnreachable is the exit code for a server or platform that cannot be
	// reached or is not ready.
	ExitUnreachable = 3
)

// table holds the attributes of each kind.
var table = [kindCount]Attributes{
	None:                {"none", 200, NotRun, 0, LevelDebug, ExitOK},
	Malformed:           {"malformed", 400, NotRun, 0, LevelInfo, ExitFailure},
	UnknownService:      {"unknown", 404, NotRun, 0, LevelInfo, ExitFailure},
	Unauthorized:        {"unauthorized", 401, NotRun, 0, LevelInfo, ExitFailure},
	QuotaExceeded:       {"quota", 429, NotRun, time.Second, LevelInfo, ExitFailure},
	Unready:             {"unready", 503, NotRun, 2 * time.Second, LevelWarn, ExitUnreachable},
	Shed:                {"shed", 503, NotRun, 2 * time.Second, LevelInfo, ExitFailure},
	NoServer:            {"empty", 503, NotRun, 3 * time.Second, LevelWarn, ExitFailure},
	ExpiredBeforeSend:   {"expired", 504, NotRun, 0, LevelInfo, ExitFailure},
	ExpiredAfterSend:    {"overdue", 504, MayHaveRun, 0, LevelInfo, ExitFailure},
	Unreachable:         {"unreachable", 503, NotRun, time.Second, LevelWarn, ExitUnreachable},
	ConnectionLost:      {"broken", 502, MayHaveRun, 0, LevelWarn, ExitFailure},
	Canceled:            {"canceled", 499, MayHaveRun, 0, LevelInfo, ExitFailure},
	Quarantined:         {"poison", 422, MayHaveRun, 0, LevelWarn, ExitFailure},
	KeyInProgress:       {"running", 409, MayHaveRun, 0, LevelInfo, ExitFailure},
	ReplayUnavailable:   {"spent", 409, MayHaveRun, 0, LevelInfo, ExitFailure},
	KeyMismatch:         {"conflict", 422, NotRun, 0, LevelInfo, ExitFailure},
	Throttled:           {"unclaimed", 503, NotRun, 2 * time.Second, LevelWarn, ExitFailure},
	KeyStateUnknown:     {"unsettled", 503, MayHaveRun, 2 * time.Second, LevelWarn, ExitUnreachable},
	TooLarge:            {"large", 431, NotRun, 0, LevelInfo, ExitFailure},
	Leaving:             {"leaving", 503, NotRun, time.Second, LevelInfo, ExitFailure},
	PlatformUnavailable: {"platform", 503, NotRun, 2 * time.Second, LevelWarn, ExitUnreachable},
	WriteConflict:       {"raced", 409, NotRun, 0, LevelInfo, ExitFailure},
	NotFound:            {"missing", 404, NotRun, 0, LevelDebug, ExitFailure},
	HistoryExpired:      {"forgotten", 410, NotRun, 0, LevelInfo, ExitFailure},
	Invalid:             {"refused", 400, NotRun, 0, LevelInfo, ExitFailure},
	Usage:               {"usage", 400, NotRun, 0, LevelInfo, ExitUsage},
	Protocol:            {"protocol", 400, NotRun, 0, LevelWarn, ExitFailure},
	Internal:            {"internal", 500, MayHaveRun, 0, LevelError, ExitFailure},
}

// Attributes returns the properties of the kind. An undefined kind has those of
// Internal.
func (k Kind) Attributes() Attributes {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name as it appears in headers, logs and metrics.
func (k Kind) String() string { return k.Attributes().Name }

// Kinds returns all kinds except None.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount-1)
	for k := None + 1; k < kindCount; k++ {
		all = append(all, k)
	}
	return all
}

// Error is an error with a kind.
type Error struct {
	// Kind is the kind of the error.
	Kind Kind
	// Err is the cause. It must not be nil.
	Err error
	// RetryAfter is the time after which a retry may succeed. Zero means unknown.
	RetryAfter time.Duration
}

// Error returns the name of the kind and the cause, separated by a colon.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error of kind k. The cause is formatted as by fmt.Errorf.
func New(k Kind, format string, args ...any) error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...)}
}

// NewRetryAfter is like New for an error that a retry may avoid after the given
// time.
func NewRetryAfter(after time.Duration, k Kind, format string, args ...any) error {
	return &Error{Kind: k, Err: fmt.Errorf(format, args...), RetryAfter: after}
}

// RetryAfter returns the time after which a retry may succeed, or zero if it is
// unknown.
func RetryAfter(err error) time.Duration {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.RetryAfter
	}
	return 0
}

// Wrap returns an error of kind k with the cause err. It returns nil if err is nil,
// and err itself if it already has a kind.
func Wrap(k Kind, err error) error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return err
	}
	return &Error{Kind: k, Err: err}
}

// KindOf returns the kind of err. It returns None if err is nil, and Internal if err
// has no kind.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}

// Is reports whether KindOf(err) is k.
func Is(err error, k Kind) bool { return KindOf(err) == k }
