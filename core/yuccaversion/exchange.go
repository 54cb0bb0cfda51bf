package yuccaversion

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccapeer"
)

const (
	// topicAnnouncement is the topic of Announcements.
	topicAnnouncement = "config.version"
	// topicFetch is the topic of calls for a part of the config in force.
	topicFetch = "config.fetch"
	// tickInterval is the time between two decisions while a config waits to be put in force
	// or to be fetched.
	tickInterval = 50 * time.Millisecond
	// partBytes is the length of one part. It leaves room in a message of the bus.
	partBytes = yuccapeer.MaxBodyBytes - 4<<10
	// maxConfigBytes is the length of the longest config that is fetched.
	maxConfigBytes = 64 << 20
	// longConfigBytes is the length from which a config is announced at once. Shorter
	// ones reach the other entries with the objects of the platform.
	longConfigBytes = 64 << 10
	// callTimeout bounds the call for one part.
	callTimeout = 2 * time.Second
)

// Bus is the part of the message bus between entries that an Exchange needs.
type Bus interface {
	// Handle registers the handler of the messages on a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Publish sends a message to all other entries.
	Publish(topic string, body []byte)
	// Call sends a message to one entry and waits for its reply.
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// Candidate is a config that may be put in force.
type Candidate struct {
	// Version is the version of the config.
	Version uint64
	// Source says where it comes from.
	Source Source
	// Value is the config in the form in which it is handed to other entries. It holds
	// keys as digests only.
	Value []byte
	// Apply puts the config in force. It ignores a version that is not newer than the
	// one in force.
	Apply func() error
}

// Exchange is the service that decides which config is put in force and hands the one in
// force to other entries. Create one with New.
type Exchange struct {
	*yuccakernel.Worker

	bus Bus
	// decode returns the candidate of a value that another entry has sent.
	decode func(value []byte) (Candidate, error)
	log    zerolog.Logger
	// changed holds a value if something may have to be decided.
	changed chan struct{}

	// applying is held while a config is put in force. It is acquired before mu.
	applying sync.Mutex
	// mu guards the fields below.
	mu    sync.Mutex
	state *State
	// value is the config in force.
	value []byte
	// pending is the newest config that is not in force yet, nil if none.
	pending *Candidate
}

// New returns the exchange of the named entry.
func New(self string, bus Bus, decode func(value []byte) (Candidate, error), log zerolog.Logger) *Exchange {
	x := &Exchange{bus: bus, decode: decode, log: log, changed: make(chan struct{}, 1), state: NewState(self, time.Now())}
	x.Worker = yuccakernel.NewWorker(x.run)
	bus.Handle(topicAnnouncement, x.handleAnnouncement)
	bus.Handle(topicFetch, x.handleFetch)
	return x
}

// InForce returns the version in force, which the next heartbeat announces.
func (x *Exchange) InForce() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.InForce()
}

// Observe records the version that a heartbeat of another entry announces.
func (x *Exchange) Observe(from string, version uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.Observe(time.Now(), from, version)
	if version > x.state.InForce() {
		x.notify()
	}
}

// UpdateList records the names of the entries in the platform's list.
func (x *Exchange) UpdateList(names []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.UpdateList(time.Now(), names)
}

// Propose puts a config in force if its version may be, at once or as soon as that is
// known. The error is that of Apply.
func (x *Exchange) Propose(c Candidate) error {
	x.mu.Lock()
	if c.Version > x.state.InForce() && (x.pending == nil || c.Version > x.pending.Version) {
		x.pending = &c
	}
	x.mu.Unlock()
	defer x.notify()
	return x.applyPending()
}

// notify makes run decide.
func (x *Exchange) notify() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// applyPending puts the pending config in force if that is possible.
func (x *Exchange) applyPending() error {
	x.applying.Lock()
	defer x.applying.Unlock()
	c := x.takePending()
	if c == nil {
		return nil
	}
	if err := c.Apply(); err != nil {
		return err
	}
	x.mu.Lock()
	x.state.SetInForce(c.Version)
	x.value = c.Value
	x.mu.Unlock()
	if len(c.Value) < longConfigBytes {
		return nil
	}
	body, err := proto.Marshal(&Announcement{Version: c.Version})
	if err != nil {
		return yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	x.bus.Publish(topicAnnouncement, body)
	return nil
}

// handleAnnouncement records the version that another entry announces.
func (x *Exchange) handleAnnouncement(_ context.Context, from string, body []byte) ([]byte, error) {
	var a Announcement
	if err := proto.Unmarshal(body, &a); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode announcement of entry %s: %w", from, err)
	}
	x.Observe(from, a.GetVersion())
	return nil, nil
}

// takePending returns the pending config if it may be put in force now, else nil.
func (x *Exchange) takePending() *Candidate {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.pending
	if c == nil || !x.state.Accepts(time.Now(), c.Version, c.Source) {
		return nil
	}
	x.pending = nil
	return c
}

