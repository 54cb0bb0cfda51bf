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
	"yuccawell.example/core/yuccasocket"
	"yuccawell.example/core/yuccastore"
)

const (
	// DefaultHeartbeatInterval is the default of Settings.HeartbeatInterval.
	DefaultHeartbeatInterval = time.Second
	// sessionsPerIntervalStep is the number of sessions for which the heartbeat
	// interval grows by one base interval, so that an entry with many sessions
	// sends a bounded number of heartbeat bytes per second.
	sessionsPerIntervalStep = 32
	// maxSessions limits the accepted connections that are open at a time.
	maxSessions = 2048
)

// Settings identify the entry and say where it listens.
type Settings struct {
	// Name is the entry's name, which is unique in the system.
	Name string
	// Domain is the entry's failure domain.
	Domain string
	// Addr is the address to listen on, as host:port.
	Addr string
	// Incarnation is higher in each run of the entry than in the runs before.
	Incarnation uint64
	// Seeds are addresses of peers that the entry dials while it has no
	// session.
	Seeds []string
	// HeartbeatInterval is the heartbeat interval of an entry with few sessions, by
	// default DefaultHeartbeatInterval; see the function HeartbeatInterval.
	HeartbeatInterval time.Duration
}

// Peers is the Bus between the entries. Create one with New. It implements
// yuccakernel.Service.
type Peers struct {
	// settings are those given to New, with defaults.
	settings Settings
	// log receives the events of the bus.
	log zerolog.Logger
	// listener accepts the connections of peers; nil before Start.
	listener net.Listener
	// handlers maps a topic to its handler. It does not change after Start.
	handlers map[string]Handler

	// mu guards the fields from entries to duplicates.
	mu sync.Mutex
	// entries are the known entries, as given to Update.
	entries []yuccastore.Instance
	// strong holds the names of the entries that are chosen as gateways before others.
	strong map[string]bool
	// unlisted maps the name of an entry that the list lacks to what its Hello said.
	unlisted map[string]unlistedPeer
	// mesh is derived from entries, unlisted and the state of the sessions and dials.
	mesh mesh
	// sessions maps the name of a peer to the open session.
	sessions map[string]*session
	// targets maps the name of a peer, or a seed address, to its dial state.
	targets map[string]*target
	// duplicates recognizes published messages that arrive more than once.
	duplicates *duplicateFilter
	// seq is the sequence number of the last message from this entry.
	seq atomic.Uint64
	// dropped is the counter that Dropped returns.
	dropped atomic.Uint64
	// traffic counts the bytes of all sessions.
	traffic trafficCounter

	// group contains the goroutines of the bus.
	group errgroup.Group
	// meshChanged has a value when the mesh has changed since the last dials.
	meshChanged chan struct{}
	// ctx ends when the bus stops.
	ctx context.Context
	// cancel ends ctx.
	cancel context.CancelFunc
	// done is closed when all goroutines of the bus have ended.
	done chan struct{}
}

