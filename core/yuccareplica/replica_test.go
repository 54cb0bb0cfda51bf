package yuccareplica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccafake"
	"yuccawell.example/core/yuccareplica"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

// beatInterval is the time between two announcements of an entry.
const beatInterval = 500 * time.Millisecond

// link is one entry's way to the platform.
type link struct {
	platform *yuccafake.Platform
	mu       sync.Mutex
	// cut makes each call fail.
	cut bool
	// silent makes each call wait without an answer.
	silent bool
	// calls counts the calls.
	calls int
}

func (l *link) set(f func(l *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func (l *link) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// List implements yuccawatch.Lister.
func (l *link) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (yuccastore.Page, error) {
	l.mu.Lock()
	l.calls++
	cut, silent := l.cut, l.silent
	l.mu.Unlock()
	switch {
	case cut:
		return yuccastore.Page{}, yuccaerror.New(yuccaerror.PlatformUnavailable, "cut")
	case silent:
		<-ctx.Done()
		return yuccastore.Page{}, yuccaerror.New(yuccaerror.PlatformUnavailable, "%w", ctx.Err())
	}
	time.Sleep(4 * time.Millisecond)
	page, err := l.platform.List(ctx, prefix, after, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.silent {
		return yuccastore.Page{}, yuccaerror.New(yuccaerror.PlatformUnavailable, "cut")
	}
	return page, err
}

// member is an entry of a fleet.
type member struct {
	name    string
	link    *link
	bus     *yuccafake.Bus
	replica *yuccareplica.Replica
	// stop ends the entry.
	stop context.CancelFunc

	mu    sync.Mutex
	known map[string]bool
	seq   uint64
	// fellBack is set if an event had a lower sequence number than one before.
	fellBack bool
}

// handle records an event of the entry's watcher.
func (e *member) handle(event yuccawatch.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var page yuccastore.Page
	switch event := event.(type) {
	case yuccawatch.Listed:
		page, e.known = event.Page, map[string]bool{}
	case yuccawatch.Changed:
		page = event.Page
	default:
		return
	}
	e.fellBack = e.fellBack || page.Seq < e.seq
	e.seq = page.Seq
	for _, o := range page.Objects {
		e.known[o.Key] = !o.Deleted
	}
}

// wentBack reports whether an event had a lower sequence number than one before.
func (e *member) wentBack() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fellBack
}

func (e *member) knows(key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known[key]
}

// fleet is a number of entries in several failure domains.
type fleet struct {
	c        *qt.C
	platform *yuccafake.Platform
	net      *yuccafake.Net
	// durable is set if the objects do not expire while the platform is unavailable.
	durable bool
	members []*member
	group   errgroup.Group
}

// runFleet runs a scenario with entries in three failure domains, long after their
// roles have settled.
func runFleet(t *testing.T, perDomain int, scenario func(f *fleet)) {
	runFleetAfter(t, perDomain, 15*time.Second, scenario)
}

// runFleetAfter runs a scenario a while after the entries have started.
func runFleetAfter(t *testing.T, perDomain int, age time.Duration, scenario func(f *fleet)) {
	runFleetOf(t, perDomain, age, false, scenario)
}

// runFleetOf runs a scenario with objects that are durable or not.
func runFleetOf(t *testing.T, perDomain int, age time.Duration, durable bool, scenario func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{c: qt.New(t), platform: yuccafake.NewPlatform(), net: yuccafake.NewNet(), durable: durable}
		for i := range 3 * perDomain {
			f.add(t.Context(), fmt.Sprintf("d%d-%d", i%3, i/3))
		}
		f.put("k/first")
		time.Sleep(age)
		scenario(f)
		for _, e := range f.members {
			e.stop()
			f.c.Assert(e.wentBack(), qt.IsFalse, qt.Commentf("%s", e.name))
		}
		f.c.Assert(f.group.Wait(), qt.IsNil)
		f.net.Wait()
	})
}

// add starts an entry. Its name begins with that of its failure domain.
func (f *fleet) add(ctx context.Context, name string) {
	domain, _, _ := strings.Cut(name, "-")
	ctx, stop := context.WithCancel(ctx)
	e := &member{name: name, link: &link{platform: f.platform}, bus: f.net.BusIn(name, domain), stop: stop, known: map[string]bool{}}
	e.replica = yuccareplica.New(name, domain, e.bus, func() []string { return f.live(e, domain) }, zerolog.Nop())
	w := e.replica.Watch(yuccawatch.Settings{Prefix: "k/", Durable: f.durable}, e.link, e.handle)
	e.bus.Handle("beat", func(_ context.Context, from string, body []byte) ([]byte, error) {
		var a yuccareplica.Announcement
		err := json.Unmarshal(body, &a)
		e.replica.Observe(from, a)
		return nil, err
	})
	f.members = append(f.members, e)
	f.c.Assert(e.replica.Start(ctx, &f.group), qt.IsNil)
	f.c.Assert(w.Start(ctx, &f.group), qt.IsNil)
	f.group.Go(func() error {
		e.announce(ctx)
		return nil
	})
}

