package yuccawatch_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

// platform is a fake store of one prefix with faults that a test sets.
type platform struct {
	mu sync.Mutex
	// seq is the sequence number of the last write.
	seq uint64
	// objects holds the sequence number of each object by name.
	objects map[string]uint64
	// history holds all writes and deletions in order.
	history []yuccastore.Object
	// oldestSeq is the lowest sequence number that a watch may start from.
	oldestSeq uint64
	// down makes every call fail.
	down bool
	// silent makes watches return no changes.
	silent bool
	// staleSeq, if not zero, makes watches return at once with this sequence number.
	staleSeq uint64
	// calls is the number of calls.
	calls int
	// lists holds when all objects were listed.
	lists []time.Time
	// changed is closed at the next update.
	changed chan struct{}
}

func newPlatform() *platform {
	return &platform{seq: 1, objects: map[string]uint64{}, changed: make(chan struct{})}
}

func (p *platform) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// update calls f with the lock held and makes all waiting watches check for changes.
func (p *platform) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) put(name string) {
	p.update(func() {
		p.seq++
		p.objects[name] = p.seq
		p.history = append(p.history, yuccastore.Object{Key: "k/" + name, Seq: p.seq})
	})
}

func (p *platform) remove(name string) {
	p.update(func() {
		p.seq++
		delete(p.objects, name)
		p.history = append(p.history, yuccastore.Object{Key: "k/" + name, Seq: p.seq, Deleted: true})
	})
}

var errPlatformDown = errors.New("down")

func (p *platform) List(ctx context.Context, _ string, after uint64, wait time.Duration) (yuccastore.Page, error) {
	time.Sleep(4 * time.Millisecond)
	end := time.After(wait)
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		changed := p.changed
		if p.down {
			p.mu.Unlock()
			return yuccastore.Page{}, yuccaerror.Wrap(yuccaerror.PlatformUnavailable, errPlatformDown)
		}
		page, ready, err := p.page(after)
		p.mu.Unlock()
		if ready || err != nil {
			return page, err
		}
		select {
		case <-changed:
		case <-end:
			p.mu.Lock()
			defer p.mu.Unlock()
			return yuccastore.Page{Seq: max(p.seq, p.staleSeq)}, nil
		case <-ctx.Done():
			return yuccastore.Page{}, yuccaerror.Wrap(yuccaerror.PlatformUnavailable, ctx.Err())
		}
	}
}

