package yuccabalancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
)

const (
	// limitWindow is the sliding window in which requests to a server with a limit
	// count.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the requests in one window: limitFactor times
	// what the limit allows, and limitSlack more.
	limitFactor = 1.5
	limitSlack  = 5
)

// limitFleet is a number of entries that send as many requests as they can to a server
// with a limit, while entries join and leave. Each holds the list of entries as it was
// up to maxLag changes ago.
type limitFleet struct {
	t     *rapid.T
	limit float64
	cores []*yuccabalancer.Core
	// listed tells which entries are listed now.
	listed []bool
	// versions are the lists so far, the last one in force.
	versions [][]string
}

// maxLag is how many changes of the list an entry may have missed.
const maxLag = 2

func newLimitFleet(t *rapid.T) *limitFleet {
	f := &limitFleet{t: t, limit: rapid.Float64Range(1, 30).Draw(t, "limit")}
	for i := range rapid.IntRange(3, 12).Draw(t, "entries") {
		f.cores = append(f.cores, yuccabalancer.NewCore(yuccabalancer.Location{Entry: fmt.Sprint("e", i), Region: "a", Domain: "a1"}))
		f.listed = append(f.listed, true)
	}
	f.publish()
	return f
}

// publish makes the present list the last version.
func (f *limitFleet) publish() {
	var names []string
	for i, listed := range f.listed {
		if listed {
			names = append(names, fmt.Sprint("e", i))
		}
	}
	f.versions = append(f.versions, names)
}

// change lists an entry, or removes it as long as three are left.
func (f *limitFleet) change() {
	i := rapid.IntRange(0, len(f.cores)-1).Draw(f.t, "entry")
	if f.listed[i] && len(f.versions[len(f.versions)-1]) <= 3 {
		return
	}
	f.listed[i] = !f.listed[i]
	f.publish()
}

// update gives each entry one of the latest lists, and news of the limit to some.
func (f *limitFleet) update(at time.Duration) {
	for _, c := range f.cores {
		lag := min(len(f.versions)-1, rapid.IntRange(0, maxLag).Draw(f.t, "lag"))
		w := topology(1, 1000, "a")
		w.Entries = f.versions[len(f.versions)-1-lag]
		c.Update(w)
		if at == 0 || rapid.Bool().Draw(f.t, "news") {
			c.SetNotice("a0", yuccabalancer.Notice{Limited: true, Limit: f.limit, At: start.Add(at)})
		}
	}
}

// TestServerLimitHoldsWhileEntriesChange has entries join and leave each half second,
// while they hold different lists and some get no news of the limit.
func TestServerLimitHoldsWhileEntriesChange(t *testing.T) {
	const (
		length = 12 * time.Second
		step   = 20 * time.Millisecond
		change = 500 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		f := newLimitFleet(t)
		var sent []time.Duration
		for at := time.Duration(0); at < length; at += step {
			if at%change == 0 {
				f.update(at)
				f.change()
			}
			for i, c := range f.cores {
				if choice := c.Choose(request(at, uint64(i+1))); choice.Kind == yuccaerror.None {
					sent = append(sent, at)
					c.Done(choice, yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: time.Millisecond})
				}
			}
		}
		checkLimit(t, sent, f.limit)
	})
}

// checkLimit fails the test if the requests of any limitWindow exceed the limit. The
// argument sent holds the times of all requests, in order.
func checkLimit(t *rapid.T, sent []time.Duration, limit float64) {
	for i, first := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at < first+limitWindow {
				n++
			}
		}
		if float64(n) > limitFactor*limit*limitWindow.Seconds()+limitSlack {
			t.Fatalf("%d requests in %v at a limit of %v", n, limitWindow, limit)
		}
	}
}

