package yuccabalancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
)

// TestLeavingServerGetsNothing has a server say that it is about to exit, and start again
// under its name.
func TestLeavingServerGetsNothing(t *testing.T) {
	c := qt.New(t)
	w := topology(1, 4, "a")
	w.Servers[0].Run = 7
	core := newCore(w)
	core.SetNotice("a0", yuccabalancer.Notice{At: start, Run: 7, Leaving: true})
	rejected := core.Choose(request(0, firstObject))
	c.Assert(rejected.Kind, qt.Equals, yuccaerror.NoServer)
	c.Assert(rejected.Excluded.String(), qt.Equals, " (leaving:1)")
	core.Update(w)
	c.Assert(core.Choose(request(0, firstObject)).Kind, qt.Equals, yuccaerror.NoServer)
	w.Servers[0].Run = 8
	core.Update(w)
	c.Assert(core.Choose(request(0, firstObject)).Kind, qt.Equals, yuccaerror.None)
}

// TestNoticeComesBeforeServer records a notice about a server that is not known yet.
func TestNoticeComesBeforeServer(t *testing.T) {
	c := qt.New(t)
	core := newCore(yuccabalancer.Topology{Entries: []string{"e1"}})
	core.SetNotice("a0", yuccabalancer.Notice{At: start, Leaving: true})
	core.Update(topology(1, 4, "a"))
	c.Assert(core.Choose(request(0, firstObject)).Kind, qt.Equals, yuccaerror.NoServer)
}

// TestHoldOff has a server ask for hold-offs of several lengths: it gets nothing
// meanwhile, callers are told to come back at the end, then one request goes alone.
func TestHoldOff(t *testing.T) {
	tests := []struct {
		holdOff time.Duration
		// earliest and latest bound the time at which it gets a request again.
		earliest, latest time.Duration
	}{
		{100 * time.Millisecond, 100 * time.Millisecond, 130 * time.Millisecond},
		{2 * time.Second, 2 * time.Second, 2500 * time.Millisecond},
		{time.Minute, time.Minute, 62 * time.Second},
		{100 * time.Hour, 4 * time.Minute, 6 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.holdOff.String(), func(t *testing.T) {
			c := qt.New(t)
			core := newCore(topology(1, 4, "a"))
			choice := core.Choose(request(0, firstObject))
			core.Done(choice, yuccaadmission.Result{Now: start, Declined: true, HoldOff: test.holdOff})
			rejected := core.Choose(request(time.Millisecond, firstObject))
			c.Assert(rejected.Excluded.String(), qt.Equals, " (heldoff:1)")
			if test.holdOff < time.Second {
				c.Assert(rejected.RetryAfter >= test.holdOff-time.Millisecond && rejected.RetryAfter < test.latest, qt.IsTrue, qt.Commentf("%v", rejected.RetryAfter))
			}
			c.Assert(core.Choose(request(test.earliest-time.Millisecond, firstObject)).Kind, qt.Equals, yuccaerror.NoServer)
			first := core.Choose(request(test.latest, firstObject))
			c.Assert(first.Kind, qt.Equals, yuccaerror.None)
			c.Assert(core.Choose(request(test.latest, firstObject)).Kind, qt.Equals, yuccaerror.NoServer, qt.Commentf("the first request goes alone"))
			core.Done(first, yuccaadmission.Result{Now: start.Add(test.latest), Succeeded: true, TimeToHeader: time.Millisecond})
			for range 3 {
				c.Assert(core.Choose(request(test.latest, firstObject)).Kind, qt.Equals, yuccaerror.None)
			}
		})
	}
}

// TestHoldOffCoversAllServices has a server that runs two services reject a request of
// one of them: it gets none of the other either.
func TestHoldOffCoversAllServices(t *testing.T) {
	c := qt.New(t)
	w := topology(1, 4, "a")
	other := w.Servers[0]
	other.Service = "other"
	w.Servers = append(w.Servers, other)
	core := newCore(w)
	choice := core.Choose(request(0, firstObject))
	c.Assert(choice.Kind, qt.Equals, yuccaerror.None)
	core.Done(choice, yuccaadmission.Result{Now: start, Declined: true, HoldOff: time.Second})
	r := request(time.Millisecond, firstObject)
	r.Service = other.Service
	c.Assert(core.Choose(r).Kind, qt.Not(qt.Equals), yuccaerror.None)
	r = request(2500*time.Millisecond, firstObject)
	r.Service = other.Service
	c.Assert(core.Choose(r).Kind, qt.Equals, yuccaerror.None)
}

// TestHoldOffOutlastsItsEntry guards against requests to a server that has asked to hold off
// and whose entry went for a moment, and against a restarted server that is held off.
func TestHoldOffOutlastsItsEntry(t *testing.T) {
	tests := []struct {
		name string
		// askedAt is the number of changes of the list before run 7 asks.
		askedAt int
		// runs are the runs that are listed after run 7, one after the other; zero is
		// none.
		runs []int64
		want yuccaerror.Kind
	}{
		{"before", 0, []int64{0, 7}, yuccaerror.NoServer},
		{"meanwhile", 1, []int64{0, 7}, yuccaerror.NoServer},
		{"restarted", 0, []int64{0, 8}, yuccaerror.None},
		{"restarted, asked meanwhile", 1, []int64{0, 8}, yuccaerror.None},
		{"restarted, asked afterwards", 1, []int64{8}, yuccaerror.None},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			list := func(run int64) yuccabalancer.Topology {
				w := topology(min(1, int(run)), 4, "a")
				for i := range w.Servers {
					w.Servers[i].Run = run
				}
				return w
			}
			core := newCore(list(7))
			choice := core.Choose(request(0, firstObject))
			ask := func() {
				core.Done(choice, yuccaadmission.Result{Now: start, Declined: true, HoldOff: time.Second})
			}
			if test.askedAt == 0 {
				ask()
			}
			for i, run := range test.runs {
				core.Update(list(run))
				if test.askedAt == i+1 {
					ask()
				}
			}
			qt.Assert(t, core.Choose(request(time.Millisecond, firstObject)).Kind, qt.Equals, test.want)
			qt.Assert(t, core.Choose(request(1500*time.Millisecond, firstObject)).Kind, qt.Equals, yuccaerror.None)
		})
	}
}

// TestHoldOffsEndAtDifferentTimes has one server ask 50 entries at the same moment.
func TestHoldOffsEndAtDifferentTimes(t *testing.T) {
	const (
		entries = 50
		holdOff = 2 * time.Second
		step    = 20 * time.Millisecond
	)
	ended := map[time.Duration]int{}
	for i := range entries {
		core := yuccabalancer.NewCore(yuccabalancer.Location{Entry: fmt.Sprint("e", i), Region: "a", Domain: "a1"})
		core.Update(topology(1, 4, "a"))
		core.HoldOff(start, "a0", holdOff)
		for at := holdOff; ; at += step {
			if core.Choose(request(at, firstObject)).Kind == yuccaerror.None {
				ended[at]++
				break
			}
		}
	}
	for at, n := range ended {
		qt.Check(t, n <= entries/5, qt.IsTrue, qt.Commentf("%d entries return at %v", n, at))
	}
}
