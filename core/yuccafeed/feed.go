// Package yuccafeed keeps an entry's knowledge current: the rules in force, the
// instances and the plan.
//
// Everything learned goes through State.Update; Feed does the reading from the
// platform around it and hands snapshots to whoever subscribed.
package yuccafeed

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

// The keys of the objects that all entries share.
const (
	SharedPrefix  = "shared/"
	RulesKey      = SharedPrefix + "rules"
	LeavingPrefix = SharedPrefix + "leaving/"
)

const (
	watchWait    = 30 * time.Second
	listInterval = time.Second
	failurePause = 500 * time.Millisecond
)

// Settings says who the entry is.
type Settings struct {
	Name   string
	Region string
}

// Feed reads the platform and publishes snapshots. Make one with New.
type Feed struct {
	set   Settings
	store yuccastore.Store
	log   zerolog.Logger

	mu          sync.Mutex
	state       State
	subscribers []func(Snapshot)
	current     atomic.Pointer[Snapshot]

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a feed that reads from store once it is started.
func New(set Settings, store yuccastore.Store, log zerolog.Logger) *Feed {
	f := &Feed{set: set, store: store, log: log, state: NewState(set.Region), done: make(chan struct{})}
	f.current.Store(&Snapshot{})
	return f
}

// Snapshot returns what is known at present.
func (f *Feed) Snapshot() *Snapshot { return f.current.Load() }

// Subscribe calls fn with every new snapshot, one call at a time. Call it
// before Start.
func (f *Feed) Subscribe(fn func(Snapshot)) { f.subscribers = append(f.subscribers, fn) }

// Start implements yuccakernel.Service.
func (f *Feed) Start(ctx context.Context, group *errgroup.Group) error {
	ctx, f.cancel = context.WithCancel(ctx)
	inner := &errgroup.Group{}
	inner.Go(func() error { return f.repeat(ctx, f.watcher()) })
	inner.Go(func() error { return f.repeat(ctx, f.readList) })
	group.Go(func() error {
		defer close(f.done)
		return inner.Wait()
	})
	return nil
}

// Stop implements yuccakernel.Service.
func (f *Feed) Stop(context.Context) error {
	f.cancel()
	return nil
}

// Done implements yuccakernel.Service.
func (f *Feed) Done() <-chan struct{} { return f.done }

// Learn takes a message from any source and publishes what follows from it.
func (f *Feed) Learn(m Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, changed := f.state.Update(m)
	if !changed {
		return
	}
	before := f.state.now.Document.Version
	f.state = f.plan(next)
	now := f.state.Snapshot()
	f.current.Store(&now)
	if now.Document.Version != before {
		f.log.Info().Uint64("version", now.Document.Version).Msg("rules_in_force")
	}
	for _, fn := range f.subscribers {
		fn(now)
	}
}

// plan derives the plan from what every entry knows alike.
func (f *Feed) plan(s State) State {
	p := yuccaplan.Make(yuccaplan.Input{Rules: s.now.Rules, Version: s.now.Document.Version, View: s.now.View, Last: s.now.Plan})
	next, _ := s.Update(PlanSeen{p})
	return next
}

// repeat calls step until ctx ends, with a pause after each failure.
func (f *Feed) repeat(ctx context.Context, step func(context.Context) error) error {
	for ctx.Err() == nil {
		if err := step(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn().Err(err).Msg("platform_call_failed")
			sleep(ctx, failurePause)
		}
	}
	return nil
}

// watcher returns a step that waits for changes of the shared objects.
func (f *Feed) watcher() func(context.Context) error {
	var after uint64
	wait := time.Duration(0)
	return func(ctx context.Context) error {
		page, err := f.store.List(ctx, SharedPrefix, after, wait)
		if err != nil {
			return err
		}
		after, wait = page.Seq, watchWait
		for _, o := range page.Objects {
			f.learnObject(o)
		}
		return nil
	}
}

func (f *Feed) learnObject(o yuccastore.Object) {
	if name, ok := strings.CutPrefix(o.Key, LeavingPrefix); ok {
		f.Learn(LeavingSeen{Name: name, Back: o.Gone})
		return
	}
	if o.Key != RulesKey || o.Gone {
		return
	}
	d, rules, err := yuccarule.DecodeDocument(o.Value)
	if err != nil {
		f.log.Error().Err(err).Msg("rules_unreadable")
		return
	}
	f.Learn(RulesSeen{d, rules})
}

func (f *Feed) readList(ctx context.Context) error {
	list, err := f.store.Instances(ctx)
	if err != nil {
		return err
	}
	f.Learn(ListSeen{list.Instances})
	sleep(ctx, listInterval)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
