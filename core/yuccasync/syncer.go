// Package yuccasync keeps an entry's knowledge current: the rules in force, the
// instances and the plan.
//
// Everything learned goes through State.Update and yuccamembership.Tracker. Syncer does
// the reading from the platform and the talking to peers around them and hands
// snapshots to whoever subscribed. A few watchers of each failure domain read
// the platform; heartbeats tell the others which versions there are, and they
// fetch from a peer what they lack.
package yuccasync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccastore"
)

// The keys of the objects that all entries share.
const (
	SharedPrefix  = "shared/"
	RulesKey      = SharedPrefix + "rules"
	PlanKey       = SharedPrefix + "plan"
	LeavingPrefix = SharedPrefix + "leaving/"
)

// Settings says who the entry is.
type Settings struct {
	Name   string
	Region string
	Domain string
	// Incarnation rises with every run under the same name.
	Incarnation uint64
}

// Bus is how the feeds of entries talk to each other.
type Bus interface {
	Handle(topic string, h yuccapeer.Handler)
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
	// PublishToDomain reaches the entry's failure domain, PublishToGateways the
	// summarizers of the others.
	PublishToDomain(topic string, body []byte)
	PublishToGateways(topic string, body []byte)
	IsGateway() bool
	Connected() []string
}

// Syncer reads the platform and publishes snapshots. Make one with New.
type Syncer struct {
	set   Settings
	store yuccastore.Store
	bus   Bus
	log   zerolog.Logger

	mu          sync.Mutex
	state       State
	members     *yuccamembership.Tracker
	list        []yuccastore.Instance
	listSum     uint32
	fedSeen     time.Time
	leaving     bool
	subscribers []func(Snapshot)
	current     atomic.Pointer[Snapshot]

	reading atomic.Bool
	lastFed atomic.Int64
	news    chan struct{}
	pulls   chan pull

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a feed that reads from store and talks over bus once it is
// started.
func New(set Settings, store yuccastore.Store, bus Bus, log zerolog.Logger) *Syncer {
	f := &Syncer{
		set: set, store: store, bus: bus, log: log,
		state:   NewState(set.Region),
		members: yuccamembership.NewTracker(),
		news:    make(chan struct{}, 1),
		pulls:   make(chan pull, maxPulls),
		done:    make(chan struct{}),
	}
	f.current.Store(&Snapshot{})
	f.reading.Store(true)
	bus.Handle(topicBeat, f.heard)
	bus.Handle(topicSummary, f.heardSummary)
	bus.Handle(topicRules, f.giveRules)
	bus.Handle(topicPlan, f.givePlan)
	bus.Handle(topicList, f.giveList)
	bus.Handle(topicReports, f.giveReports)
	return f
}

// Snapshot returns what is known at present.
func (f *Syncer) Snapshot() *Snapshot { return f.current.Load() }

// Subscribe calls fn with every new snapshot, one call at a time. Call it
// before Start.
func (f *Syncer) Subscribe(fn func(Snapshot)) { f.subscribers = append(f.subscribers, fn) }

// Start implements yuccakernel.Service.
func (f *Syncer) Start(ctx context.Context, group *errgroup.Group) error {
	ctx, f.cancel = context.WithCancel(ctx)
	f.fedSeen = time.Now()
	inner := &errgroup.Group{}
	inner.Go(func() error { return f.repeat(ctx, f.watcher()) })
	inner.Go(func() error { return f.repeat(ctx, f.readList) })
	inner.Go(func() error { return f.beats(ctx) })
	inner.Go(func() error { return f.pulling(ctx) })
	group.Go(func() error {
		defer close(f.done)
		return inner.Wait()
	})
	return nil
}

// Stop implements yuccakernel.Service.
func (f *Syncer) Stop(context.Context) error {
	f.cancel()
	return nil
}

// Done implements yuccakernel.Service.
func (f *Syncer) Done() <-chan struct{} { return f.done }

// Leave tells the peers that the entry is stopping.
func (f *Syncer) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.tell(time.Now(), f.interval())
	f.Refresh()
}

// Learn takes a message from any source and publishes what follows from it.
func (f *Syncer) Learn(m Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(m)
}

func (f *Syncer) learn(m Message) {
	next, changed := f.state.Update(m)
	if !changed {
		return
	}
	before := f.state.now
	f.state = next.withBootstrap()
	now := f.state.now
	f.current.Store(&now)
	if now.Document.Version != before.Document.Version {
		f.log.Info().Str("at", now.Document.At.Format(time.RFC3339Nano)).Uint64("version", now.Document.Version).Msg("rules_in_force")
		f.wake()
	}
	if now.Plan.Epoch != before.Plan.Epoch {
		f.log.Info().Uint64("epoch", now.Plan.Epoch).Uint64("version", now.Plan.Version).Msg("planner_changed")
	}
	if now.Plan.Version != before.Plan.Version {
		f.wake()
	}
	for _, fn := range f.subscribers {
		fn(now)
	}
}

// newer reports whether an epoch and version come after those of a plan.
func newer(epoch, version uint64, than yuccaplan.Plan) bool {
	return epoch > than.Epoch || epoch == than.Epoch && version > than.Version
}
