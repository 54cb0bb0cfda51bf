package yuccaerror

import "runtime/debug"

// Recover, when deferred, turns a panic into an error of kind Internal that contains the
// stack. It bounds a bug to the request or message whose handler it is deferred in.
func Recover(err *error) {
	if p := recover(); p != nil {
		*err = New(Internal, "panic: %v, stack: %s", p, debug.Stack())
	}
}
