package yuccafake

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
)

// Net is an in-memory network of entries, in which a Bus connects one entry to
// the others. Make one with NewNet.
type Net struct {
	mu sync.Mutex
	// buses holds the bus of each entry by the entry's name.
	buses map[string]*Bus
	// unreachable holds the entries that no message reaches or leaves.
	unreachable map[string]bool
	// partitions holds the pairs of failure domains that cannot reach each other.
	partitions map[[2]string]bool
	// group waits for the published messages.
	group errgroup.Group
}

// NewNet returns a network without entries.
func NewNet() *Net {
	return &Net{buses: map[string]*Bus{}, unreachable: map[string]bool{}, partitions: map[[2]string]bool{}}
}

// Bus connects one entry to a Net. It implements yuccapeer.Bus.
type Bus struct {
	net      *Net
	domain   string
	name     string
	mu       sync.Mutex
	handlers map[string]yuccapeer.Handler
}

// Bus returns a new bus for the entry with the given name and no failure domain.
// It replaces the entry's earlier bus.
func (n *Net) Bus(name string) *Bus { return n.BusIn(name, "") }

// BusIn is Bus for an entry of the given failure domain. Every entry of a Net
// acts as a gateway between failure domains.
func (n *Net) BusIn(name, domain string) *Bus {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &Bus{net: n, name: name, domain: domain, handlers: map[string]yuccapeer.Handler{}}
	n.buses[name] = b
	return b
}

// SetDisconnected makes an entry unreachable when disconnected is true, and reachable again otherwise.
func (n *Net) SetDisconnected(name string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[name] = disconnected
}

// SetPartitioned separates two failure domains when cut is true, and lets them
// reach each other again otherwise.
func (n *Net) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}], n.partitions[[2]string{b, a}] = cut, cut
}

// Wait blocks until every published message has been handled.
func (n *Net) Wait() { _ = n.group.Wait() }

// lookup returns the bus of the entry to, or an error of kind Unreachable when the
// entry from cannot reach it.
func (n *Net) lookup(from, to string) (*Bus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.buses[to]
	if !ok || n.unreachable[from] || n.unreachable[to] || n.buses[from] != nil && n.partitions[[2]string{n.buses[from].domain, b.domain}] {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "no connection to entry %s", to)
	}
	return b, nil
}

// otherNames returns the sorted names of the entries with a bus that match
// accepts, without the given name.
func (n *Net) otherNames(name string, match func(*Bus) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for other, b := range n.buses {
		if other != name && match(b) {
			names = append(names, other)
		}
	}
	slices.Sort(names)
	return names
}

// Handle implements yuccapeer.Bus.
func (b *Bus) Handle(topic string, h yuccapeer.Handler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[topic] = h
}

// Publish implements yuccapeer.Bus.
func (b *Bus) Publish(topic string, body []byte) {
	b.publish(topic, body, func(*Bus) bool { return true })
}

// PublishToDomain sends a message to the entries of the same failure domain.
func (b *Bus) PublishToDomain(topic string, body []byte) {
	b.publish(topic, body, func(other *Bus) bool { return other.domain == b.domain })
}

// PublishToGateways sends a message to the entries of other failure domains.
func (b *Bus) PublishToGateways(topic string, body []byte) {
	b.publish(topic, body, func(other *Bus) bool { return other.domain != b.domain })
}

// IsGateway returns true: every entry passes messages between failure domains.
func (b *Bus) IsGateway() bool { return true }

// Connected returns the sorted names of the entries that can be reached.
func (b *Bus) Connected() []string {
	names := b.net.otherNames(b.name, func(*Bus) bool { return true })
	return slices.DeleteFunc(names, func(name string) bool {
		_, err := b.net.lookup(b.name, name)
		return err != nil
	})
}

// publish sends a message to each other entry with a bus that match accepts.
func (b *Bus) publish(topic string, body []byte, match func(*Bus) bool) {
	for _, name := range b.net.otherNames(b.name, match) {
		b.net.group.Go(func() error {
			_, _ = b.Call(context.Background(), name, topic, body)
			return nil
		})
	}
}

// Call implements yuccapeer.Bus.
func (b *Bus) Call(ctx context.Context, to, topic string, body []byte) ([]byte, error) {
	if len(body) > yuccapeer.MaxBodyBytes {
		return nil, yuccaerror.New(yuccaerror.TooLarge, "message on topic %s has %d bytes", topic, len(body))
	}
	other, err := b.net.lookup(b.name, to)
	if err != nil {
		return nil, err
	}
	other.mu.Lock()
	h, ok := other.handlers[topic]
	other.mu.Unlock()
	if !ok {
		return nil, yuccaerror.New(yuccaerror.Protocol, "entry %s has no handler for topic %s", to, topic)
	}
	reply, err := h(ctx, b.name, body)
	if err == nil && len(reply) > yuccapeer.MaxBodyBytes {
		return nil, yuccaerror.New(yuccaerror.TooLarge, "reply on topic %s has %d bytes", topic, len(reply))
	}
	return reply, err
}
