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

// platform is a store of one prefix whose faults a test sets.
type platform struct {
	mu      sync.Mutex
	seq     uint64
	objects map[string]uint64
	log     []yuccastore.Object
	// kept is the oldest sequence number that a watch may start from.
	kept  uint64
	down  bool
	mute  bool
	past  uint64
	calls int
	wake  chan struct{}
}

func newPlatform() *platform {
	return &platform{seq: 1, objects: map[string]uint64{}, wake: make(chan struct{})}
}

func (p *platform) made() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *platform) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *platform) put(name string) {
	p.change(func() {
		p.seq++
		p.objects[name] = p.seq
		p.log = append(p.log, yuccastore.Object{Key: "k/" + name, Seq: p.seq})
	})
}

func (p *platform) remove(name string) {
	p.change(func() {
		p.seq++
		delete(p.objects, name)
		p.log = append(p.log, yuccastore.Object{Key: "k/" + name, Seq: p.seq, Gone: true})
	})
}

var errDown = errors.New("down")

func (p *platform) List(ctx context.Context, _ string, after uint64, wait time.Duration) (yuccastore.Page, error) {
	time.Sleep(4 * time.Millisecond)
	end := time.After(wait)
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		wake := p.wake
		if p.down {
			p.mu.Unlock()
			return yuccastore.Page{}, yuccaerror.Wrap(yuccaerror.PlatformUnavailable, errDown)
		}
		page, ready, err := p.answer(after)
		p.mu.Unlock()
		if ready || err != nil {
			return page, err
		}
		select {
		case <-wake:
		case <-end:
			p.mu.Lock()
			defer p.mu.Unlock()
			return yuccastore.Page{Seq: max(p.seq, p.past)}, nil
		case <-ctx.Done():
			return yuccastore.Page{}, yuccaerror.Wrap(yuccaerror.PlatformUnavailable, ctx.Err())
		}
	}
}

func (p *platform) answer(after uint64) (yuccastore.Page, bool, error) {
	page := yuccastore.Page{Seq: p.seq}
	switch {
	case after == 0:
		for name, seq := range p.objects {
			page.Objects = append(page.Objects, yuccastore.Object{Key: "k/" + name, Seq: seq})
		}
		return page, true, nil
	case p.past > 0:
		return yuccastore.Page{Seq: p.past}, true, nil
	case p.mute:
		return page, false, nil
	case after < p.kept:
		return page, false, yuccaerror.New(yuccaerror.HistoryExpired, "history")
	}
	for _, o := range p.log {
		if o.Seq > after {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, len(page.Objects) > 0, nil
}

// witness holds what followers told, with the time since the start.
type witness struct {
	mu    sync.Mutex
	began time.Time
	known map[string]bool
	told  []string
	// quiet are the times that the platform had told nothing before a change.
	quiet []time.Duration
}

func (w *witness) tell(m yuccawatch.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch m := m.(type) {
	case yuccawatch.Listed:
		w.known = map[string]bool{}
		for _, o := range m.Page.Objects {
			w.known[o.Key] = true
		}
		w.told = append(w.told, "listed")
	case yuccawatch.Changed:
		for _, o := range m.Page.Objects {
			w.known[o.Key] = !o.Gone
		}
		w.told = append(w.told, "changed")
		w.quiet = append(w.quiet, m.SilentFor)
	case yuccawatch.Unreachable:
		w.told = append(w.told, "lost")
	case yuccawatch.Recovered:
		w.told = append(w.told, "back")
	}
}

func (w *witness) knows(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known["k/"+name]
}

func (w *witness) heard(what string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.told {
		if t == what {
			return true
		}
	}
	return false
}

// follow runs n followers of a platform through a story.
func follow(t *testing.T, n int, story func(c *qt.C, p *platform, w *witness)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, w, gate := newPlatform(), &witness{began: time.Now(), known: map[string]bool{}}, yuccawatch.NewBreaker()
		group := &errgroup.Group{}
		var all []*yuccawatch.Watcher
		for i := range n {
			tell := w.tell
			if i > 0 {
				tell = func(yuccawatch.Event) {}
			}
			f := yuccawatch.New(yuccawatch.Settings{Prefix: "k/", Breaker: gate}, p, tell, zerolog.Nop())
			c.Assert(f.Start(t.Context(), group), qt.IsNil)
			all = append(all, f)
		}
		time.Sleep(100 * time.Millisecond)
		story(c, p, w)
		for _, f := range all {
			c.Assert(f.Stop(t.Context()), qt.IsNil)
			<-f.Done()
		}
		c.Assert(group.Wait(), qt.IsNil)
	})
}