// page returns the response to a list or watch call, and reports whether there is
// one yet. The caller holds mu.
func (p *platform) page(after uint64) (yuccastore.Page, bool, error) {
	page := yuccastore.Page{Seq: p.seq}
	switch {
	case after == 0:
		p.lists = append(p.lists, time.Now())
		for name, seq := range p.objects {
			page.Objects = append(page.Objects, yuccastore.Object{Key: "k/" + name, Seq: seq})
		}
		return page, true, nil
	case p.staleSeq > 0:
		return yuccastore.Page{Seq: p.staleSeq}, true, nil
	case p.silent:
		return page, false, nil
	case after < p.oldestSeq:
		return page, false, yuccaerror.New(yuccaerror.HistoryExpired, "history")
	}
	for _, o := range p.history {
		if o.Seq > after {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, len(page.Objects) > 0, nil
}

// recorder records the events of a watcher.
type recorder struct {
	mu        sync.Mutex
	startedAt time.Time
	// known holds the objects by key, with false for deleted ones.
	known map[string]bool
	// events holds the kinds of the events in order.
	events []string
	// silences holds SilentFor of each Changed event.
	silences []time.Duration
}

func (w *recorder) handle(event yuccawatch.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch event := event.(type) {
	case yuccawatch.Listed:
		w.known = map[string]bool{}
		for _, o := range event.Page.Objects {
			w.known[o.Key] = true
		}
		w.events = append(w.events, "listed")
	case yuccawatch.Changed:
		for _, o := range event.Page.Objects {
			w.known[o.Key] = !o.Deleted
		}
		w.events = append(w.events, "changed")
		w.silences = append(w.silences, event.SilentFor)
	case yuccawatch.Unreachable:
		w.events = append(w.events, "unreachable")
	case yuccawatch.Recovered:
		w.events = append(w.events, "recovered")
	}
}

func (w *recorder) knows(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known["k/"+name]
}

// saw reports whether an event of that kind occurred.
func (w *recorder) saw(kind string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.events {
		if k == kind {
			return true
		}
	}
	return false
}

// runWatchers runs a scenario with n watchers of one platform that share a breaker.
// The recorder receives the events of the first one.
func runWatchers(t *testing.T, n int, scenario func(c *qt.C, p *platform, w *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, w, breaker := newPlatform(), &recorder{startedAt: time.Now(), known: map[string]bool{}}, yuccawatch.NewBreaker()
		group := &errgroup.Group{}
		var all []*yuccawatch.Watcher
		for i := range n {
			handle := w.handle
			if i > 0 {
				handle = func(yuccawatch.Event) {}
			}
			f := yuccawatch.New(yuccawatch.Settings{Prefix: "k/", Breaker: breaker}, p, handle, zerolog.Nop())
			c.Assert(f.Start(t.Context(), group), qt.IsNil)
			all = append(all, f)
		}
		time.Sleep(100 * time.Millisecond)
		scenario(c, p, w)
		for _, f := range all {
			c.Assert(f.Stop(t.Context()), qt.IsNil)
			<-f.Done()
		}
		c.Assert(group.Wait(), qt.IsNil)
	})
}

// TestChangesArriveWithinHalfASecond makes single changes half a second apart.
func TestChangesArriveWithinHalfASecond(t *testing.T) {
	runWatchers(t, 1, func(c *qt.C, p *platform, w *recorder) {
		for i := range 5 {
			name := fmt.Sprint("n", i)
			p.put(name)
			time.Sleep(500 * time.Millisecond)
			c.Assert(w.knows(name), qt.IsTrue)
			p.remove(name)
			time.Sleep(500 * time.Millisecond)
			c.Assert(w.knows(name), qt.IsFalse)
		}
	})
}

// TestSilenceIsReported makes one change after 3 seconds without any, and a second
// one soon after it.
func TestSilenceIsReported(t *testing.T) {
	runWatchers(t, 1, func(c *qt.C, p *platform, w *recorder) {
		time.Sleep(3 * time.Second)
		p.put("a")
		time.Sleep(100 * time.Millisecond)
		p.put("b")
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		c.Assert(w.silences, qt.HasLen, 2)
		c.Assert(w.silences[0] >= 3*time.Second, qt.IsTrue, qt.Commentf("%v", w.silences))
		c.Assert(w.silences[1] < time.Second, qt.IsTrue, qt.Commentf("%v", w.silences))
	})
}

// TestManyChangesCostFewCalls makes many changes. The pause after each response
// bounds the number of calls, and the last change is known after one more pause.
func TestManyChangesCostFewCalls(t *testing.T) {
	const pause = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, w := newPlatform(), &recorder{known: map[string]bool{}}
		f := yuccawatch.New(yuccawatch.Settings{Prefix: "k/", BatchDelay: pause}, p, w.handle, zerolog.Nop())
		group := &errgroup.Group{}
		c.Assert(f.Start(t.Context(), group), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		before := p.callCount()
		for i := range 100 {
			p.put(fmt.Sprint("n", i))
			time.Sleep(100 * time.Millisecond)
		}
		c.Assert(p.callCount()-before <= int(10*time.Second/pause)+1, qt.IsTrue, qt.Commentf("%d calls", p.callCount()-before))
		time.Sleep(pause)
		c.Assert(w.knows("n99"), qt.IsTrue)
		c.Assert(f.Stop(t.Context()), qt.IsNil)
		<-f.Done()
		c.Assert(group.Wait(), qt.IsNil)
	})
}

