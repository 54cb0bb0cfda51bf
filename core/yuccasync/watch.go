package yuccasync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccasleep"
	"yuccawell.example/core/yuccastore"
)

const (
	// Watchers is the number of entries of a failure domain that read the
	// platform for the others.
	Watchers = 2

	// maxWatchWait bounds the duration of one watch call, and so the delay of a
	// change if a response is lost.
	maxWatchWait = 4 * time.Second
	// listInterval is the pause between two reads of the instance list.
	listInterval = time.Second
	// roleInterval is how often an entry that is not a watcher checks whether
	// it has become one.
	roleInterval = 500 * time.Millisecond
	// readFreshness is how long after a successful call an entry still counts
	// as a reader of the platform.
	readFreshness = 3 * time.Second
	// readerTimeout is how long a failure domain may be without a member that
	// reads the platform before additional entries become watchers.
	readerTimeout = time.Second
	// firstBackoff is the base delay of the exponential backoff; the delay
	// after the first failure is at most twice this.
	firstBackoff = 250 * time.Millisecond
	// maxBackoff is the upper bound of the backoff.
	maxBackoff = 2 * time.Second
)

// isWatcher reports whether an entry is a watcher of its failure domain. The
// watchers are the top members by rendezvous hash among the entry itself and
// the live ones. While none of them reaches the platform, the number of
// watchers doubles.
func isWatcher(self, domain string, live []string, noReader bool) bool {
	count := Watchers
	if noReader {
		count *= 2
	}
	return slices.Contains(yuccapeer.RendezvousTop("watcher "+domain, append([]string{self}, live...), count), self)
}

// updateRole decides whether the entry is a watcher.
func (f *Syncer) updateRole(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []string
	hasReader := f.hasRecentRead(now)
	for _, e := range f.state.snapshot.View.Entries() {
		b, ok := f.members.LastHeartbeat(e.Name)
		if e.Domain != f.settings.Domain || e.Name == f.settings.Name || !ok || b.Silent(now) {
			continue
		}
		live = append(live, e.Name)
		hasReader = hasReader || b.ReadsPlatform
	}
	if hasReader {
		f.lastDomainRead = now
	}
	f.watching.Store(isWatcher(f.settings.Name, f.settings.Domain, live, now.Sub(f.lastDomainRead) > readerTimeout))
}

// hasRecentRead reports whether the entry's own last successful read of the
// platform is recent.
func (f *Syncer) hasRecentRead(now time.Time) bool {
	last := f.lastRead.Load()
	return last != 0 && now.Sub(time.Unix(0, last)) < readFreshness
}

// runWhileWatching calls step repeatedly while the entry is a watcher, with
// exponential backoff and jitter after failures, until ctx ends.
func (f *Syncer) runWhileWatching(ctx context.Context, step func(context.Context) error) error {
	failures := 0
	for ctx.Err() == nil {
		if !f.watching.Load() {
			yuccasleep.For(ctx, roleInterval)
			continue
		}
		err := step(ctx)
		if err == nil {
			failures = 0
			f.lastRead.Store(time.Now().UnixNano())
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			f.log.Warn().Err(err).Msg("platform_call_failed")
		}
		failures++
		yuccasleep.For(ctx, backoff(failures, rand.Float64()))
	}
	return nil
}

// backoff returns the delay after a number of consecutive failures: between
// half and all of the exponential delay. The argument random is in the range 0
// to 1.
func backoff(failures int, random float64) time.Duration {
	pause := min(maxBackoff, firstBackoff<<min(failures, 16))
	return time.Duration(float64(pause) * (0.5 + random/2))
}

// objectWatch returns a step that waits for changes of the shared objects and
// applies them.
func (f *Syncer) objectWatch() func(context.Context) error {
	var after uint64
	wait := time.Duration(0)
	return func(ctx context.Context) error {
		page, err := f.store.List(ctx, SharedPrefix, after, wait)
		if err != nil {
			return err
		}
		wait = maxWatchWait
		for _, o := range page.Objects {
			// Take the sequence number from the objects: the page may be older
			// than its own sequence number indicates.
			after = max(after, o.Seq)
			f.applyObject(o)
		}
		return nil
	}
}

