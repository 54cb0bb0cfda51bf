package yuccapeer

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccastore"
)

const (
	// DefaultInterval is how often an entry with few peers sends something to
	// each.
	DefaultInterval = time.Second
	// sessionsPerInterval is after how many sessions the interval grows by
	// itself, so that the bytes of an entry per second stay bounded.
	sessionsPerInterval = 32
	maxSessions         = 2048
)

// Settings says who the entry is and where it listens.
type Settings struct {
	Name   string
	Domain string
	// Addr is the address to listen on as host:port.
	Addr string
	// Incarnation rises with every run under the same name.
	Incarnation uint64
	// Seeds are addresses of peers to try while none is known.
	Seeds []string
	// Interval is how often an entry with few peers sends something to each.
	Interval time.Duration
}

// Peers is the Bus between the entries. Make one with New.
type Peers struct {
	set      Settings
	log      zerolog.Logger
	socket   net.Listener
	handlers map[string]Handler

	mu       sync.Mutex
	view     []yuccastore.Instance
	mesh     mesh
	sessions map[string]*session
	targets  map[string]*target
	seen     *seen
	seq      atomic.Uint64
	dropped  atomic.Uint64
	counter  counter

	group  errgroup.Group
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a bus without peers. Register handlers before it starts and tell
// it of the entries with Update.
func New(set Settings, log zerolog.Logger) *Peers {
	set.Interval = cmp.Or(set.Interval, DefaultInterval)
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{
		set:      set,
		ctx:      ctx,
		cancel:   cancel,
		log:      log,
		handlers: map[string]Handler{},
		mesh:     newMesh(set.Name, set.Domain, nil, nil),
		sessions: map[string]*session{},
		targets:  map[string]*target{},
		seen:     newSeen(),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

// Start implements yuccakernel.Service.
func (p *Peers) Start(ctx context.Context, group *errgroup.Group) error {
	l, err := net.Listen("tcp", p.set.Addr)
	if err != nil {
		return err
	}
	p.socket = l
	context.AfterFunc(ctx, p.cancel)
	p.group.Go(p.listen)
	p.group.Go(p.connect)
	group.Go(func() error {
		defer close(p.done)
		return p.group.Wait()
	})
	return nil
}

// Stop implements yuccakernel.Service.
func (p *Peers) Stop(context.Context) error {
	p.cancel()
	_ = p.socket.Close()
	for _, s := range p.all() {
		s.close()
	}
	return nil
}

// Done implements yuccakernel.Service.
func (p *Peers) Done() <-chan struct{} { return p.done }

// Addr returns the address it listens on, with the port filled in after Start.
func (p *Peers) Addr() string { return p.socket.Addr().String() }

// Handle implements Bus. The handler of a published message must not block,
// since the messages of one peer are handled in turn.
func (p *Peers) Handle(topic string, h Handler) { p.handlers[topic] = h }

// Update tells which entries exist.
func (p *Peers) Update(entries []yuccastore.Instance) {
	p.mu.Lock()
	p.view = slices.Clone(entries)
	p.mu.Unlock()
	p.rewire()
}

// Connected returns the names of the entries with an open session, in order.
func (p *Peers) Connected() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.sessions))
	for name := range p.sessions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Dropped returns how many messages were not sent because a peer took them too
// slowly.
func (p *Peers) Dropped() uint64 { return p.dropped.Load() }

// Publish implements Bus. Members of the entry's failure domain get the message
// directly, those of other domains through their summarizers.
func (p *Peers) Publish(topic string, body []byte) {
	f := p.frame(topic, body)
	if f == nil {
		return
	}
	p.mu.Lock()
	m := p.mesh
	p.mu.Unlock()
	f.Forward = Forward_FORWARD_TO_GATEWAYS
	p.fan(m.near, f)
	f.Forward = Forward_FORWARD_TO_DOMAIN
	p.fan(m.far, f)
}

// PublishToDomain sends a message to the members of the entry's failure domain.
func (p *Peers) PublishToDomain(topic string, body []byte) {
	if f := p.frame(topic, body); f != nil {
		p.mu.Lock()
		m := p.mesh
		p.mu.Unlock()
		p.fan(m.near, f)
	}
}

// PublishToGateways sends a message to the summarizers of other domains, and to no
// one from an entry that is not a summarizer itself.
func (p *Peers) PublishToGateways(topic string, body []byte) {
	if f := p.frame(topic, body); f != nil {
		p.mu.Lock()
		m := p.mesh
		p.mu.Unlock()
		p.fan(m.far, f)
	}
}

// IsGateway reports whether the entry passes messages between its failure
// domain and the others.
func (p *Peers) IsGateway() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mesh.summarizer
}

func (p *Peers) frame(topic string, body []byte) *Frame {
	if len(body) > MaxBody {
		p.log.Error().Str("topic", topic).Int("bytes", len(body)).Msg("message_too_large")
		return nil
	}
	return &Frame{Topic: topic, Body: body, Origin: p.set.Name, Incarnation: p.set.Incarnation, Seq: p.seq.Add(1)}
}

// fan queues a message for every given peer that has a session.
func (p *Peers) fan(to map[string]string, f *Frame) {
	if len(to) == 0 {
		return
	}
	body := encode(f)
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range to {
		s, ok := p.sessions[name]
		if !ok || name == f.Origin {
			continue
		}
		select {
		case s.out <- body:
		default:
			p.dropped.Add(1)
		}
	}
}

// Call implements Bus.
func (p *Peers) Call(ctx context.Context, to, topic string, body []byte) ([]byte, error) {
	if len(body) > MaxBody {
		return nil, yuccaerror.New(yuccaerror.Large, "message on %s has %d bytes", topic, len(body))
	}
	s, err := p.session(ctx, to)
	if err != nil {
		return nil, err
	}
	return s.call(ctx, &Frame{Topic: topic, Body: body, Origin: p.set.Name})
}

// published implements receiver.
func (p *Peers) published(f *Frame) {
	p.mu.Lock()
	first := f.Origin != p.set.Name && p.seen.first(f.Origin, f.Incarnation, f.Seq)
	to, reach := p.mesh.onward(f.Forward)
	p.mu.Unlock()
	if !first {
		return
	}
	if h, ok := p.handlers[f.Topic]; ok {
		ctx, cancel := context.WithTimeout(p.ctx, requestTimeout)
		_, _ = h(ctx, f.Origin, f.Body)
		cancel()
	}
	f.Forward, f.MaxIntervalMs = reach, 0
	p.fan(to, f)
}

// requested implements receiver.
func (p *Peers) requested(ctx context.Context, s *session, f *Frame) *Frame {
	h, ok := p.handlers[f.Topic]
	if !ok {
		return &Frame{Kind: yuccaerror.Protocol.String()}
	}
	body, err := h(ctx, s.peer.Name, f.Body)
	switch {
	case err != nil:
		return &Frame{Kind: yuccaerror.KindOf(err).String()}
	case len(body) > MaxBody:
		return &Frame{Kind: yuccaerror.Large.String()}
	}
	return &Frame{Body: body}
}

// interval implements receiver.
func (p *Peers) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return HeartbeatInterval(p.set.Interval, len(p.sessions))
}

// HeartbeatInterval is how often an entry with that many sessions sends something on
// each.
func HeartbeatInterval(base time.Duration, sessions int) time.Duration {
	return base * time.Duration(1+sessions/sessionsPerInterval)
}

func (p *Peers) all() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*session, 0, len(p.sessions))
	for _, s := range p.sessions {
		all = append(all, s)
	}
	return all
}