// TestExpiredHistory makes a change that no watch returns and then expires the
// history. The watcher has to list all objects to learn of the change.
func TestExpiredHistory(t *testing.T) {
	runWatchers(t, 1, func(c *qt.C, p *platform, w *recorder) {
		p.update(func() { p.silent = true })
		p.put("unseen")
		time.Sleep(500 * time.Millisecond)
		c.Assert(w.knows("unseen"), qt.IsFalse)
		p.update(func() { p.silent, p.oldestSeq = false, p.seq+1 })
		time.Sleep(500 * time.Millisecond)
		c.Assert(w.knows("unseen"), qt.IsTrue)
	})
}

// TestSilentWatch makes a change that no watch ever returns. The regular list finds
// it.
func TestSilentWatch(t *testing.T) {
	runWatchers(t, 1, func(c *qt.C, p *platform, w *recorder) {
		p.update(func() { p.silent = true })
		p.put("unseen")
		time.Sleep(25 * time.Second)
		c.Assert(w.knows("unseen"), qt.IsTrue)
	})
}

// TestStaleResponses has watches return an old sequence number. Known objects stay
// known, and lists of all objects find the new ones.
func TestStaleResponses(t *testing.T) {
	runWatchers(t, 1, func(c *qt.C, p *platform, w *recorder) {
		p.put("a")
		time.Sleep(500 * time.Millisecond)
		p.update(func() { p.staleSeq = 1 })
		p.put("b")
		time.Sleep(time.Second)
		c.Assert(w.knows("a"), qt.IsTrue)
		c.Assert(w.knows("b"), qt.IsTrue)
	})
}

// TestRecoveryAfterAnOutage makes the platform unavailable for about 20 seconds and
// ends the outage at different points between two retries. The watchers make few
// calls meanwhile, and know a change half a second after the recovery.
func TestRecoveryAfterAnOutage(t *testing.T) {
	const (
		watchers = 4
		outage   = 20 * time.Second
		// maxCallRate is in calls per second, for all watchers together.
		maxCallRate = 5
	)
	for _, early := range []time.Duration{0, 130 * time.Millisecond, 370 * time.Millisecond, 610 * time.Millisecond, 890 * time.Millisecond} {
		runWatchers(t, watchers, func(c *qt.C, p *platform, w *recorder) {
			p.update(func() { p.down = true })
			time.Sleep(outage - early)
			c.Assert(w.saw("unreachable"), qt.IsTrue)
			c.Assert(p.callCount() <= maxCallRate*int(outage/time.Second), qt.IsTrue, qt.Commentf("%d calls", p.callCount()))
			p.update(func() { p.down = false })
			p.put("a")
			time.Sleep(500 * time.Millisecond)
			c.Assert(w.knows("a"), qt.IsTrue, qt.Commentf("early by %v", early))
			c.Assert(w.saw("recovered"), qt.IsTrue)
		})
	}
}

// TestStaleResponsesCostFewCalls has the platform answer every watch at once with an
// old sequence number. The watcher pauses before it calls again.
func TestStaleResponsesCostFewCalls(t *testing.T) {
	// maxCallRate is in calls per second: a list and a watch for each pause.
	const maxCallRate = 5
	const length = 10 * time.Second
	runWatchers(t, 1, func(c *qt.C, p *platform, _ *recorder) {
		p.put("a")
		time.Sleep(500 * time.Millisecond)
		p.update(func() { p.staleSeq = 1 })
		before := p.callCount()
		time.Sleep(length)
		c.Assert(p.callCount()-before <= maxCallRate*int(length/time.Second), qt.IsTrue, qt.Commentf("%d calls", p.callCount()-before))
	})
}

// closedGate is a gate that a test opens.
type closedGate struct{ open chan struct{} }

// Wait implements yuccawatch.Gate.
func (g closedGate) Wait(ctx context.Context) bool {
	select {
	case <-g.open:
		return false
	default:
	}
	select {
	case <-g.open:
	case <-ctx.Done():
	}
	return true
}

