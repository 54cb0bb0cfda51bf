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
	"yuccawell.example/core/yuccafake"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var start = time.Unix(1_800_000_000, 0)

// topology returns a topology with n servers of service s in each region.
// Each server has the given number of slots, and region R has the failure
// domain R1.
func topology(n, slots int, regions ...string) yuccabalancer.Topology {
	w := yuccabalancer.Topology{Entries: []string{"e1"}}
	for _, region := range regions {
		for i := range n {
			w.Servers = append(w.Servers, yuccabalancer.Server{
				Name: fmt.Sprintf("%s%d", region, i), Service: "s", Region: region, Domain: region + "1", Slots: slots,
			})
		}
	}
	return w
}

// newCore returns the Core of an entry in region a and failure domain a1.
func newCore(w yuccabalancer.Topology) *yuccabalancer.Core {
	c := yuccabalancer.NewCore(yuccabalancer.Location{Entry: "e1", Region: "a", Domain: "a1"})
	c.Update(w)
	return c
}

// request returns a request for an object that arrives at start+at, with a
// latency budget of 200 ms and a deadline of 1 s.
func request(at time.Duration, object uint64) yuccaadmission.Request {
	now := start.Add(at)
	return yuccaadmission.Request{Now: now, Service: "s", Object: object, Random: object, LatencyBudget: 200 * time.Millisecond, Deadline: now.Add(time.Second)}
}

// TestIneligibleServerIsNeverChosen sends requests for 200 objects while
// server a0 must not be used.
func TestIneligibleServerIsNeverChosen(t *testing.T) {
	tests := []struct {
		name   string
		change func(*yuccabalancer.Topology, *yuccaadmission.Request)
	}{
		{"draining", func(w *yuccabalancer.Topology, _ *yuccaadmission.Request) { w.Servers[0].Draining = true }},
		{"evacuated", func(w *yuccabalancer.Topology, _ *yuccaadmission.Request) {
			w.Servers[0].Domain = "a2"
			w.Evacuated = map[string]bool{"a2": true}
		}},
		{"tried before", func(_ *yuccabalancer.Topology, a *yuccaadmission.Request) { a.AvoidServers = []string{"a0"} }},
		{"slow start without a rate", func(w *yuccabalancer.Topology, _ *yuccaadmission.Request) {
			w.Servers[0].SlowStartUntil = start.Add(time.Hour)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := topology(2, 4, "a")
			a := request(0, 0)
			test.change(&w, &a)
			core := newCore(w)
			for object := range uint64(200) {
				a.Object = object + 1
				choice := core.Choose(a)
				if choice.Kind != yuccaerror.None {
					continue
				}
				c.Assert(choice.Server(), qt.Equals, "a1")
				core.Done(choice, yuccaadmission.Result{Now: a.Now, Succeeded: true, TimeToHeader: time.Millisecond})
			}
		})
	}
}

// TestAllowedRegions sends requests that may run in one region only.
func TestAllowedRegions(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(2, 4, "a", "b", "c"))
	for object := range uint64(100) {
		a := request(0, object+1)
		a.Regions = []string{"c"}
		choice := core.Choose(a)
		c.Assert(choice.Server()[:1], qt.Equals, "c")
		core.Done(choice, yuccaadmission.Result{Now: a.Now, Succeeded: true, TimeToHeader: time.Millisecond})
	}
}

// TestObjectAffinity repeats requests for one object. They go to the same
// server while it has room, and to others when it is full.
func TestObjectAffinity(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(4, 2, "a"))
	var affinity string
	for i := range 50 {
		choice := core.Choose(request(time.Duration(i)*100*time.Millisecond, 7))
		if affinity == "" {
			affinity = choice.Server()
		}
		c.Assert(choice.Server(), qt.Equals, affinity)
		core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true, TimeToHeader: 70 * time.Millisecond})
	}
	others := 0
	for range 12 {
		if core.Choose(request(5*time.Second, 7)).Server() != affinity {
			others++
		}
	}
	c.Assert(others > 0, qt.IsTrue)
}