// TestServerLimitHoldsForUnrelatedLists gives each of many entries a list that has itself
// and a drawn part of the others. Each second the entries hear which of them are senders.
func TestServerLimitHoldsForUnrelatedLists(t *testing.T) {
	const (
		length = 8 * time.Second
		step   = 50 * time.Millisecond
		// settled is when the sum must hold.
		settled = 2 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 30).Draw(t, "limit")
		part := rapid.IntRange(0, 10).Draw(t, "part")
		names := make([]string, rapid.IntRange(8, 40).Draw(t, "entries"))
		for i := range names {
			names[i] = fmt.Sprint("e", i)
		}
		var cores []*yuccabalancer.Core
		for i, name := range names {
			core := yuccabalancer.NewCore(yuccabalancer.Location{Entry: name, Region: "a", Domain: "a1"})
			w := topology(1, 1000, "a")
			w.Entries = []string{name}
			for j, other := range names {
				if j != i && rapid.IntRange(0, 9).Draw(t, "listed") < part {
					w.Entries = append(w.Entries, other)
				}
			}
			core.Update(w)
			cores = append(cores, core)
		}
		var sent []time.Duration
		for at := time.Duration(0); at < length; at += step {
			if at%time.Second == 0 {
				tellSenders(cores, names, yuccabalancer.Notice{Limited: true, Limit: limit, At: start.Add(at)})
			}
			for i, core := range cores {
				if choice := core.Choose(request(at, uint64(i+1))); choice.Kind == yuccaerror.None {
					core.Done(choice, yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: time.Millisecond})
					if at >= settled {
						sent = append(sent, at)
					}
				}
			}
		}
		checkLimit(t, sent, limit)
		if len(sent) == 0 {
			t.Fatalf("the server is not used at a limit of %v", limit)
		}
	})
}

// tellSenders gives all entries the news of a limit, and then tells each which of the
// others are senders.
func tellSenders(cores []*yuccabalancer.Core, names []string, n yuccabalancer.Notice) {
	for _, core := range cores {
		core.SetNotice("a0", n)
	}
	sends := make([]bool, len(cores))
	for i, core := range cores {
		sends[i] = core.Sends("a0")
	}
	for i, core := range cores {
		var others []string
		for j, name := range names {
			if j != i && sends[j] {
				others = append(others, name)
			}
		}
		core.SetSenders("a0", others)
	}
}

// TestServerLimitEndsWithoutNews has no entry tell the others anything: each finds out by
// itself after a while, all together rarely, whether the limit still holds.
func TestServerLimitEndsWithoutNews(t *testing.T) {
	const (
		limit   = 10.0
		entries = 20
		length  = 60 * time.Second
	)
	c := qt.New(t)
	var cores []*yuccabalancer.Core
	w := topology(1, 1000, "a")
	w.Entries = nil
	for i := range entries {
		w.Entries = append(w.Entries, fmt.Sprint("e", i))
	}
	for i := range entries {
		core := yuccabalancer.NewCore(yuccabalancer.Location{Entry: fmt.Sprint("e", i), Region: "a", Domain: "a1"})
		core.Update(w)
		core.SetNotice("a0", yuccabalancer.Notice{Limited: true, Limit: limit, At: start})
		cores = append(cores, core)
	}
	sent := make([]int, entries)
	for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
		for i, core := range cores {
			if choice := core.Choose(request(at, uint64(i+1))); choice.Kind == yuccaerror.None {
				sent[i]++
				core.Done(choice, yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: time.Millisecond})
			}
		}
	}
	total := 0
	for i, n := range sent {
		c.Check(n > 0, qt.IsTrue, qt.Commentf("e%d never asks", i))
		total += n
	}
	c.Check(float64(total) <= limit*length.Seconds(), qt.IsTrue, qt.Commentf("%d requests in %v", total, length))
}

// TestLimitedServerIsLeftToOthers has the only server of a service name a limit: a
// request beyond it is rejected at once, and told to come when the next one may be sent.
func TestLimitedServerIsLeftToOthers(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(1, 4, "a"))
	core.SetNotice("a0", yuccabalancer.Notice{Limited: true, Limit: 5, At: start})
	rejected := core.Choose(request(0, firstObject))
	c.Assert(rejected.Kind, qt.Equals, yuccaerror.NoServer)
	c.Assert(rejected.Excluded.String(), qt.Equals, " (limited:1)")
	// The lone entry uses 0.6 of the limit: a request each third of a second.
	c.Assert(rejected.RetryAfter.Round(time.Millisecond), qt.Equals, 333*time.Millisecond)
	c.Assert(core.Choose(request(rejected.RetryAfter+time.Millisecond, firstObject)).Kind, qt.Equals, yuccaerror.None)
	core.SetNotice("a0", yuccabalancer.Notice{At: start})
	c.Assert(core.Choose(request(time.Second, firstObject)).Kind, qt.Equals, yuccaerror.None)
	c.Assert(core.Choose(request(time.Second, firstObject)).Kind, qt.Equals, yuccaerror.None)
}