// announce sends the entry's announcements until ctx ends.
func (e *member) announce(ctx context.Context) {
	for ctx.Err() == nil {
		body, err := json.Marshal(e.replica.Announcement())
		if err != nil {
			panic(err)
		}
		e.bus.Publish("beat", body)
		select {
		case <-time.After(beatInterval):
		case <-ctx.Done():
		}
	}
}

// live returns the other entries of a failure domain that can be reached.
func (f *fleet) live(self *member, domain string) []string {
	var names []string
	for _, name := range self.bus.Connected() {
		if strings.HasPrefix(name, domain+"-") {
			names = append(names, name)
		}
	}
	return names
}

func (f *fleet) put(key string) {
	_, err := f.platform.Put(context.Background(), key, []byte("v"), yuccastore.Cond{})
	f.c.Assert(err, qt.IsNil)
}

func (f *fleet) remove(key string) {
	f.c.Assert(f.platform.Delete(context.Background(), key, yuccastore.Cond{}), qt.IsNil)
}

// callers returns the entries that call the platform in the next 12 seconds.
func (f *fleet) callers() []*member {
	before := map[*member]int{}
	for _, e := range f.members {
		before[e] = e.link.callCount()
	}
	time.Sleep(12 * time.Second)
	var all []*member
	for _, e := range f.members {
		if e.link.callCount() > before[e] {
			all = append(all, e)
		}
	}
	return all
}

// assertChangeArrives changes an object twice. Every member has to know each change
// after a second.
func (f *fleet) assertChangeArrives(key string, members []*member) {
	f.c.Helper()
	f.put(key)
	time.Sleep(time.Second)
	for _, e := range members {
		f.c.Assert(e.knows(key), qt.IsTrue, qt.Commentf("%s does not know %s", e.name, key))
	}
	f.remove(key)
	time.Sleep(time.Second)
	for _, e := range members {
		f.c.Assert(e.knows(key), qt.IsFalse, qt.Commentf("%s does not know that %s is gone", e.name, key))
	}
}

// without returns the members except some.
func (f *fleet) without(some ...*member) []*member {
	var all []*member
	for _, e := range f.members {
		if !containsMember(some, e) {
			all = append(all, e)
		}
	}
	return all
}

func containsMember(all []*member, e *member) bool {
	for _, other := range all {
		if other == e {
			return true
		}
	}
	return false
}

// TestOneEntryOfADomainCalls counts who calls the platform while nothing fails, and
// how often.
func TestOneEntryOfADomainCalls(t *testing.T) {
	// maxCalls is the most calls of one reader in 30 seconds: a watch each 5 s and a
	// list each 15 s.
	const maxCalls = 8
	runFleet(t, 5, func(f *fleet) {
		readers := f.callers()
		f.c.Assert(readers, qt.HasLen, 3)
		before := readers[0].link.callCount()
		time.Sleep(30 * time.Second)
		calls := readers[0].link.callCount() - before
		f.c.Assert(calls <= maxCalls, qt.IsTrue, qt.Commentf("%d calls", calls))
		f.assertChangeArrives("k/a", f.members)
	})
}

// TestChangesArriveThroughFaults lets readers and others fail in several ways. The
// entries that still run know each change within a second, whether or not they can
// reach the platform.
func TestChangesArriveThroughFaults(t *testing.T) {
	tests := []struct {
		name string
		// fail injects the fault and returns the entries that have to learn of
		// changes all the same.
		fail func(f *fleet, readers []*member) []*member
	}{
		{"no fault", func(f *fleet, _ []*member) []*member { return f.members }},
		{"a reader is killed", func(f *fleet, readers []*member) []*member {
			readers[0].stop()
			f.net.SetDisconnected(readers[0].name, true)
			return f.without(readers[0])
		}},
		{"a reader freezes", func(f *fleet, readers []*member) []*member {
			f.net.SetDisconnected(readers[0].name, true)
			readers[0].link.set(func(l *link) { l.silent = true })
			return f.without(readers[0])
		}},
		{"two readers lose the platform", func(f *fleet, readers []*member) []*member {
			readers[0].link.set(func(l *link) { l.cut = true })
			readers[1].link.set(func(l *link) { l.cut = true })
			return f.members
		}},
		{"two readers lose the platform silently", func(f *fleet, readers []*member) []*member {
			readers[0].link.set(func(l *link) { l.silent = true })
			readers[1].link.set(func(l *link) { l.silent = true })
			return f.members
		}},
		{"only one entry reaches the platform", func(f *fleet, readers []*member) []*member {
			for _, e := range f.without(readers[2]) {
				e.link.set(func(l *link) { l.cut = true })
			}
			return f.members
		}},
		{"an entry is cut off from the others", func(f *fleet, readers []*member) []*member {
			f.net.SetDisconnected(f.without(readers...)[0].name, true)
			time.Sleep(2 * time.Second)
			return f.members
		}},
		{"two failure domains are separated", func(f *fleet, _ []*member) []*member {
			f.net.SetPartitioned("d0", "d1", true)
			return f.members
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 3, func(f *fleet) {
				members := test.fail(f, f.callers())
				for i := range 10 {
					f.assertChangeArrives(fmt.Sprint("k/", i), members)
				}
			})
		})
	}
}