// TestReportedLoadCounts has a server report that other entries keep it
// full. The next request goes to the other server.
func TestReportedLoadCounts(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(2, 4, "a"))
	first := core.Choose(request(0, 7))
	core.Done(first, yuccaadmission.Result{
		Now: start, Succeeded: true, TimeToHeader: 100 * time.Millisecond,
		Load: &yuccaadmission.Load{Running: 4, Waiting: 40, Slots: 4},
	})
	c.Assert(core.Choose(request(0, 7)).Server(), qt.Not(qt.Equals), first.Server())
}

// TestRejectionCarriesRetryAfter fills every server. Requests that would be
// far too late are rejected at once, with a time after which to retry.
func TestRejectionCarriesRetryAfter(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(2, 2, "a"))
	warm := core.Choose(request(0, 1))
	core.Done(warm, yuccaadmission.Result{Now: start, Succeeded: true, TimeToHeader: 200 * time.Millisecond})
	accepted := 0
	for range 200 {
		choice := core.Choose(request(0, 1))
		if choice.Kind == yuccaerror.None {
			accepted++
			continue
		}
		c.Assert(choice.Kind, qt.Equals, yuccaerror.Shed)
		c.Assert(choice.RetryAfter > 0 && choice.RetryAfter <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", choice.RetryAfter))
	}
	// Four slots serve 20 requests a second, and each request has one second.
	c.Assert(accepted >= 4 && accepted < 40, qt.IsTrue, qt.Commentf("%d", accepted))
}

// TestBlockedAfterConnectionFailure lets a connection to a server fail. The
// server gets no requests at first, and gets them again later.
func TestBlockedAfterConnectionFailure(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(2, 4, "a"))
	first := core.Choose(request(0, 7))
	core.Done(first, yuccaadmission.Result{Now: start, NoResponse: true})
	second := core.Choose(request(0, 7))
	c.Assert(second.Server(), qt.Not(qt.Equals), first.Server())
	core.Done(second, yuccaadmission.Result{Now: start, Succeeded: true, TimeToHeader: time.Millisecond})
	c.Assert(core.Choose(request(6*time.Second, 7)).Server(), qt.Equals, first.Server())
}

// TestSlowStartRate lets up to 40 entries send as many requests as they can to a
// server in slow start. Each holds one of two lists of the entries, as after a change
// that only some have learned of; a list may tell which entries are large. In no second may the server get more than 1.5
// times the rate plus 5 requests.
func TestSlowStartRate(t *testing.T) {
	const (
		maxRateFactor = 1.5
		slack         = 5
	)
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		rate := rapid.Float64Range(1, 30).Draw(t, "rate")
		step := time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
		var lists, large [2][]string
		var cores []*yuccabalancer.Core
		for i := range entries {
			name := fmt.Sprint("e", i)
			cores = append(cores, yuccabalancer.NewCore(yuccabalancer.Location{Entry: name, Region: "a", Domain: "a1"}))
			for l := range lists {
				if rapid.Bool().Draw(t, fmt.Sprint(name, " in list ", l)) {
					lists[l] = append(lists[l], name)
					if i%3 == l {
						large[l] = append(large[l], name)
					}
				}
			}
		}
		uneven := [2]bool{rapid.Bool().Draw(t, "first list uneven"), rapid.Bool().Draw(t, "second list uneven")}
		for i, c := range cores {
			w := topology(1, 1000, "a")
			w.Servers[0].SlowStartUntil = start.Add(time.Hour)
			w.SlowStartRates = map[string]float64{"s": rate}
			l := rapid.IntRange(0, 1).Draw(t, fmt.Sprint("list of e", i))
			w.Entries = lists[l]
			if uneven[l] {
				w.Large = large[l]
			}
			c.Update(w)
		}
		sent := sendAll(cores, step)
		for i := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other < sent[i]+time.Second {
					n++
				}
			}
			if float64(n) > rate*maxRateFactor+slack {
				t.Fatalf("%d requests in one second at a rate of %v", n, rate)
			}
		}
	})
}

// sendAll has each entry send a request at every step of three seconds, and returns
// when those were that a server took.
func sendAll(cores []*yuccabalancer.Core, step time.Duration) []time.Duration {
	var sent []time.Duration
	for at := time.Duration(0); at < 3*time.Second; at += step {
		for i, c := range cores {
			choice := c.Choose(request(at, uint64(i+1)))
			if choice.Kind != yuccaerror.None {
				continue
			}
			sent = append(sent, at)
			c.Done(choice, yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: time.Millisecond})
		}
	}
	return sent
}

