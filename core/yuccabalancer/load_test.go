package yuccabalancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
)

// answer sends a request for an object and has it answered after the time that it took,
// with a load report unless that is nil. It returns the server.
func answer(core *yuccabalancer.Core, at time.Duration, object uint64, took time.Duration, load *yuccaadmission.Load) string {
	choice := core.Choose(patient(at, object))
	core.Done(choice, yuccaadmission.Result{Now: start.Add(at + took), Succeeded: true, TimeToHeader: took, Load: load})
	return choice.Server()
}

// patient returns a request with a long latency budget and a late deadline.
func patient(at time.Duration, object uint64) yuccaadmission.Request {
	req := request(at, object)
	req.LatencyBudget, req.Deadline = time.Minute, req.Now.Add(time.Hour)
	return req
}

// TestDeclinedServerIsFull has a server decline a request. It gets none until half of its
// queue has run, even if that is in time for the request. It guards against a rejection
// that is not remembered, after which the server rejects one request after the other.
func TestDeclinedServerIsFull(t *testing.T) {
	tests := []struct {
		name string
		load *yuccaadmission.Load
		full time.Duration
	}{
		{"reported queue", &yuccaadmission.Load{Running: 4, Waiting: 16, Slots: 4}, 200 * time.Millisecond},
		{"no report", nil, 50 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			core := newCore(topology(1, 4, "a"))
			answer(core, 0, 1, 100*time.Millisecond, nil)
			choice := core.Choose(patient(time.Second, 1))
			core.Done(choice, yuccaadmission.Result{Now: start.Add(time.Second), Declined: true, Load: test.load})
			c.Assert(core.Choose(patient(time.Second+test.full-time.Millisecond, 1)).Kind, qt.Equals, yuccaerror.Shed)
			c.Assert(core.Choose(patient(time.Second+test.full, 1)).Kind, qt.Equals, yuccaerror.None)
		})
	}
}

// TestFullServerIsNotPreferred has the affinity server of an object decline a request. The
// next ones go to another server of the region, although that costs more.
func TestFullServerIsNotPreferred(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(2, 4, "a"))
	answer(core, 0, 7, time.Second, nil)
	choice := core.Choose(patient(2*time.Second, 7))
	core.Done(choice, yuccaadmission.Result{Now: start.Add(2 * time.Second), Declined: true, Load: &yuccaadmission.Load{Running: 4, Waiting: 4, Slots: 4}})
	for range 12 {
		c.Assert(core.Choose(patient(2*time.Second, 7)).Server(), qt.Not(qt.Equals), choice.Server())
	}
}

// TestReportOutlivesShortQueues has a server whose requests take a second report a queue.
// Half a second later requests are still expected to wait. It guards against an estimate
// that forgets a queue sooner than it can shrink.
func TestReportOutlivesShortQueues(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(1, 4, "a"))
	answer(core, 0, 1, time.Second, nil)
	answer(core, 2*time.Second, 1, time.Second, &yuccaadmission.Load{Running: 4, Waiting: 8, Slots: 4})
	c.Assert(core.Choose(patient(3500*time.Millisecond, 1)).Queued, qt.IsTrue)
	core = newCore(topology(1, 4, "a"))
	answer(core, 0, 1, time.Millisecond, nil)
	answer(core, 2*time.Second, 1, time.Millisecond, &yuccaadmission.Load{Running: 4, Waiting: 8, Slots: 4})
	c.Assert(core.Choose(patient(3500*time.Millisecond, 1)).Queued, qt.IsFalse)
}

// TestOldReportsYieldToTheRegion has one of two servers report queues all the time, and
// the other one report free slots once. After a while the other one is expected to have a
// queue too. It guards against entries that each hear of a server every few seconds and
// send it their requests on the word of an old report.
func TestOldReportsYieldToTheRegion(t *testing.T) {
	c := qt.New(t)
	w := topology(2, 4, "a")
	core := newCore(w)
	only(core, w, 0, 0, &yuccaadmission.Load{Slots: 4})
	for i := range 100 {
		only(core, w, time.Duration(i)*100*time.Millisecond, 1, &yuccaadmission.Load{Running: 4, Waiting: 12, Slots: 4})
	}
	c.Assert(only(core, w, 10*time.Second, 0, nil).Queued, qt.IsTrue)
}

// TestRecentReportsOutweighTheRegion has one of two servers report queues all the time,
// and the other one free slots. The latter is expected to have free slots a moment later.
// It guards against an estimate that takes all servers of a region for equal.
func TestRecentReportsOutweighTheRegion(t *testing.T) {
	c := qt.New(t)
	w := topology(2, 4, "a")
	core := newCore(w)
	for i := range 100 {
		at := time.Duration(i) * 100 * time.Millisecond
		only(core, w, at, 0, &yuccaadmission.Load{Slots: 4})
		only(core, w, at, 1, &yuccaadmission.Load{Running: 4, Waiting: 12, Slots: 4})
	}
	c.Assert(only(core, w, 10500*time.Millisecond, 0, nil).Queued, qt.IsFalse)
}

