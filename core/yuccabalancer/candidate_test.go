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

// TestCrowdingWeight has requests queue at the affinity server of an object.
// While the other servers are free, the next request goes to one of them.
// With half of their slots in use it queues too, since a cold object would
// hold a slot that other requests need.
func TestCrowdingWeight(t *testing.T) {
	const slots = 4
	full := yuccaadmission.Load{Running: slots, Waiting: 6, Slots: slots}
	tests := []struct {
		name   string
		others yuccaadmission.Load
		spills bool
	}{
		{"others free", yuccaadmission.Load{Slots: slots}, true},
		{"others half full", yuccaadmission.Load{Running: slots / 2, Slots: slots}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core := newCore(topology(4, slots, "a"))
			serve(core, 0, 300*time.Millisecond, nil)
			serve(core, time.Second, 100*time.Millisecond, nil)
			affinity := fillAffinityServer(core, 3*time.Second, full, test.others)
			a := request(3*time.Second, firstObject)
			a.LatencyBudget = time.Second
			qt.Assert(t, core.Choose(a).Server() != affinity, qt.Equals, test.spills)
		})
	}
}

// firstObject is the first object that serve sends requests for.
const firstObject = 100

// serve sends requests for 60 objects at the same time. Each is answered
// after took, with the load report that load returns for the server.
func serve(core *yuccabalancer.Core, at, took time.Duration, load func(server string) *yuccaadmission.Load) {
	for object := range uint64(60) {
		a := request(at, firstObject+object)
		a.LatencyBudget = time.Second
		choice := core.Choose(a)
		r := yuccaadmission.Result{Now: a.Now, Succeeded: true, TimeToHeader: took}
		if load != nil {
			r.Load = load(choice.Server())
		}
		core.Done(choice, r)
	}
}

// fillAffinityServer has the affinity server of firstObject report one load and the
// other servers another. It returns the name of the affinity server.
func fillAffinityServer(core *yuccabalancer.Core, at time.Duration, full, others yuccaadmission.Load) string {
	a := request(at, firstObject)
	choice := core.Choose(a)
	core.Done(choice, yuccaadmission.Result{Now: a.Now})
	serve(core, at, 100*time.Millisecond, func(server string) *yuccaadmission.Load {
		if server == choice.Server() {
			return &full
		}
		return &others
	})
	return choice.Server()
}

// TestQueueWaitIsBoundedByLatencyBudget sends a request to a server whose
// queue makes it wait for less or for longer than its latency budget of 200
// ms. Only the longer wait is rejected, at once and with a time after which
// to retry, although the deadline is a minute away.
func TestQueueWaitIsBoundedByLatencyBudget(t *testing.T) {
	const slots = 4
	tests := []struct {
		name    string
		waiting int
		kind    yuccaerror.Kind
	}{
		{"wait of 25 ms", 0, yuccaerror.None},
		{"wait of 175 ms", 6, yuccaerror.None},
		{"wait of 300 ms", 11, yuccaerror.Shed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			core := newCore(topology(1, slots, "a"))
			serve(core, 0, 100*time.Millisecond, nil)
			load := yuccaadmission.Load{Running: slots, Waiting: test.waiting, Slots: slots}
			serve(core, time.Second, 100*time.Millisecond, func(string) *yuccaadmission.Load { return &load })
			a := request(time.Second, firstObject)
			a.Deadline = a.Now.Add(time.Minute)
			choice := core.Choose(a)
			c.Assert(choice.Kind, qt.Equals, test.kind)
			if choice.Kind != yuccaerror.None {
				// There is room when the wait is down to 200 ms. The time until then is
				// spread by a quarter to either side.
				c.Assert(choice.RetryAfter >= 75*time.Millisecond && choice.RetryAfter <= 125*time.Millisecond, qt.IsTrue, qt.Commentf("%v", choice.RetryAfter))
			}
		})
	}
}

// TestSharedObjectsDoNotCheapenColdOnes is the load of many entries: the first
// request of this entry for an object finds it cached on its affinity server,
// where other entries have sent it. The fast answers say nothing about cold
// servers, so that a short queue at the affinity server is still worth waiting
// for.
func TestSharedObjectsDoNotCheapenColdOnes(t *testing.T) {
	const slots = 4
	c := qt.New(t)
	core := newCore(topology(4, slots, "a"))
	serve(core, 0, 100*time.Millisecond, nil)
	serve(core, time.Second, 100*time.Millisecond, nil)
	full := yuccaadmission.Load{Running: slots, Waiting: 2, Slots: slots}
	affinity := fillAffinityServer(core, 2*time.Second, full, yuccaadmission.Load{Slots: slots})
	c.Assert(core.Choose(request(2*time.Second, firstObject)).Server(), qt.Equals, affinity)
}

