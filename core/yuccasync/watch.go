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
	"yuccawell.example/core/yuccapause"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

const (
	// Watchers is how many entries of a failure domain read the platform for
	// the others.
	Watchers = 2

	// watchWait bounds a watch, so that one whose answer never comes delays a
	// change by no more.
	watchWait    = 4 * time.Second
	listInterval = time.Second
	roleInterval = 500 * time.Millisecond
	// fedFor is how long a successful call shows that an entry reads the
	// platform.
	fedFor = 3 * time.Second
	// starvedAfter is how long no member of the failure domain may be fed
	// before others stand in for the watchers.
	starvedAfter = time.Second
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// watches reports whether an entry reads the platform. The watchers are chosen
// among the members that are heard; while none of those is fed, as many again
// stand in.
func watches(self, domain string, heard []string, starved bool) bool {
	count := Watchers
	if starved {
		count *= 2
	}
	return slices.Contains(yuccapeer.RendezvousTop("watcher "+domain, append([]string{self}, heard...), count), self)
}

// decideRole sets whether the entry reads the platform.
func (f *Syncer) decideRole(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var heard []string
	fed := f.fed(now)
	for _, e := range f.state.now.View.Entries() {
		b, ok := f.members.Heard(e.Name)
		if e.Domain != f.set.Domain || e.Name == f.set.Name || !ok || b.Silent(now) {
			continue
		}
		heard = append(heard, e.Name)
		fed = fed || b.ReadsPlatform
	}
	if fed {
		f.fedSeen = now
	}
	f.reading.Store(watches(f.set.Name, f.set.Domain, heard, now.Sub(f.fedSeen) > starvedAfter))
}

// fed reports whether the entry's own reads of the platform succeed.
func (f *Syncer) fed(now time.Time) bool {
	last := f.lastFed.Load()
	return last != 0 && now.Sub(time.Unix(0, last)) < fedFor
}

// repeat calls step while the entry reads the platform, with a growing pause
// after each failure, until ctx ends.
func (f *Syncer) repeat(ctx context.Context, step func(context.Context) error) error {
	failures := 0
	for ctx.Err() == nil {
		if !f.reading.Load() {
			yuccapause.For(ctx, roleInterval)
			continue
		}
		err := step(ctx)
		if err == nil {
			failures = 0
			f.lastFed.Store(time.Now().UnixNano())
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			f.log.Warn().Err(err).Msg("platform_call_failed")
		}
		failures++
		yuccapause.For(ctx, backoff(failures, rand.Float64()))
	}
	return nil
}

// backoff returns the pause after a number of failures; dice is from 0 to 1.
func backoff(failures int, dice float64) time.Duration {
	pause := min(maxBackoff, firstBackoff<<min(failures, 16))
	return time.Duration(float64(pause) * (0.5 + dice/2))
}

// watcher returns a step that waits for changes of the shared objects.
func (f *Syncer) watcher() func(context.Context) error {
	var after uint64
	wait := time.Duration(0)
	return func(ctx context.Context) error {
		page, err := f.store.List(ctx, SharedPrefix, after, wait)
		if err != nil {
			return err
		}
		wait = watchWait
		for _, o := range page.Objects {
			// The page may be older than its sequence number says.
			after = max(after, o.Seq)
			f.learnObject(o)
		}
		return nil
	}
}

func (f *Syncer) learnObject(o yuccastore.Object) {
	if name, ok := strings.CutPrefix(o.Key, LeavingPrefix); ok {
		f.learnMark(name, o)
		return
	}
	switch {
	case o.Gone:
	case o.Key == RulesKey:
		d, rules, err := yuccarule.DecodeDocument(o.Value)
		if err != nil {
			f.log.Error().Err(err).Msg("rules_unreadable")
			return
		}
		f.Learn(RulesUpdate{d, rules})
	case o.Key == PlanKey:
		var p yuccaplan.Plan
		if err := json.Unmarshal(o.Value, &p); err != nil {
			f.log.Error().Err(err).Msg("plan_unreadable")
			return
		}
		f.Learn(PlanUpdate{p})
	}
}

// learnMark takes the mark of a leaving entry, whose value is the run that left
// it.
func (f *Syncer) learnMark(name string, o yuccastore.Object) {
	start, err := strconv.ParseUint(string(o.Value), 10, 64)
	if err != nil {
		start = ^uint64(0)
	}
	f.mu.Lock()
	if o.Gone {
		f.members.Unmark(name)
	} else {
		f.members.Mark(name, start)
	}
	f.mu.Unlock()
	f.Refresh()
}

func (f *Syncer) readList(ctx context.Context) error {
	list, err := f.store.Instances(ctx)
	if err != nil {
		return err
	}
	f.learnList(list.Instances)
	f.lastFed.Store(time.Now().UnixNano())
	yuccapause.For(ctx, listInterval)
	return nil
}

// learnList takes the platform's list from the platform or from a peer.
func (f *Syncer) learnList(list []yuccastore.Instance) {
	body, err := json.Marshal(list)
	if err != nil {
		return
	}
	sum := max(1, uint32(xxhash.Sum64(body)))
	f.mu.Lock()
	changed := sum != f.listSum
	if changed {
		f.list, f.listSum = list, sum
		f.members.UpdateList(time.Now(), list)
	}
	f.mu.Unlock()
	if changed {
		f.Refresh()
		f.wake()
	}
}

// The calls per second that all entries together may make: those that every
// entry may share and those that are kept for the watchers.
const (
	fleetCalls   = 300
	watcherCalls = 500
)

// pacer is a store whose rate of calls can be set.
type pacer interface{ Pace(perSecond float64) }

// pace divides the platform's rates over the entries of the list.
func (f *Syncer) pace() {
	f.mu.Lock()
	list := f.list
	f.mu.Unlock()
	p, ok := f.store.(pacer)
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
	rate := fleetCalls / float64(max(1, entries))
	if f.reading.Load() {
		rate += watcherCalls / float64(2*Watchers*max(1, len(domains)))
	}
	p.Pace(rate)
}

// Refresh publishes the view again when it has changed.
func (f *Syncer) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(ViewUpdate{f.members.View(time.Now())})
}

// Reports returns which versions each entry has in force. An entry that is not
// a summarizer asks one, since it does not hear other failure domains itself.
func (f *Syncer) Reports(ctx context.Context) []yuccamembership.Report {
	f.mu.Lock()
	now := time.Now()
	own := f.members.Reports(now)
	var live []string
	for _, e := range f.state.now.View.Entries() {
		if b, ok := f.members.Heard(e.Name); ok && e.Domain == f.set.Domain && !b.Silent(now) {
			live = append(live, e.Name)
		}
	}
	f.mu.Unlock()
	if f.bus.IsGateway() {
		return own
	}
	for _, name := range yuccapeer.RendezvousTop("summarizer "+f.set.Domain, live, yuccapeer.GatewaysPerDomain) {
		var all []yuccamembership.Report
		body, err := f.bus.Call(ctx, name, topicReports, nil)
		if err == nil && json.Unmarshal(body, &all) == nil {
			return all
		}
	}
	return own
}

func (f *Syncer) giveReports(context.Context, string, []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f.members.Reports(time.Now()))
}
