package yuccafake

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccafault"
	"yuccawell.example/core/yuccapeer"
)

// Net joins buses in memory. Make one with NewNet.
type Net struct {
	mu    sync.Mutex
	buses map[string]*Bus
	cut   map[string]bool
	group errgroup.Group
}

// NewNet returns a net without buses.
func NewNet() *Net {
	return &Net{buses: map[string]*Bus{}, cut: map[string]bool{}}
}

// Bus is one entry's end of a Net.
type Bus struct {
	net      *Net
	name     string
	mu       sync.Mutex
	handlers map[string]yuccapeer.Handler
}

// Bus returns a new bus for the entry with the given name, in place of any
// earlier one.
func (n *Net) Bus(name string) *Bus {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &Bus{net: n, name: name, handlers: map[string]yuccapeer.Handler{}}
	n.buses[name] = b
	return b
}

// Cut makes an entry unreachable, or reachable again.
func (n *Net) Cut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

// Wait returns when every published message was handled.
func (n *Net) Wait() { _ = n.group.Wait() }

func (n *Net) find(from, to string) (*Bus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.buses[to]
	if !ok || n.cut[from] || n.cut[to] {
		return nil, yuccafault.New(yuccafault.Unreachable, "entry %s", to)
	}
	return b, nil
}

func (n *Net) others(name string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for other := range n.buses {
		if other != name {
			names = append(names, other)
		}
	}
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
	for _, name := range b.net.others(b.name) {
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
		return nil, yuccafault.New(yuccafault.Protocol, "entry %s has no topic %s", to, topic)
	}
	return h(ctx, b.name, body)
}