// TestSlowStartServerGetsRequests has up to 40 entries that agree on their list send
// requests to a server in slow start. It gets at least one.
func TestSlowStartServerGetsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := topology(1, 1000, "a")
		w.Servers[0].SlowStartUntil = start.Add(time.Hour)
		w.SlowStartRates = map[string]float64{"s": rapid.Float64Range(1, 30).Draw(t, "rate")}
		w.Entries = nil
		var cores []*yuccabalancer.Core
		for i := range rapid.IntRange(1, 40).Draw(t, "entries") {
			w.Entries = append(w.Entries, fmt.Sprint("e", i))
			cores = append(cores, yuccabalancer.NewCore(yuccabalancer.Location{Entry: fmt.Sprint("e", i), Region: "a", Domain: "a1"}))
		}
		for _, c := range cores {
			c.Update(w)
		}
		if len(sendAll(cores, 50*time.Millisecond)) == 0 {
			t.Fatalf("the server in slow start got no request")
		}
	})
}

// TestSlowStartServerGetsRequestsOfLargeEntries has 2 of 40 entries get all callers. It guards
// against a server in slow start whose rate is shared by entries without callers.
func TestSlowStartServerGetsRequestsOfLargeEntries(t *testing.T) {
	c := qt.New(t)
	w := topology(1, 1000, "a")
	w.Servers[0].SlowStartUntil = start.Add(time.Hour)
	w.SlowStartRates = map[string]float64{"s": 10}
	w.Large = []string{"e7", "e30"}
	for i := range 40 {
		w.Entries = append(w.Entries, fmt.Sprint("e", i))
	}
	var cores []*yuccabalancer.Core
	for _, name := range w.Large {
		core := yuccabalancer.NewCore(yuccabalancer.Location{Entry: name, Region: "a", Domain: "a1"})
		core.Update(w)
		cores = append(cores, core)
	}
	c.Assert(len(sendAll(cores, 50*time.Millisecond)) >= 15, qt.IsTrue)
}

// TestFreeSlotIsNeverRejected sends requests with a deadline close to the
// expected latency to servers with free slots. The request may take less
// than the mean, so only a wait for a slot is a reason to reject it.
func TestFreeSlotIsNeverRejected(t *testing.T) {
	c := qt.New(t)
	core := newCore(topology(2, 4, "a"))
	for i := range 30 {
		choice := core.Choose(request(time.Duration(i)*time.Second, 7))
		core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true, TimeToHeader: 700 * time.Millisecond})
	}
	short := request(time.Minute, 7)
	short.Deadline = short.Now.Add(800 * time.Millisecond)
	c.Assert(core.Choose(short).Kind, qt.Equals, yuccaerror.None)
	short.Object = 8
	c.Assert(core.Choose(short).Kind, qt.Equals, yuccaerror.None)
}

// TestAffinityWithoutMeasurements sends one request for each of 20 objects
// before any latency is measured, and a minute later one more for each. Each
// object goes to the same server again, also if that is in another failure
// domain.
func TestAffinityWithoutMeasurements(t *testing.T) {
	c := qt.New(t)
	w := topology(4, 8, "a")
	for i := range w.Servers {
		w.Servers[i].Domain = fmt.Sprint("a", 1+i%2)
	}
	core := newCore(w)
	affinity := map[uint64]string{}
	for object := range uint64(20) {
		choice := core.Choose(request(0, object+1))
		affinity[object] = choice.Server()
		core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true, TimeToHeader: 240 * time.Millisecond})
	}
	used := map[string]bool{}
	for object := range uint64(20) {
		choice := core.Choose(request(time.Minute, object+1))
		used[choice.Server()] = true
		c.Assert(choice.Server(), qt.Equals, affinity[object])
		core.Done(choice, yuccaadmission.Result{Now: start, Succeeded: true, TimeToHeader: 240 * time.Millisecond})
	}
	c.Assert(used, qt.HasLen, 4)
}
