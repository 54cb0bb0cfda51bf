// Package yuccawatch keeps a local copy of the platform's objects under a prefix up
// to date. It tolerates a platform that is unavailable, returns stale data, drops
// its change history, comes back from an older copy of itself or leaves a watch without
// a response.
//
// An entry (a proxy instance of the system) runs a Watcher for each prefix that it
// needs. A Watcher lists all objects once and then watches for changes, each time
// from the sequence number of the last response. It lists all objects again at
// regular intervals and after every error. It reports what it learns as events,
// one at a time. A Breaker that several watchers share bounds their calls to a
// platform that does not respond. A Gate lets an entry leave the calls to other
// entries; what they have read is passed to Watcher.Offer.
//
//	breaker := yuccawatch.NewBreaker()
//	settings := yuccawatch.Settings{Prefix: "servers/", Breaker: breaker}
//	watcher := yuccawatch.New(settings, store, aggregator.UpdateServers, log)
package yuccawatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccasleep"
	"yuccawell.example/core/yuccastore"
)

// Lister is the part of the platform's API that a Watcher needs.
type Lister interface {
	// List returns all objects under prefix if after is zero. Otherwise it waits
	// up to wait for a change and returns the objects that have changed since the
	// sequence number after, or none when the time has passed. An error of kind
	// HistoryExpired means that the platform cannot say what has changed since
	// after. An error of kind Leaving means that this entry has closed its client.
	List(ctx context.Context, prefix string, after uint64, wait time.Duration) (yuccastore.Page, error)
}

// Settings configure a Watcher. Durations of zero select the defaults.
type Settings struct {
	// Prefix is the prefix of the keys to watch.
	Prefix string
	// WatchTimeout is how long one watch call waits for a change.
	WatchTimeout time.Duration
	// BatchDelay is the pause after a change, in which more changes may come. A longer
	// pause means fewer calls when there are many changes.
	BatchDelay time.Duration
	// RelistInterval is the time after which all objects are listed again even if no
	// error has occurred. Long lists are listed less often.
	RelistInterval time.Duration
	// Durable is set if the objects do not expire while the platform is unavailable, as
	// those that operators write. A list of them that another entry has is then as good
	// as one from the platform.
	Durable bool
	// Breaker is shared by the watchers of one platform. Nil means a separate one.
	Breaker *Breaker
	// Gate delays the calls after the first list. Nil means no delay.
	Gate Gate
}

// Gate decides whether an entry calls the platform itself.
type Gate interface {
	// Wait returns when the entry has to call the platform or ctx ends. It reports
	// whether it had to wait.
	Wait(ctx context.Context) bool
}

const (
	// defaultWatchTimeout is the default of Settings.WatchTimeout.
	defaultWatchTimeout = 5 * time.Second
	// defaultRelistInterval is the default of Settings.RelistInterval.
	defaultRelistInterval = 15 * time.Second
	// defaultBatchDelay is the default of Settings.BatchDelay.
	defaultBatchDelay = 400 * time.Millisecond
	// largeListSize is the number of objects per step of the relist interval. The
	// interval grows by Settings.RelistInterval with every full largeListSize objects.
	largeListSize = 100
	// resumeWatchTimeout is how long the first watch call after a wait for the gate
	// waits for a change. Its response shows that the platform can be reached.
	resumeWatchTimeout = 100 * time.Millisecond
	// watchTimeoutMargin is how much longer than Settings.WatchTimeout a watch call may
	// take before it fails.
	watchTimeoutMargin = time.Second
	// lateResponseMargin is how much longer than Settings.WatchTimeout a watch call may take
	// before its response shows that the platform was unavailable meanwhile.
	lateResponseMargin = 300 * time.Millisecond
	// listTimeout bounds a call that lists all objects.
	listTimeout = 2 * time.Second
	// relistSpread spreads the lists of the entries that lose the history together.
	relistSpread = 200 * time.Millisecond
	// retryDelay is the mean pause after a failed call. It is short because an
	// entry that recovers late keeps sending requests to servers that have
	// stopped. The breaker keeps this cheap: it allows one call at a time.
	retryDelay = 250 * time.Millisecond
)