func TestChangesAreKnownSoon(t *testing.T) {
	follow(t, 1, func(c *qt.C, p *platform, w *witness) {
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

// TestQuietIsTold makes a change after a while without any, and one soon after it.
func TestQuietIsTold(t *testing.T) {
	follow(t, 1, func(c *qt.C, p *platform, w *witness) {
		time.Sleep(3 * time.Second)
		p.put("a")
		time.Sleep(100 * time.Millisecond)
		p.put("b")
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		c.Assert(w.quiet, qt.HasLen, 2)
		c.Assert(w.quiet[0] >= 3*time.Second, qt.IsTrue, qt.Commentf("%v", w.quiet))
		c.Assert(w.quiet[1] < time.Second, qt.IsTrue, qt.Commentf("%v", w.quiet))
	})
}

// TestManyChangesCostFewCalls makes many changes: the pause to gather them bounds
// the calls, and the last change is known at its end.
func TestManyChangesCostFewCalls(t *testing.T) {
	const pause = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, w := newPlatform(), &witness{known: map[string]bool{}}
		f := yuccawatch.New(yuccawatch.Settings{Prefix: "k/", Gather: pause}, p, w.tell, zerolog.Nop())
		group := &errgroup.Group{}
		c.Assert(f.Start(t.Context(), group), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		before := p.made()
		for i := range 100 {
			p.put(fmt.Sprint("n", i))
			time.Sleep(100 * time.Millisecond)
		}
		c.Assert(p.made()-before <= int(10*time.Second/pause)+1, qt.IsTrue, qt.Commentf("%d calls", p.made()-before))
		time.Sleep(pause)
		c.Assert(w.knows("n99"), qt.IsTrue)
		c.Assert(f.Stop(t.Context()), qt.IsNil)
		<-f.Done()
		c.Assert(group.Wait(), qt.IsNil)
	})
}

// TestForgottenHistory drops the history while a change is made that no watch
// tells.
func TestForgottenHistory(t *testing.T) {
	follow(t, 1, func(c *qt.C, p *platform, w *witness) {
		p.change(func() { p.mute = true })
		p.put("quiet")
		time.Sleep(500 * time.Millisecond)
		c.Assert(w.knows("quiet"), qt.IsFalse)
		p.change(func() { p.mute, p.kept = false, p.seq+1 })
		time.Sleep(500 * time.Millisecond)
		c.Assert(w.knows("quiet"), qt.IsTrue)
	})
}

// TestSilentWatch makes a change of which no watch ever tells.
func TestSilentWatch(t *testing.T) {
	follow(t, 1, func(c *qt.C, p *platform, w *witness) {
		p.change(func() { p.mute = true })
		p.put("quiet")
		time.Sleep(25 * time.Second)
		c.Assert(w.knows("quiet"), qt.IsTrue)
	})
}

// TestAnswersFromThePast has watches answer with an old sequence number: what was
// known stays known, and new things become known by reading everything.
func TestAnswersFromThePast(t *testing.T) {
	follow(t, 1, func(c *qt.C, p *platform, w *witness) {
		p.put("a")
		time.Sleep(500 * time.Millisecond)
		p.change(func() { p.past = 1 })
		p.put("b")
		time.Sleep(time.Second)
		c.Assert(w.knows("a"), qt.IsTrue)
		c.Assert(w.knows("b"), qt.IsTrue)
	})
}

// TestBackSoonAfterAnOutage has the platform away for long: what changed meanwhile
// is known half a second after its return, and meanwhile few calls are made.
func TestBackSoonAfterAnOutage(t *testing.T) {
	const (
		followers = 4
		outage    = 20 * time.Second
		perSecond = 5
	)
	for _, early := range []time.Duration{0, 130 * time.Millisecond, 370 * time.Millisecond, 610 * time.Millisecond, 890 * time.Millisecond} {
		follow(t, followers, func(c *qt.C, p *platform, w *witness) {
			p.change(func() { p.down = true })
			time.Sleep(outage - early)
			c.Assert(w.heard("lost"), qt.IsTrue)
			c.Assert(p.made() <= perSecond*int(outage/time.Second), qt.IsTrue, qt.Commentf("%d calls", p.made()))
			p.change(func() { p.down = false })
			p.put("a")
			time.Sleep(500 * time.Millisecond)
			c.Assert(w.knows("a"), qt.IsTrue, qt.Commentf("early by %v", early))
			c.Assert(w.heard("back"), qt.IsTrue)
		})
	}
}