// applyObject applies a shared object of the platform. It logs and skips a
// value that it cannot decode.
func (f *Syncer) applyObject(o yuccastore.Object) {
	if name, ok := strings.CutPrefix(o.Key, LeavingPrefix); ok {
		f.applyLeavingMark(name, o)
		return
	}
	switch {
	case o.Deleted:
	case o.Key == RulesKey:
		d, rules, err := yuccarule.DecodeDocument(o.Value)
		if err != nil {
			f.log.Error().Err(err).Msg("rules_unreadable")
			return
		}
		f.Apply(RulesUpdate{d, rules})
	case o.Key == PlanKey:
		var p yuccaplan.Plan
		if err := json.Unmarshal(o.Value, &p); err != nil {
			f.log.Error().Err(err).Msg("plan_unreadable")
			return
		}
		f.Apply(PlanUpdate{p})
	}
}

// applyLeavingMark processes the mark of an entry that is stopping. The value
// is the incarnation that stops; an unreadable value counts as any incarnation.
func (f *Syncer) applyLeavingMark(name string, o yuccastore.Object) {
	incarnation, err := strconv.ParseUint(string(o.Value), 10, 64)
	if err != nil {
		incarnation = ^uint64(0)
	}
	f.mu.Lock()
	if o.Deleted {
		f.members.UnmarkLeaving(name)
	} else {
		f.members.MarkLeaving(name, incarnation)
	}
	f.mu.Unlock()
	f.Refresh()
}

// pollList is a step that reads the instance list once and then pauses.
func (f *Syncer) pollList(ctx context.Context) error {
	list, err := f.store.Instances(ctx)
	if err != nil {
		return err
	}
	f.updateList(list.Instances)
	f.lastRead.Store(time.Now().UnixNano())
	yuccasleep.For(ctx, listInterval)
	return nil
}

// updateList applies an instance list that came from the platform or from a
// peer.
func (f *Syncer) updateList(list []yuccastore.Instance) {
	body, err := json.Marshal(list)
	if err != nil {
		f.log.Error().Err(err).Msg("list_not_encoded")
		return
	}
	hash := max(1, uint32(xxhash.Sum64(body)))
	f.mu.Lock()
	changed := hash != f.listHash
	if changed {
		f.list, f.listHash = list, hash
		f.members.UpdateList(time.Now(), list)
	}
	f.mu.Unlock()
	if changed {
		f.Refresh()
		f.triggerHeartbeat()
	}
}

// Limits on the rate of platform calls by all entries together.
const (
	// fleetCallsPerSecond is the rate that all entries share equally.
	fleetCallsPerSecond = 300
	// watcherCallsPerSecond is the rate that the watchers of all failure domains
	// share in addition.
	watcherCallsPerSecond = 500
)

// rateLimited is a store with an adjustable limit on its calls per second.
type rateLimited interface{ SetRate(perSecond float64) }

// setRateLimit sets this entry's share of the rate of platform calls. The share of
// a watcher is calculated for twice as many watchers, since isWatcher doubles their
// number while none of them reaches the platform.
func (f *Syncer) setRateLimit() {
	f.mu.Lock()
	list := f.list
	f.mu.Unlock()
	p, ok := f.store.(rateLimited)
	if !ok || len(list) == 0 {
		return
	}
	entries, domains := 0, map[string]bool{}
	for _, i := range list {
		if i.Kind == yuccastore.KindEntry {
			entries++
			domains[i.Domain] = true
		}
	}
	rate := fleetCallsPerSecond / float64(max(1, entries))
	if f.watching.Load() {
		rate += watcherCallsPerSecond / float64(2*Watchers*max(1, len(domains)))
	}
	p.SetRate(rate)
}

// Refresh recomputes the view of the instances and publishes it if it changed.
func (f *Syncer) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(ViewUpdate{f.members.View(time.Now())})
}

// Reports returns the versions in force at every entry. An entry that is not a
// gateway asks one of its domain, because it receives no summaries of other
// failure domains; if none answers, it returns its own partial knowledge.
func (f *Syncer) Reports(ctx context.Context) []yuccamembership.Report {
	f.mu.Lock()
	now := time.Now()
	own := f.members.Reports(now)
	var live []string
	for _, e := range f.state.snapshot.View.Entries() {
		if b, ok := f.members.LastHeartbeat(e.Name); ok && e.Domain == f.settings.Domain && !b.Silent(now) {
			live = append(live, e.Name)
		}
	}
	f.mu.Unlock()
	if f.bus.IsGateway() {
		return own
	}
	for _, name := range yuccapeer.RendezvousTop("summarizer "+f.settings.Domain, live, yuccapeer.GatewaysPerDomain) {
		var all []yuccamembership.Report
		body, err := f.bus.Call(ctx, name, topicReports, nil)
		if err == nil && json.Unmarshal(body, &all) == nil {
			return all
		}
	}
	return own
}

// serveReports answers a call on topicReports.
func (f *Syncer) serveReports(context.Context, string, []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f.members.Reports(time.Now()))
}