// New returns a bus that knows no peers. Register the handlers before it
// starts, and pass it the list of entries with Update.
func New(settings Settings, log zerolog.Logger) *Peers {
	settings.HeartbeatInterval = cmp.Or(settings.HeartbeatInterval, DefaultHeartbeatInterval)
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{
		settings:    settings,
		ctx:         ctx,
		cancel:      cancel,
		log:         log,
		handlers:    map[string]Handler{},
		unlisted:    map[string]unlistedPeer{},
		mesh:        newMesh(settings.Name, settings.Domain, nil, gatewayRule{}),
		sessions:    map[string]*session{},
		targets:     map[string]*target{},
		duplicates:  newDuplicateFilter(),
		meshChanged: make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
}

// Start implements yuccakernel.Service.
func (p *Peers) Start(ctx context.Context, group *errgroup.Group) error {
	l, err := net.Listen("tcp", p.settings.Addr)
	if err != nil {
		return err
	}
	p.listener = yuccasocket.NewListener(l, l.Addr().String(), p.log)
	context.AfterFunc(ctx, p.cancel)
	p.group.Go(p.listen)
	p.group.Go(p.maintainSessions)
	group.Go(func() error {
		defer close(p.done)
		return p.group.Wait()
	})
	return nil
}

// Stop implements yuccakernel.Service.
func (p *Peers) Stop(context.Context) error {
	p.cancel()
	_ = p.listener.Close()
	for _, s := range p.allSessions() {
		s.close()
	}
	return nil
}

// Done implements yuccakernel.Service.
func (p *Peers) Done() <-chan struct{} { return p.done }

// Addr returns the address that the bus listens on, with the actual port. Call
// it after Start.
func (p *Peers) Addr() string { return p.listener.Addr().String() }

// Handle implements Bus. A handler of published messages must not block, since
// the messages of one peer are handled one after another.
func (p *Peers) Handle(topic string, h Handler) { p.handlers[topic] = h }

// Update replaces the list of known entries.
func (p *Peers) Update(entries []yuccastore.Instance) {
	p.mu.Lock()
	p.entries = slices.Clone(entries)
	for _, e := range entries {
		delete(p.unlisted, e.Name)
	}
	p.mu.Unlock()
	p.updateMesh()
}

// SetStrong replaces the names of the entries that become gateways before the others of
// their failure domain. All entries must derive them from the same list. It takes effect
// with the next Update.
func (p *Peers) SetStrong(names []string) {
	strong := make(map[string]bool, len(names))
	for _, name := range names {
		strong[name] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.strong = strong
}

// Connected returns the sorted names of the entries with an open session.
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

// Dropped returns how many published messages were not sent to a peer because
// its send queue was full.
func (p *Peers) Dropped() uint64 { return p.dropped.Load() }

// Publish implements Bus. Entries of the same failure domain get the message
// directly, entries of other domains through gateways.
func (p *Peers) Publish(topic string, body []byte) {
	f := p.newFrame(topic, body)
	if f == nil {
		return
	}
	p.mu.Lock()
	m := p.mesh
	p.mu.Unlock()
	f.Forward = Forward_FORWARD_TO_GATEWAYS
	p.sendToPeers(m.domainPeers, f)
	f.Forward = Forward_FORWARD_TO_DOMAIN
	p.sendToPeers(m.gatewayPeers, f)
}

// PublishToDomain sends a message to the entries of the same failure domain.
func (p *Peers) PublishToDomain(topic string, body []byte) {
	if f := p.newFrame(topic, body); f != nil {
		p.mu.Lock()
		m := p.mesh
		p.mu.Unlock()
		p.sendToPeers(m.domainPeers, f)
	}
}

// PublishToGateways sends a message to the gateways of the other failure
// domains. It sends nothing when this entry is not a gateway itself.
func (p *Peers) PublishToGateways(topic string, body []byte) {
	if f := p.newFrame(topic, body); f != nil {
		p.mu.Lock()
		m := p.mesh
		p.mu.Unlock()
		p.sendToPeers(m.gatewayPeers, f)
	}
}

// IsGateway reports whether this entry forwards messages between its failure
// domain and the others.
func (p *Peers) IsGateway() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mesh.gateway
}

// newFrame returns a frame with the next sequence number. It logs a body that
// is too large and returns nil.
func (p *Peers) newFrame(topic string, body []byte) *Frame {
	if len(body) > MaxBodyBytes {
		p.log.Error().Str("topic", topic).Int("bytes", len(body)).Msg("message_too_large")
		return nil
	}
	return &Frame{Topic: topic, Body: body, Origin: p.settings.Name, Incarnation: p.settings.Incarnation, Seq: p.seq.Add(1)}
}

// sendToPeers queues a frame for each of the given peers that has a session. It
// drops the frame for a peer with a full send queue.
func (p *Peers) sendToPeers(to map[string]string, f *Frame) {
	if len(to) == 0 {
		return
	}
	body := encodeFrame(f)
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range to {
		s, ok := p.sessions[name]
		if !ok || name == f.Origin {
			continue
		}
		select {
		case s.sendQueue <- body:
		default:
			p.dropped.Add(1)
		}
	}
}

// Call implements Bus.
func (p *Peers) Call(ctx context.Context, to, topic string, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes {
		return nil, yuccaerror.New(yuccaerror.TooLarge, "message on topic %s has %d bytes, which is too large", topic, len(body))
	}
	s, err := p.sessionTo(ctx, to)
	if err != nil {
		return nil, err
	}
	return s.call(ctx, &Frame{Topic: topic, Body: body, Origin: p.settings.Name})
}

// handlePublished implements messageReceiver. It handles a frame that has not
// arrived before and forwards it along the mesh.
func (p *Peers) handlePublished(f *Frame) {
	p.mu.Lock()
	first := f.Origin != p.settings.Name && p.duplicates.first(time.Now(), f.Origin, f.Incarnation, f.Seq)
	to, scope := p.mesh.forwardTo(f.Forward)
	p.mu.Unlock()
	if !first {
		return
	}
	if h, ok := p.handlers[f.Topic]; ok {
		ctx, cancel := context.WithTimeout(p.ctx, requestTimeout)
		_, _ = p.invoke(ctx, h, f.Origin, f)
		cancel()
	}
	f.Forward, f.MaxIntervalMs = scope, 0
	p.sendToPeers(to, f)
}

// handleRequest implements messageReceiver. It returns the reply of the topic's
// handler, or a frame with the kind of the error.
func (p *Peers) handleRequest(ctx context.Context, s *session, f *Frame) *Frame {
	h, ok := p.handlers[f.Topic]
	if !ok {
		return &Frame{Kind: yuccaerror.Protocol.String()}
	}
	body, err := p.invoke(ctx, h, s.peer.Name, f)
	switch {
	case err != nil:
		return &Frame{Kind: yuccaerror.KindOf(err).String()}
	case len(body) > MaxBodyBytes:
		return &Frame{Kind: yuccaerror.TooLarge.String()}
	}
	return &Frame{Body: body}
}

// invoke calls the handler of a frame's topic. A panic fails only this message.
func (p *Peers) invoke(ctx context.Context, h Handler, from string, f *Frame) (reply []byte, err error) {
	panicked := true
	defer func() {
		if panicked {
			p.log.Error().Err(err).Str("topic", f.Topic).Str("peer", from).Msg("handler_panicked")
		}
	}()
	defer yuccaerror.Recover(&err)
	reply, err = h(ctx, from, f.Body)
	panicked = false
	return reply, err
}

// heartbeatInterval implements messageReceiver.
func (p *Peers) heartbeatInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return HeartbeatInterval(p.settings.HeartbeatInterval, len(p.sessions))
}

// HeartbeatInterval returns how often an entry with that many sessions sends
// something on each of them: base, plus another base for every
// sessionsPerIntervalStep (32) sessions.
func HeartbeatInterval(base time.Duration, sessions int) time.Duration {
	return base * time.Duration(1+sessions/sessionsPerIntervalStep)
}

func (p *Peers) allSessions() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*session, 0, len(p.sessions))
	for _, s := range p.sessions {
		all = append(all, s)
	}
	return all
}