// Watcher is the service that watches the objects under one prefix. Create one
// with New.
type Watcher struct {
	*yuccakernel.Worker

	settings    Settings
	store       Lister
	handleEvent func(Event)
	log         zerolog.Logger

	// mu guards the fields below. It is held while an event is reported.
	mu sync.Mutex
	// seq is the highest sequence number of the responses so far.
	seq uint64
	// lastListed is when all objects were last listed. If it is zero, the next call
	// lists them.
	lastListed time.Time
	// lastResponse is when the platform last responded.
	lastResponse time.Time
	// listSize is the number of objects in the last list.
	listSize int
	// resumed is set for the first call after a wait for the gate.
	resumed bool
	// unreachable is set from the first failed call until the next response.
	unreachable bool
	// failures is the number of failed calls since the last response.
	failures int
}

// New returns a watcher that reports its events to handleEvent, one at a time.
func New(settings Settings, store Lister, handleEvent func(Event), log zerolog.Logger) *Watcher {
	if settings.WatchTimeout == 0 {
		settings.WatchTimeout = defaultWatchTimeout
	}
	if settings.BatchDelay == 0 {
		settings.BatchDelay = defaultBatchDelay
	}
	if settings.Breaker == nil {
		settings.Breaker = NewBreaker()
	}
	if settings.RelistInterval == 0 {
		settings.RelistInterval = defaultRelistInterval
	}
	f := &Watcher{settings: settings, store: store, handleEvent: handleEvent, log: log.With().Str("prefix", settings.Prefix).Logger()}
	f.Worker = yuccakernel.NewWorker(f.run)
	return f
}

func (f *Watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.waitForGate(ctx)
		f.call(ctx)
	}
}

// waitForGate waits until the gate lets this entry call the platform. The wait is no
// silence of the platform.
func (f *Watcher) waitForGate(ctx context.Context) {
	if f.settings.Gate == nil || f.Seq() == 0 {
		return
	}
	start := time.Now()
	waited := f.settings.Gate.Wait(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumed = waited
	if waited {
		f.lastResponse = f.lastResponse.Add(time.Since(start))
	}
}

// Seq returns the sequence number up to which all changes are known, zero before
// the first list.
func (f *Watcher) Seq() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seq
}

// Offer reports changes that another entry has read from the platform, as a Changed
// event. The page must hold all changes after the sequence number after. Offer
// returns false and reports nothing if the page is not newer than what is known, if
// it leaves a gap, or before the first list.
func (f *Watcher) Offer(after uint64, page yuccastore.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seq == 0 || after > f.seq || page.Seq <= f.seq {
		return false
	}
	news := yuccastore.Page{Seq: page.Seq}
	for _, o := range page.Objects {
		if o.Seq > f.seq {
			news.Objects = append(news.Objects, o)
		}
	}
	f.advance(page.Seq)
	f.handleEvent(Changed{At: time.Now(), Page: news, Offered: true})
	return true
}

// OfferList reports a list that another entry has, as a Listed event, if there has been
// no list yet or the list is newer and its objects are durable. It returns whether it
// did. The watcher still lists all objects itself as soon as the platform responds.
func (f *Watcher) OfferList(page yuccastore.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Seq <= f.seq || f.seq != 0 && !f.settings.Durable {
		return false
	}
	f.advance(page.Seq)
	f.handleEvent(Listed{At: time.Now(), Page: page, Offered: true})
	return true
}

// call makes one call to the platform and handles its error. While the platform
// is unreachable, the breaker admits one watcher at a time.
func (f *Watcher) call(ctx context.Context) {
	if f.settings.Breaker.acquire(ctx) {
		defer f.settings.Breaker.releaseProbe()
	}
	err := f.step(ctx)
	switch {
	case ctx.Err() != nil:
		return
	case yuccaerror.Is(err, yuccaerror.Leaving):
		<-ctx.Done()
		return
	case err == nil:
		f.settings.Breaker.reset()
		return
	}
	afterList := f.forgetList()
	if yuccaerror.Is(err, yuccaerror.HistoryExpired) {
		f.log.Info().Uint64("seq", f.Seq()).Msg("history_forgotten")
		if afterList {
			// The platform refuses a watch from its own list, so another one may fail too.
			yuccasleep.For(ctx, jitteredRetryDelay())
			return
		}
		yuccasleep.For(ctx, rand.N(relistSpread))
		return
	}
	f.recordFailure(err)
	f.settings.Breaker.trip()
	yuccasleep.For(ctx, jitteredRetryDelay())
}

// forgetList makes the next call list all objects. It reports whether they were listed a
// moment ago.
func (f *Watcher) forgetList() (afterList bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	afterList = time.Since(f.lastListed) < retryDelay
	f.lastListed = time.Time{}
	return afterList
}

