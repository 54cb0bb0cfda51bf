// Package yuccasync keeps the rules, the instance list and the plan of an entry
// (a proxy instance of the system) up to date.
//
// A Syncer reads them from the platform, which is the object store and instance
// registry of the system, and exchanges them with its peers. It feeds every
// update through State and yuccamembership.Tracker, and passes each new
// Snapshot to its subscribers. To bound the load on the platform, only a few
// entries of each failure domain, the watchers, read it. The others learn the
// current versions from heartbeats and fetch newer data from a peer. A few
// gateways of each failure domain exchange summaries with the other failure
// domains.
//
// A Planner publishes plans while its entry holds the planner lease.
//
//	s := yuccasync.New(settings, store, bus, log)
//	s.Subscribe(func(snapshot yuccasync.Snapshot) { ... })
//	err := s.Start(ctx, group)
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

// Keys of the platform objects that every entry follows.
const (
	// SharedPrefix is the common prefix of the keys that the watchers watch.
	SharedPrefix = "shared/"
	// RulesKey is the key of the rules document.
	RulesKey = SharedPrefix + "rules"
	// PlanKey is the key of the current plan.
	PlanKey = SharedPrefix + "plan"
	// LeavingPrefix precedes the name of an entry that is stopping. The value
	// is the incarnation that stops, as a decimal number.
	LeavingPrefix = SharedPrefix + "leaving/"
)

// Settings identifies the entry that a Syncer runs in.
type Settings struct {
	// Name is the unique name of the entry.
	Name string
	// Region is the region of the entry.
	Region string
	// Domain is the failure domain of the entry.
	Domain string
	// Incarnation increases with every start under the same name.
	Incarnation uint64
}

// Bus carries messages between the Syncers of different entries.
type Bus interface {
	// Handle registers the handler for the messages of a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Call sends a request to one peer and returns its response.
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
	// PublishToDomain sends a message to the members of the entry's failure
	// domain.
	PublishToDomain(topic string, body []byte)
	// PublishToGateways sends a message to the gateways of the other failure
	// domains.
	PublishToGateways(topic string, body []byte)
	// IsGateway reports whether this entry is a gateway of its failure domain.
	IsGateway() bool
	// Connected returns the names of the peers with an open connection.
	Connected() []string
}

// Syncer reads the platform, exchanges state with peers and publishes
// snapshots. Create one with New.
type Syncer struct {
	settings Settings
	store    yuccastore.Store
	bus      Bus
	log      zerolog.Logger

	// mu guards the fields up to subscribers.
	mu sync.Mutex
	// state computes the snapshots.
	state State
	// members tracks the instances.
	members *yuccamembership.Tracker
	// list is the latest instance list of the platform.
	list []yuccastore.Instance
	// listHash is a hash of list. It is zero while no list is known.
	listHash uint32
	// lastDomainRead is when a member of the failure domain was last known to
	// read the platform.
	lastDomainRead time.Time
	// leaving is set once the entry is stopping.
	leaving bool
	// subscribers are called with every new snapshot while mu is held.
	subscribers []func(Snapshot)
	// current is the latest published snapshot.
	current atomic.Pointer[Snapshot]

	// watching reports whether this entry is a watcher.
	watching atomic.Bool
	// lastRead is the Unix time in nanoseconds of the last successful read of
	// the platform, zero for none.
	lastRead atomic.Int64
	// changes signals that a heartbeat should be sent soon.
	changes chan struct{}
	// fetches queues what to fetch from peers.
	fetches chan fetchRequest

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Syncer that reads from store and exchanges messages over bus
// once it is started.
func New(settings Settings, store yuccastore.Store, bus Bus, log zerolog.Logger) *Syncer {
	f := &Syncer{
		settings: settings, store: store, bus: bus, log: log,
		state:   NewState(settings.Region),
		members: yuccamembership.NewTracker(),
		changes: make(chan struct{}, 1),
		fetches: make(chan fetchRequest, maxQueuedFetches),
		done:    make(chan struct{}),
	}
	f.current.Store(&Snapshot{})
	f.watching.Store(true)
	bus.Handle(topicHeartbeat, f.handleHeartbeat)
	bus.Handle(topicSummary, f.handleSummary)
	bus.Handle(topicRules, f.serveRules)
	bus.Handle(topicPlan, f.servePlan)
	bus.Handle(topicList, f.serveList)
	bus.Handle(topicReports, f.serveReports)
	return f
}

// Snapshot returns the latest snapshot. It is never nil.
func (f *Syncer) Snapshot() *Snapshot { return f.current.Load() }

// Subscribe registers fn, which is called with every new snapshot, one call at
// a time. Call Subscribe before Start.
func (f *Syncer) Subscribe(fn func(Snapshot)) { f.subscribers = append(f.subscribers, fn) }

// Start implements yuccakernel.Service.
func (f *Syncer) Start(ctx context.Context, group *errgroup.Group) error {
	ctx, f.cancel = context.WithCancel(ctx)
	f.lastDomainRead = time.Now()
	inner := &errgroup.Group{}
	inner.Go(func() error { return f.runWhileWatching(ctx, f.objectWatch()) })
	inner.Go(func() error { return f.runWhileWatching(ctx, f.pollList) })
	inner.Go(func() error { return f.heartbeatLoop(ctx) })
	inner.Go(func() error { return f.fetchLoop(ctx) })
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

// Leave announces to the peers that the entry is stopping.
func (f *Syncer) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.sendHeartbeat(time.Now(), f.heartbeatInterval())
	f.Refresh()
}

// Apply applies an update from any source and publishes the resulting snapshot
// if it changed.
func (f *Syncer) Apply(m Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(m)
}

// applyLocked implements Apply. The caller holds mu.
func (f *Syncer) applyLocked(m Message) {
	next, changed := f.state.Update(m)
	if !changed {
		return
	}
	before := f.state.snapshot
	f.state = next.withBootstrapPlan()
	now := f.state.snapshot
	f.current.Store(&now)
	if now.Document.Version != before.Document.Version {
		f.log.Info().Str("at", now.Document.SubmittedAt.Format(time.RFC3339Nano)).Uint64("version", now.Document.Version).Msg("rules_in_force")
		f.triggerHeartbeat()
	}
	if now.Plan.Epoch != before.Plan.Epoch {
		f.log.Info().Uint64("epoch", now.Plan.Epoch).Uint64("version", now.Plan.Version).Msg("planner_changed")
	}
	if now.Plan.Version != before.Plan.Version {
		f.triggerHeartbeat()
	}
	for _, fn := range f.subscribers {
		fn(now)
	}
}

// newer reports whether an epoch and version supersede those of a plan.
func newer(epoch, version uint64, plan yuccaplan.Plan) bool {
	return epoch > plan.Epoch || epoch == plan.Epoch && version > plan.Version
}
