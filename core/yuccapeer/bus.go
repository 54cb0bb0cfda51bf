// Package yuccapeer carries messages between the entries (proxy instances) of
// the system, either as calls with a reply or as published messages to all
// entries.
//
// Peers implements Bus over TCP: two entries share one session, a connection
// with yamux streams on it. Published frames and heartbeats use the first
// stream, each call a stream of its own. Both sides send a Hello first and
// agree on a protocol version.
//
// An entry keeps sessions to all entries of its own failure domain. In each
// failure domain, GatewaysPerDomain entries are gateways, chosen by rendezvous
// hash, the strong entries first; they also keep sessions to the gateways of all
// other domains and forward published messages between the domains. Calls go
// directly to the entry that they are for; a session is opened if there is none.
//
// A service registers its handler before the bus starts:
//
//	peers.Handle("greeting", func(ctx context.Context, from string, body []byte) ([]byte, error) {
//		return []byte("hello " + from), nil
//	})
//	reply, err := peers.Call(ctx, "entry-2", "greeting", nil)
package yuccapeer

import "context"

// Handler handles a message from another entry and returns the reply. Only the
// kind of its error is returned to the sender.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Bus lets the services of an entry exchange messages with the services that
// handle the same topic on other entries. Bodies have at most MaxBodyBytes bytes.
type Bus interface {
	// Handle registers the handler of a topic. Call it before the bus starts.
	Handle(topic string, h Handler)
	// Publish sends a message to every entry that can be reached. It does not
	// wait and does not guarantee delivery. A body that is too large is logged
	// and dropped.
	Publish(topic string, body []byte)
	// Call sends a message to one entry and waits for its reply. The error is
	// of kind Unreachable when the message certainly did not arrive, ConnectionLost
	// when it may have arrived, TooLarge when a body is too large, else of the
	// kind that the handler returned.
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// MaxBodyBytes is the size of the largest message body in bytes.
const MaxBodyBytes = 256 << 10