// only sends a request to one of the two servers of a topology, which answers it with a
// load report unless that is nil.
func only(core *yuccabalancer.Core, w yuccabalancer.Topology, at time.Duration, server int, load *yuccaadmission.Load) yuccabalancer.Choice {
	req := patient(at, 1)
	req.AvoidServers = []string{w.Servers[1-server].Name}
	choice := core.Choose(req)
	core.Done(choice, yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: 100 * time.Millisecond, Load: load})
	return choice
}

// TestRejectedCallersReturnOneAfterTheOther fills the only server and rejects 50 callers
// at one moment. It guards against callers who are all told the same time.
func TestRejectedCallersReturnOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(1, 4, "a"))
	for i := range 20 {
		answer(core, time.Duration(i)*50*time.Millisecond, 1, 100*time.Millisecond, nil)
	}
	full := &yuccaadmission.Load{Running: 4, Waiting: 16, Slots: 4}
	answer(core, time.Second, 1, 100*time.Millisecond, full)
	var waits []time.Duration
	for range 50 {
		req := request(1100*time.Millisecond, 1)
		req.Deadline = req.Now.Add(time.Minute)
		choice := core.Choose(req)
		c.Assert(choice.Kind, qt.Equals, yuccaerror.Shed)
		waits = append(waits, choice.RetryAfter)
	}
	c.Assert(waits[2]-waits[0] < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waits))
	c.Assert(waits[10]-waits[0] > 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waits))
}

// TestSlownessLosesItsWeight has a server report that its machine is slow. Requests avoid
// it at first and come back a second later. It guards against a slowness that is kept for
// ever, while machines change many times a second, and against one that is ignored.
func TestSlownessLosesItsWeight(t *testing.T) {
	tests := []struct {
		name     string
		slowness float64
		avoided  bool
	}{
		{"slow", 3, true},
		{"usual", 1, false},
		{"unknown", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			core := newCore(topology(2, 4, "a"))
			choose := func(at time.Duration) yuccabalancer.Choice {
				req := patient(at, 0)
				req.Random = 1
				return core.Choose(req)
			}
			first := choose(0)
			report := &yuccaadmission.Load{Running: 1, Slots: 4, Slowness: test.slowness}
			core.Done(first, yuccaadmission.Result{Now: start.Add(100 * time.Millisecond), Succeeded: true, TimeToHeader: 100 * time.Millisecond, Load: report})
			c.Assert(choose(100*time.Millisecond).Server() != first.Server(), qt.Equals, test.avoided)
			c.Assert(choose(2600*time.Millisecond).Server(), qt.Equals, first.Server())
		})
	}
}

// TestSlowMachineDoesNotCountAsSlowServer has a server report that its machine takes four
// times as long whenever it does. Its usual speed is then not held against it.
func TestSlowMachineDoesNotCountAsSlowServer(t *testing.T) {
	c := qt.New(t)
	w := topology(2, 4, "a")
	core := newCore(w)
	respond := func(at time.Duration, server int, took time.Duration, slowness float64) {
		req := patient(at, 1)
		req.AvoidServers = []string{w.Servers[1-server].Name}
		report := &yuccaadmission.Load{Slots: 4, Slowness: slowness}
		core.Done(core.Choose(req), yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: took, Load: report})
	}
	preferred := 0
	if core.Choose(patient(0, 1)).Server() != w.Servers[0].Name {
		preferred = 1
	}
	for i := range 20 {
		at := time.Duration(i) * 100 * time.Millisecond
		respond(at, preferred, 400*time.Millisecond, 4)
		for range 3 {
			respond(at, 1-preferred, 100*time.Millisecond, 1)
		}
	}
	req := patient(4*time.Second, 0)
	req.Random = 1
	c.Assert(core.Choose(req).Server(), qt.Equals, w.Servers[preferred].Name)
}

// TestRejectedRequestsAreDemand rejects ten requests of 100 ms within a second. They count
// as one request in flight all the time. It guards against a region that seems to need no
// more than its own slots while its callers are rejected and others have room.
func TestRejectedRequestsAreDemand(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(1, 4, "a"))
	full := &yuccaadmission.Load{Running: 4, Waiting: 16, Slots: 4}
	answer(core, 0, 1, 100*time.Millisecond, full)
	core.MeanInFlight(start.Add(100 * time.Millisecond))
	for range 10 {
		c.Assert(core.Choose(request(100*time.Millisecond, 1)).Kind, qt.Equals, yuccaerror.Shed)
	}
	mean := core.MeanInFlight(start.Add(1100 * time.Millisecond))["s"]
	c.Assert(mean > 0.99 && mean < 1.01, qt.IsTrue, qt.Commentf("%v", mean))
}

// TestFullRegionSpillsOver has the only server of a region decline a request. It guards
// against requests that are then rejected while another region has free slots.
func TestFullRegionSpillsOver(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(1, 4, "a", "b"))
	object := uint64(1)
	for answer(core, 0, object, 100*time.Millisecond, nil) != "a0" {
		object++
	}
	choice := core.Choose(patient(time.Second, object))
	c.Assert(choice.Server(), qt.Equals, "a0")
	core.Done(choice, yuccaadmission.Result{Now: start.Add(time.Second), Declined: true})
	choice = core.Choose(patient(time.Second, object))
	c.Assert(choice.Kind, qt.Equals, yuccaerror.None)
	c.Assert(choice.Server(), qt.Equals, "b0")
}