// run decides while there is something to decide. Most of the time there is nothing, so that
// an entry that has the newest config doesn't wake up.
func (x *Exchange) run(ctx context.Context) {
	var group errgroup.Group
	// One fetch at a time.
	group.SetLimit(1)
	for ctx.Err() == nil {
		select {
		case <-x.changed:
			x.decideWhileBehind(ctx, &group)
		case <-ctx.Done():
		}
	}
	_ = group.Wait()
}

// decideWhileBehind decides once in each tickInterval until no config waits.
func (x *Exchange) decideWhileBehind(ctx context.Context, group *errgroup.Group) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for x.behind() {
		select {
		case <-tick.C:
			x.decide(ctx, group)
		case <-ctx.Done():
			return
		}
	}
}

// behind reports whether a config waits to be put in force or fetched.
func (x *Exchange) behind() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.pending != nil || x.state.Behind(time.Now())
}

// decide puts the pending config in force if that is possible, and starts the fetch of a
// newer one.
func (x *Exchange) decide(ctx context.Context, group *errgroup.Group) {
	if err := x.applyPending(); err != nil {
		x.log.Warn().Err(err).Msg("routes_refused")
	}
	if from, version, ok := x.fetchFrom(time.Now()); ok {
		group.TryGo(func() error {
			x.fetch(ctx, from, version)
			return nil
		})
	}
}

// fetchFrom returns the entry from which to fetch a version, and the version.
func (x *Exchange) fetchFrom(now time.Time) (from string, version uint64, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := uint64(0)
	if x.pending != nil {
		known = x.pending.Version
	}
	return x.state.FetchFrom(now, known)
}

// fetch gets a version of the config from another entry and proposes it.
func (x *Exchange) fetch(ctx context.Context, from string, version uint64) {
	err := x.fetchVersion(ctx, from, version)
	if err == nil {
		x.log.Info().Str("from", from).Uint64("version", version).Msg("routes_fetched")
		return
	}
	x.log.Warn().Err(err).Str("from", from).Uint64("version", version).Msg("routes_not_fetched")
	x.mu.Lock()
	defer x.mu.Unlock()
	if yuccaerror.Is(err, yuccaerror.Invalid) {
		x.state.RecordUnusable(time.Now(), version)
		return
	}
	x.state.RecordFailure(time.Now(), from)
}

func (x *Exchange) fetchVersion(ctx context.Context, from string, version uint64) error {
	value, err := x.fetchValue(ctx, from, version)
	if err != nil {
		return err
	}
	c, err := x.decode(value)
	if err != nil {
		return yuccaerror.Wrap(yuccaerror.Invalid, err)
	}
	if c.Version != version {
		return yuccaerror.New(yuccaerror.Protocol, "config has version %d, announced as %d", c.Version, version)
	}
	return x.Propose(c)
}

// fetchValue gets a version of the config from another entry, part by part.
func (x *Exchange) fetchValue(ctx context.Context, from string, version uint64) ([]byte, error) {
	var value []byte
	for {
		reply, err := x.callFetch(ctx, from, &FetchRequest{Version: version, Offset: uint64(len(value))})
		switch {
		case err != nil:
			return nil, err
		case reply.GetSize() > maxConfigBytes || len(reply.GetPart()) == 0 || uint64(len(value)+len(reply.GetPart())) > reply.GetSize():
			return nil, yuccaerror.New(yuccaerror.Protocol, "part of %d bytes of a config of %d bytes after %d bytes", len(reply.GetPart()), reply.GetSize(), len(value))
		}
		value = append(value, reply.GetPart()...)
		if uint64(len(value)) == reply.GetSize() {
			return value, nil
		}
	}
}

func (x *Exchange) callFetch(ctx context.Context, from string, request *FetchRequest) (*FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
	}
	if body, err = x.bus.Call(ctx, from, topicFetch, body); err != nil {
		return nil, err
	}
	var reply FetchReply
	if err := proto.Unmarshal(body, &reply); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode config from entry %s: %w", from, err)
	}
	return &reply, nil
}

// handleFetch answers another entry's request for a part of the config in force.
func (x *Exchange) handleFetch(_ context.Context, from string, body []byte) ([]byte, error) {
	var request FetchRequest
	if err := proto.Unmarshal(body, &request); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode request for a config from entry %s: %w", from, err)
	}
	x.mu.Lock()
	value, version := x.value, x.state.InForce()
	x.mu.Unlock()
	if version != request.GetVersion() || request.GetOffset() >= uint64(len(value)) {
		return nil, yuccaerror.New(yuccaerror.NotFound, "version %d from byte %d on: version %d with %d bytes is in force", request.GetVersion(), request.GetOffset(), version, len(value))
	}
	part := value[request.GetOffset():]
	return proto.Marshal(&FetchReply{Size: uint64(len(value)), Part: part[:min(len(part), partBytes)]})
}