// TestNewFollowersAreNotReaders cuts all readers silently from the platform, soon
// after the start, when every entry has called it recently. The others do not rely
// on one another, and call it again once the readers no longer announce contact.
func TestNewFollowersAreNotReaders(t *testing.T) {
	runFleetAfter(t, 3, 7*time.Second, func(f *fleet) {
		var readers []*member
		for _, e := range f.members {
			if e.replica.Announcement().Contact > 0 {
				readers = append(readers, e)
				e.link.set(func(l *link) { l.silent = true })
			}
		}
		f.c.Assert(readers, qt.HasLen, 3)
		// The watches of the readers have to time out first.
		time.Sleep(9 * time.Second)
		for i := range 5 {
			f.assertChangeArrives(fmt.Sprint("k/", i), f.without(readers...))
		}
	})
}

// TestContactBeginsAnew kills a reader soon after the start. The entry that takes its
// place called the platform when it started, and its contact does not count from
// then.
func TestContactBeginsAnew(t *testing.T) {
	runFleetAfter(t, 3, 7*time.Second, func(f *fleet) {
		for _, e := range f.members {
			if e.replica.Announcement().Contact > 0 && strings.HasPrefix(e.name, "d0-") {
				e.stop()
				f.net.SetDisconnected(e.name, true)
				f.members = f.without(e)
				break
			}
		}
		const step = 50 * time.Millisecond
		var contact time.Duration
		for range 40 {
			time.Sleep(step)
			for _, e := range f.members {
				if strings.HasPrefix(e.name, "d0-") && contact == 0 {
					contact = e.replica.Announcement().Contact
				}
			}
		}
		f.c.Assert(contact > 0 && contact <= step, qt.IsTrue, qt.Commentf("%v", contact))
	})
}

// TestOutageIsNotPassedOn has objects expire while the platform is down. Readers do
// not pass on a list that lacks them, since they come back within two seconds.
func TestOutageIsNotPassedOn(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		cutOff := f.without(f.callers()...)[0]
		cutOff.link.set(func(l *link) { l.cut = true })
		f.platform.Fail(yuccafake.PlatformFaults{Down: true})
		time.Sleep(10 * time.Second)
		f.platform.Fail(yuccafake.PlatformFaults{})
		f.remove("k/first")
		time.Sleep(500 * time.Millisecond)
		for _, e := range f.without(cutOff) {
			_, err := cutOff.bus.Call(f.c.Context(), e.name, "replica.fetch", nil)
			f.c.Assert(yuccaerror.Is(err, yuccaerror.PlatformUnavailable), qt.IsTrue, qt.Commentf("%s answered: %v", e.name, err))
		}
		time.Sleep(1500 * time.Millisecond)
		f.c.Assert(cutOff.knows("k/first"), qt.IsTrue)
		f.put("k/first")
		time.Sleep(5 * time.Second)
		f.c.Assert(cutOff.knows("k/first"), qt.IsTrue)
		f.assertChangeArrives("k/a", f.members)
	})
}

// TestRestartedReader restarts a reader. It has forgotten earlier deletions, and the
// others learn of changes all the same.
func TestRestartedReader(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		reader := f.callers()[0]
		f.put("k/old")
		time.Sleep(time.Second)
		reader.stop()
		time.Sleep(100 * time.Millisecond)
		f.remove("k/old")
		f.members = f.without(reader)
		f.add(f.c.Context(), reader.name)
		for i := range 10 {
			f.assertChangeArrives(fmt.Sprint("k/", i), f.members)
		}
	})
}

// TestRestartedReaderPassesDurableObjectsOn restarts the reader of a failure domain, which
// then misses a part of the history, while the other entries cannot be asked. Changes of
// durable objects reach its domain at once all the same.
func TestRestartedReaderPassesDurableObjectsOn(t *testing.T) {
	runFleetOf(t, 4, 15*time.Second, true, func(f *fleet) {
		reader := f.callers()[0]
		domain, _, _ := strings.Cut(reader.name, "-")
		reader.stop()
		time.Sleep(100 * time.Millisecond)
		f.put("other/a")
		f.members = f.without(reader)
		f.add(f.c.Context(), reader.name)
		time.Sleep(300 * time.Millisecond)
		var near []*member
		for _, e := range f.members {
			if strings.HasPrefix(e.name, domain+"-") {
				near = append(near, e)
				continue
			}
			f.net.SetDisconnected(e.name, true)
		}
		f.put("k/new")
		time.Sleep(200 * time.Millisecond)
		for _, e := range near {
			f.c.Assert(e.knows("k/new"), qt.IsTrue, qt.Commentf("%s", e.name))
		}
	})
}
