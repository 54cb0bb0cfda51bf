package yuccaerror

import "runtime/debug"

// Recover turns a panic into an error of kind Internal that contains the stack. It must be
// deferred. It limits the effect of a bug to the request or message whose handler defers it.
func Recover(err *error) {
	if p := recover(); p != nil {
		*err = New(Internal, "panic: %v, stack: %s", p, debug.Stack())
	}
}
