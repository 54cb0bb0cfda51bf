package yuccafake

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
)

// Net joins buses in memory. Make one with NewNet.
type Net struct {
	mu    sync.Mutex
	buses map[string]*Bus
	cut   map[string]bool
	parts map[[2]string]bool
	group errgroup.Group
}

// NewNet returns a net without buses.
func NewNet() *Net {
	return &Net{buses: map[string]*Bus{}, cut: map[string]bool{}, parts: map[[2]string]bool{}}
}

// Bus is one entry's end of a Net.
type Bus struct {
	net      *Net
	domain   string
	name     string
	mu       sync.Mutex
	handlers map[string]yuccapeer.Handler
}

// Bus returns a new bus for the entry with the given name, in place of any
// earlier one.
func (n *Net) Bus(name string) *Bus { return n.BusIn(name, "") }

// BusIn is Bus for an entry of the given failure domain. Every entry of a Net
// is a summarizer.
func (n *Net) BusIn(name, domain string) *Bus {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &Bus{net: n, name: name, domain: domain, handlers: map[string]yuccapeer.Handler{}}
	n.buses[name] = b
	return b
}

// Cut makes an entry unreachable, or reachable again.
func (n *Net) Cut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

// SetPartitioned keeps two failure domains from reaching each other, or joins them again.
func (n *Net) SetPartitioned(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parts[[2]string{a, b}], n.parts[[2]string{b, a}] = cut, cut
}

// Wait returns when every published message was handled.
func (n *Net) Wait() { _ = n.group.Wait() }

func (n *Net) find(from, to string) (*Bus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.buses[to]
	if !ok || n.cut[from] || n.cut[to] || n.buses[from] != nil && n.parts[[2]string{n.buses[from].domain, b.domain}] {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "entry %s", to)
	}
	return b, nil
}

// others returns the buses that keep tells of, but for that of name.
func (n *Net) others(name string, keep func(*Bus) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for other, b := range n.buses {
		if other != name && keep(b) {
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

// IsGateway reports that the entry passes messages between failure domains.
func (b *Bus) IsGateway() bool { return true }

// Connected returns the names of the entries that can be reached, in order.
func (b *Bus) Connected() []string {
	names := b.net.others(b.name, func(*Bus) bool { return true })
	return slices.DeleteFunc(names, func(name string) bool {
		_, err := b.net.find(b.name, name)
		return err != nil
	})
}

func (b *Bus) publish(topic string, body []byte, keep func(*Bus) bool) {
	for _, name := range b.net.others(b.name, keep) {
		b.net.group.Go(func() error {
			_, _ = b.Call(context.Background(), name, topic, body)
			return nil
		})
	}
}

// Call implements yuccapeer.Bus.
func (b *Bus) Call(ctx context.Context, to, topic string, body []byte) ([]byte, error) {
	other, err := b.net.find(b.name, to)
	if err != nil {
		return nil, err
	}
	other.mu.Lock()
	h, ok := other.handlers[topic]
	other.mu.Unlock()
	if !ok {
		return nil, yuccaerror.New(yuccaerror.Protocol, "entry %s has no topic %s", to, topic)
	}
	return h(ctx, b.name, body)
}