// TestGateDelaysCalls keeps a watcher from calling the platform after its first
// list. It learns of changes that are offered, if they follow what it knows, and
// calls again when the gate opens.
func TestGateDelaysCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, w, gate := newPlatform(), &recorder{known: map[string]bool{}}, closedGate{make(chan struct{})}
		p.put("first")
		f := yuccawatch.New(yuccawatch.Settings{Prefix: "k/", Gate: gate}, p, w.handle, zerolog.Nop())
		c.Assert(f.Offer(1, yuccastore.Page{Seq: 9}), qt.IsFalse)
		group := &errgroup.Group{}
		c.Assert(f.Start(t.Context(), group), qt.IsNil)
		time.Sleep(10 * time.Second)
		c.Assert(p.callCount(), qt.Equals, 1)
		known := f.Seq()
		offer := func(after, seq uint64, names ...string) bool {
			page := yuccastore.Page{Seq: seq}
			for _, name := range names {
				page.Objects = append(page.Objects, yuccastore.Object{Key: "k/" + name, Seq: seq})
			}
			return f.Offer(after, page)
		}
		c.Assert(offer(known+1, known+2, "gap"), qt.IsFalse)
		c.Assert(offer(known-1, known, "old"), qt.IsFalse)
		c.Assert(offer(known-1, known+1, "new"), qt.IsTrue)
		c.Assert(f.Seq(), qt.Equals, known+1)
		c.Assert(w.knows("gap") || w.knows("old"), qt.IsFalse)
		c.Assert(w.knows("new"), qt.IsTrue)
		p.put("second")
		p.put("third")
		close(gate.open)
		time.Sleep(time.Second)
		c.Assert(w.knows("third"), qt.IsTrue)
		c.Assert(w.silences[len(w.silences)-1] < time.Second, qt.IsTrue, qt.Commentf("%v", w.silences))
		c.Assert(f.Stop(t.Context()), qt.IsNil)
		<-f.Done()
		c.Assert(group.Wait(), qt.IsNil)
	})
}

// TestExpiredHistoryIsListedAnewSpread expires the history for many watchers at the same
// moment. They list all objects within half a second, but not all at once.
func TestExpiredHistoryIsListedAnewSpread(t *testing.T) {
	const (
		watchers = 40
		window   = 20 * time.Millisecond
		most     = watchers / 2
	)
	runWatchers(t, watchers, func(c *qt.C, p *platform, _ *recorder) {
		time.Sleep(500 * time.Millisecond)
		p.update(func() { p.lists, p.oldestSeq = nil, p.seq+1 })
		p.put("a")
		time.Sleep(500 * time.Millisecond)
		p.mu.Lock()
		defer p.mu.Unlock()
		c.Assert(p.lists, qt.HasLen, watchers)
		for _, first := range p.lists {
			n := 0
			for _, at := range p.lists {
				if since := at.Sub(first); since >= 0 && since < window {
					n++
				}
			}
			c.Assert(n <= most, qt.IsTrue, qt.Commentf("%d of %d lists within %v", n, watchers, window))
		}
	})
}

// TestExpiredHistoryCostsFewCalls has the platform refuse a watch from any sequence
// number, also from that of the list just before.
func TestExpiredHistoryCostsFewCalls(t *testing.T) {
	// maxCallRate is in calls per second: a list and a watch for each pause.
	const maxCallRate = 10
	const length = 10 * time.Second
	runWatchers(t, 1, func(c *qt.C, p *platform, w *recorder) {
		p.put("a")
		time.Sleep(500 * time.Millisecond)
		p.update(func() { p.oldestSeq = p.seq + 1000 })
		before := p.callCount()
		time.Sleep(length)
		c.Assert(p.callCount()-before <= maxCallRate*int(length/time.Second), qt.IsTrue, qt.Commentf("%d calls", p.callCount()-before))
		p.put("b")
		time.Sleep(time.Second)
		c.Assert(w.knows("b"), qt.IsTrue)
	})
}
