// Package yuccawatch keeps up with the objects of the platform under a prefix,
// whatever the platform does meanwhile: it may be away, answer from the past,
// forget its history or leave a watch without an answer.
//
//	f := yuccawatch.New(yuccawatch.Settings{Prefix: "servers/"}, store, fleet.Update, log)
package yuccawatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccapause"
	"yuccawell.example/core/yuccastore"
)

// Lister is the part of the platform that following needs.
//
// An error of kind Leaving says that this entry has closed its client.
type Lister interface {
	List(ctx context.Context, prefix string, after uint64, wait time.Duration) (yuccastore.Page, error)
}

// Settings of a Watcher. Zero durations get defaults.
type Settings struct {
	// Prefix is that of the objects' keys.
	Prefix string
	// Wait is how long one watch waits for a change.
	Wait time.Duration
	// Gather is the pause after a change in which further ones may come. The
	// longer it is, the fewer calls many changes cost.
	Gather time.Duration
	// Refresh is how often everything is read anew without a reason.
	Refresh time.Duration
	// Breaker is shared by the followers of one platform; nil means one of its own.
	Breaker *Breaker
}

const (
	defaultWait    = 5 * time.Second
	defaultRefresh = 15 * time.Second
	defaultGather  = 400 * time.Millisecond
	// largeList is the number of objects at which everything is read half as
	// often.
	largeList = 100
	// slack is how much longer than it was asked to a watch may take.
	slack = time.Second
	// late is by how much a watch outlasts its time when the platform was away.
	late = 300 * time.Millisecond
	// listLimit bounds one reading of all objects.
	listLimit = 2 * time.Second
	// retryPause is short, since the entries that come back late go on sending
	// to servers that have left, and one call at a time is cheap.
	retryPause = 250 * time.Millisecond
)

// Event is something that became known of the platform.
type Event interface{ message() }

type (
	// Listed holds all objects as of one moment.
	Listed struct {
		At time.Time
		// SilentFor is how long the platform had told nothing before.
		SilentFor time.Duration
		Page      yuccastore.Page
	}
	// Changed holds the objects that have changed since the message before.
	Changed struct {
		At time.Time
		// SilentFor is how long the platform had told nothing before.
		SilentFor time.Duration
		Page      yuccastore.Page
	}
	// Unreachable says that the platform does not answer.
	Unreachable struct {
		At  time.Time
		Err error
	}
	// Recovered says that the platform answers again, or was away for a while
	// without a failed call.
	Recovered struct{ At time.Time }
)

func (Listed) message()      {}
func (Changed) message()     {}
func (Unreachable) message() {}
func (Recovered) message()   {}

// Watcher follows one prefix. Make one with New.
type Watcher struct {
	*yuccakernel.Worker

	set    Settings
	store  Lister
	tell   func(Event)
	log    zerolog.Logger
	seq    uint64
	listed time.Time
	heard  time.Time
	size   int
	away   bool
	fails  int
}

// New returns a follower that hands what it learns to tell, one message at a
// time.
func New(set Settings, store Lister, tell func(Event), log zerolog.Logger) *Watcher {
	if set.Wait == 0 {
		set.Wait = defaultWait
	}
	if set.Gather == 0 {
		set.Gather = defaultGather
	}
	if set.Breaker == nil {
		set.Breaker = NewBreaker()
	}
	if set.Refresh == 0 {
		set.Refresh = defaultRefresh
	}
	f := &Watcher{set: set, store: store, tell: tell, log: log.With().Str("prefix", set.Prefix).Logger()}
	f.Worker = yuccakernel.NewWorker(f.run)
	return f
}

func (f *Watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.call(ctx)
	}
}

// call makes one call, in turn with the other followers while the platform is
// away.
func (f *Watcher) call(ctx context.Context) {
	if f.set.Breaker.enter(ctx) {
		defer f.set.Breaker.leave()
	}
	err := f.step(ctx)
	switch {
	case ctx.Err() != nil:
		return
	case yuccaerror.Is(err, yuccaerror.Leaving):
		<-ctx.Done()
		return
	case err == nil:
		f.set.Breaker.open()
		return
	}
	f.listed = time.Time{}
	if yuccaerror.Is(err, yuccaerror.HistoryExpired) {
		f.log.Info().Uint64("seq", f.seq).Msg("history_forgotten")
		return
	}
	f.failed(err)
	f.set.Breaker.shut()
	yuccapause.For(ctx, backoff())
}

// step reads everything when that is due, and waits for a change otherwise.
func (f *Watcher) step(ctx context.Context) error {
	if f.listed.IsZero() || time.Since(f.listed) > f.refresh() {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// refresh returns how often everything is read: the longer the list the less
// often, since it comes in parts.
func (f *Watcher) refresh() time.Duration {
	return f.set.Refresh * time.Duration(1+f.size/largeList)
}

func (f *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	page, err := f.store.List(ctx, f.set.Prefix, 0, 0)
	if err != nil {
		return err
	}
	if page.Seq < f.seq {
		return yuccaerror.New(yuccaerror.PlatformUnavailable, "list as of %d, known is %d", page.Seq, f.seq)
	}
	quiet := f.answered(false)
	f.seq, f.listed, f.size = page.Seq, time.Now(), len(page.Objects)
	f.tell(Listed{time.Now(), quiet, page})
	return nil
}

func (f *Watcher) watch(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, f.set.Wait+slack)
	defer cancel()
	page, err := f.store.List(ctx, f.set.Prefix, f.seq, f.set.Wait)
	if err != nil {
		return err
	}
	if page.Seq < f.seq {
		// The answer is from the past: read everything to find out.
		f.listed = time.Time{}
		return nil
	}
	quiet := f.answered(time.Since(began) > f.set.Wait+late)
	f.seq = page.Seq
	if len(page.Objects) > 0 {
		f.tell(Changed{time.Now(), quiet, page})
		yuccapause.For(ctx, f.set.Gather)
	}
	return nil
}

func (f *Watcher) failed(err error) {
	f.fails++
	if f.away {
		return
	}
	f.away = true
	f.log.Warn().Err(err).Uint64("seq", f.seq).Msg("platform_lost")
	f.tell(Unreachable{time.Now(), err})
}

// answered notes that the platform answered, and whether it was away before. It
// returns how long it had told nothing.
func (f *Watcher) answered(away bool) time.Duration {
	if f.away || away {
		f.log.Info().Int("failures", f.fails).Uint64("seq", f.seq).Msg("platform_back")
		f.tell(Recovered{time.Now()})
	}
	f.away, f.fails = false, 0
	before := f.heard
	f.heard = time.Now()
	if before.IsZero() {
		return 0
	}
	return f.heard.Sub(before)
}

// backoff returns the pause after a failed call, spread so that the entries do
// not call together.
func backoff() time.Duration {
	return time.Duration(float64(retryPause) * (0.75 + rand.Float64()/2))
}