// TestObjectsAreColdInOtherRegions fills the object's region until a request
// would wait for a little longer than its latency budget allows. A server of
// another region is free but would have to fetch the object, which takes
// longer than the wait, so that the request stays. When it would be rejected,
// it goes there.
func TestObjectsAreColdInOtherRegions(t *testing.T) {
	const slots = 4
	tests := []struct {
		name    string
		waiting int
		region  string
	}{
		{"wait of 125 ms", 4, "a"},
		{"wait of 225 ms", 8, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := topology(1, slots, "a", "b")
			core := newCore(w)
			serve(core, 0, 100*time.Millisecond, nil)
			serve(core, time.Second, 100*time.Millisecond, nil)
			load := yuccaadmission.Load{Running: slots, Waiting: test.waiting, Slots: slots}
			serve(core, 2*time.Second, 100*time.Millisecond, func(server string) *yuccaadmission.Load {
				if server == "a0" {
					return &load
				}
				return &yuccaadmission.Load{Slots: slots}
			})
			a := request(2*time.Second, firstObject)
			choice := core.Choose(a)
			c.Assert(choice.Kind, qt.Equals, yuccaerror.None)
			c.Assert(choice.Server()[:1], qt.Equals, test.region)
		})
	}
}

// TestRequestsWithoutObjectDoNotCheapenColdOnes mixes requests about no object,
// which are answered in a millisecond, with requests for objects. A short queue at
// the affinity server is still worth waiting for. Half of the servers are in another
// failure domain, so that requests about no object often go to a server that is not
// the first by hash.
func TestRequestsWithoutObjectDoNotCheapenColdOnes(t *testing.T) {
	const slots = 4
	c := qt.New(t)
	w := topology(40, slots, "a")
	for i := range w.Servers {
		w.Servers[i].Domain = []string{"a1", "a2"}[i%2]
	}
	core := newCore(w)
	serve(core, 0, 100*time.Millisecond, nil)
	for i := range uint64(100) {
		a := request(time.Second, 0)
		a.Random = i
		core.Done(core.Choose(a), yuccaadmission.Result{Now: a.Now, Succeeded: true, TimeToHeader: time.Millisecond})
	}
	serve(core, time.Second, 100*time.Millisecond, nil)
	full := yuccaadmission.Load{Running: slots, Waiting: 2, Slots: slots}
	affinity := fillAffinityServer(core, 2*time.Second, full, yuccaadmission.Load{Slots: slots})
	c.Assert(core.Choose(request(2*time.Second, firstObject)).Server(), qt.Equals, affinity)
}

// TestFewColdSamplesCount has objects answered in 0.3 ms by a server that has had
// them and in 60 ms by any other, with one of three servers in another failure
// domain, 3 ms away. Once, a server takes 50 ms for an object that it has; the
// others go on answering fast. Each object stays with its server all the same,
// although few cold answers were seen.
func TestFewColdSamplesCount(t *testing.T) {
	const objects = 12
	c := qt.New(t)
	w := topology(3, 4, "a")
	w.Servers[1].Domain = "a2"
	core := newCore(w)
	cached := map[string]bool{}
	call := func(object uint64, stall time.Duration) string {
		a := request(time.Second, firstObject+object)
		choice := core.Choose(a)
		took := 300*time.Microsecond + stall
		if key := fmt.Sprint(choice.Server(), object); !cached[key] {
			cached[key], took = true, 60*time.Millisecond
		}
		core.Done(choice, yuccaadmission.Result{Now: a.Now, Succeeded: true, TimeToHeader: took})
		return choice.Server()
	}
	used := map[uint64]string{}
	for range 2 {
		for object := range uint64(objects) {
			used[object] = call(object, 0)
		}
	}
	call(0, 50*time.Millisecond)
	for range 10 {
		for object, server := range used {
			if server != used[0] {
				call(object, 0)
			}
		}
	}
	for object, server := range used {
		c.Check(call(object, 0), qt.Equals, server, qt.Commentf("object %d", object))
	}
}
