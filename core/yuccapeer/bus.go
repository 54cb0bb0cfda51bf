// Package yuccapeer carries messages between the entries of the system.
package yuccapeer

import "context"

// Handler takes a message from another entry and returns the reply. Its error's
// kind is passed back to the sender.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Bus is what the services of an entry use to talk to those of the same name on
// other entries. Messages are small; a body of more than MaxBody bytes is
// refused with an error of kind Large.
type Bus interface {
	// Handle registers what answers a topic. Call it before the bus starts.
	Handle(topic string, h Handler)
	// Publish sends a message to every entry that can be reached. It does not
	// wait and promises nothing.
	Publish(topic string, body []byte)
	// Call sends a message to one entry and waits for its reply. The error is
	// of kind Unreachable when the message certainly did not arrive, Broken
	// when it may have arrived, or of the kind that the handler returned.
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// MaxBody is the largest message body in bytes.
const MaxBody = 256 << 10