// step lists all objects if that is due, and watches for a change otherwise.
func (f *Watcher) step(ctx context.Context) error {
	if f.listDue() {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Watcher) listDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastListed.IsZero() || time.Since(f.lastListed) > f.refreshInterval()
}

// refreshInterval returns the time between two lists of all objects. It grows with
// the number of objects, since a long list takes several calls.
func (f *Watcher) refreshInterval() time.Duration {
	return f.settings.RelistInterval * time.Duration(1+f.listSize/largeListSize)
}

// list lists all objects. It returns an error of kind PlatformUnavailable if the
// response is older than what is known.
func (f *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := f.Seq()
	page, err := f.store.List(ctx, f.settings.Prefix, 0, 0)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Seq < asked {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "list has sequence number %d, but %d was seen before", page.Seq, asked)
	}
	if page.Seq < f.seq {
		// Newer changes were offered during the call, so the list is read again.
		return nil
	}
	silentFor := f.recordResponse(false)
	f.advance(page.Seq)
	f.lastListed, f.listSize = time.Now(), len(page.Objects)
	f.handleEvent(Listed{At: time.Now(), SilentFor: silentFor, Page: page})
	return nil
}

// watch waits for changes and reports them. A pause follows a change, and a stale
// response so that a platform that keeps giving them is not called in a loop.
func (f *Watcher) watch(ctx context.Context) error {
	start := time.Now()
	wait := f.watchTimeout()
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	asked := f.Seq()
	page, err := f.store.List(ctx, f.settings.Prefix, asked, wait)
	if err != nil {
		return err
	}
	late := time.Since(start) > wait+lateResponseMargin
	if f.applyWatch(asked, page, late) {
		yuccasleep.For(ctx, f.settings.BatchDelay)
	}
	return nil
}

// watchTimeout returns how long the next watch call waits for a change.
func (f *Watcher) watchTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumed {
		return min(resumeWatchTimeout, f.settings.WatchTimeout)
	}
	return f.settings.WatchTimeout
}

// applyWatch reports the response to a watch call for changes after the sequence
// number asked. It returns true if a pause has to follow.
func (f *Watcher) applyWatch(asked uint64, page yuccastore.Page, late bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Seq < asked {
		// The response is stale. A list shows the present state.
		f.lastListed = time.Time{}
		return true
	}
	silentFor := f.recordResponse(late)
	if len(page.Objects) == 0 || page.Seq < f.seq {
		// An older page holds nothing that was not offered during the call.
		f.advance(max(f.seq, page.Seq))
		f.handleEvent(Unchanged{time.Now(), f.seq})
		return false
	}
	f.advance(page.Seq)
	f.handleEvent(Changed{At: time.Now(), SilentFor: silentFor, Page: page})
	return true
}

// advance raises the sequence number up to which changes are known, and reports a later
// era. The caller holds mu.
func (f *Watcher) advance(seq uint64) {
	old := f.seq
	f.seq = seq
	if old == 0 || yuccastore.Era(seq) == yuccastore.Era(old) {
		return
	}
	f.log.Warn().Uint64("era", yuccastore.Era(seq)).Uint64("seq", yuccastore.Change(seq)).Uint64("before", yuccastore.Change(old)).Msg("platform_restored")
	f.handleEvent(Restored{time.Now()})
}

// recordFailure reports the first failure of an outage and counts every one.
func (f *Watcher) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	if f.unreachable {
		return
	}
	f.unreachable = true
	f.log.Warn().Err(err).Uint64("seq", f.seq).Msg("platform_lost")
	f.handleEvent(Unreachable{time.Now(), err})
}

// recordResponse records a response of the platform and reports the end of an
// outage. The parameter late says that the response showed an outage without a
// failed call. It returns the time since the previous response, or zero for the
// first. The caller holds mu.
func (f *Watcher) recordResponse(late bool) time.Duration {
	if f.unreachable || late {
		f.log.Info().Int("failures", f.failures).Uint64("seq", f.seq).Msg("platform_back")
		f.handleEvent(Recovered{time.Now()})
	}
	f.unreachable, f.failures = false, 0
	previous := f.lastResponse
	f.lastResponse = time.Now()
	if previous.IsZero() {
		return 0
	}
	return f.lastResponse.Sub(previous)
}

// jitteredRetryDelay returns the pause after a failed call: retryDelay with a jitter
// of 25 % either way, so that the entries do not retry at the same time.
func jitteredRetryDelay() time.Duration {
	return time.Duration(float64(retryDelay) * (0.75 + rand.Float64()/2))
}
