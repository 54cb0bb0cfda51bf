package yuccabalancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
)

// TestSpilloverIsBounded fills a region for long, while another one has room. Of its
// requests no more than 3% leave it, and three at once.
func TestSpilloverIsBounded(t *testing.T) {
	const (
		requests = 1000
		ratio    = 0.03
		burst    = 3
		slots    = 4
	)
	c := qt.New(t)
	core := newCore(topology(1, slots, "a", "b"))
	serve(core, 0, 100*time.Millisecond, nil)
	full := yuccaadmission.Load{Running: slots, Waiting: 20, Slots: slots}
	serve(core, time.Second, 100*time.Millisecond, func(server string) *yuccaadmission.Load {
		if server == "a0" {
			return &full
		}
		return &yuccaadmission.Load{Slots: slots}
	})
	outside := 0
	for range requests {
		choice := core.Choose(request(time.Second, firstObject))
		if choice.Reason == yuccabalancer.Refused {
			continue
		}
		c.Assert(choice.Server(), qt.Equals, "b0")
		outside++
		core.Done(choice, yuccaadmission.Result{Now: start.Add(time.Second), Succeeded: true, TimeToHeader: 100 * time.Millisecond, Load: &yuccaadmission.Load{Slots: slots}})
	}
	c.Assert(outside > 0, qt.IsTrue)
	c.Assert(float64(outside) <= ratio*requests+burst, qt.IsTrue, qt.Commentf("%d requests", outside))
}

// TestFailingServerIsAvoided has a server fail every request. After a few failures its
// objects go to other servers, but for one request each half second.
func TestFailingServerIsAvoided(t *testing.T) {
	const (
		interval = 10 * time.Millisecond
		length   = 10 * time.Second
		// maxProbes allows a request each half second, and the first failures.
		maxProbes = int(length/(500*time.Millisecond)) + 5
	)
	c := qt.New(t)
	core := newCore(topology(4, 4, "a"))
	failed := 0
	for at := time.Duration(0); at < length; at += interval {
		a := request(at, firstObject+uint64(at/interval)%40)
		choice := core.Choose(a)
		result := yuccaadmission.Result{Now: a.Now, Succeeded: true, TimeToHeader: 50 * time.Millisecond}
		if choice.Server() == "a0" {
			failed++
			result = yuccaadmission.Result{Now: a.Now, Failed: true, TimeToHeader: 50 * time.Millisecond}
		}
		core.Done(choice, result)
	}
	c.Assert(failed > 0 && failed <= maxProbes, qt.IsTrue, qt.Commentf("%d requests", failed))
}

// TestFailingServerGetsNoObjects has a server fail every request while objects take much
// longer where they are cold. It guards against a server whose objects stay with it since
// they count as warm there: even a response that is assumed to take several times as
// long is then cheaper than a cold one elsewhere.
func TestFailingServerGetsNoObjects(t *testing.T) {
	const (
		interval = 10 * time.Millisecond
		length   = 10 * time.Second
		warm     = 20 * time.Millisecond
		cold     = 20 * warm
		// maxProbes allows a request each half second, and the first failures.
		maxProbes = int(length/(500*time.Millisecond)) + 5
	)
	c := qt.New(t)
	core := newCore(topology(4, 4, "a"))
	cached := map[string]bool{}
	failed := 0
	for at := time.Duration(0); at < length; at += interval {
		a := request(at, firstObject+uint64(at/interval)/4)
		a.LatencyBudget = 0
		choice := core.Choose(a)
		took := cold
		if key := fmt.Sprint(choice.Server(), a.Object); cached[key] {
			took = warm
		} else {
			cached[key] = true
		}
		result := yuccaadmission.Result{Now: a.Now, Succeeded: true, TimeToHeader: took}
		if choice.Server() == "a0" {
			failed++
			result = yuccaadmission.Result{Now: a.Now, Failed: true, TimeToHeader: took}
		}
		core.Done(choice, result)
	}
	c.Assert(failed > 0 && failed <= maxProbes, qt.IsTrue, qt.Commentf("%d requests", failed))
}

// TestSlowServerIsTriedAgain has a server be slow, and then name a limit for a while, so
// that its objects are cached by other servers. When it is quick again and names no
// limit, it gets its objects back.
func TestSlowServerIsTriedAgain(t *testing.T) {
	const (
		interval  = 20 * time.Millisecond
		slowFrom  = 2 * time.Second
		limitFrom = 4 * time.Second
		limitEnd  = 10 * time.Second
		length    = 20 * time.Second
	)
	c := qt.New(t)
	core := newCore(topology(4, 4, "a"))
	after := 0
	for at := time.Duration(0); at < length; at += interval {
		switch at {
		case limitFrom:
			core.SetNotice("a0", yuccabalancer.Notice{At: start.Add(at), Limited: true, Limit: 0.5})
		case limitEnd:
			core.SetNotice("a0", yuccabalancer.Notice{At: start.Add(at)})
		}
		a := request(at, firstObject+uint64(at/interval)%40)
		choice := core.Choose(a)
		took := 50 * time.Millisecond
		if choice.Server() == "a0" {
			if at >= slowFrom && at < limitFrom {
				took *= 4
			}
			if at >= length-time.Second {
				after++
			}
		}
		core.Done(choice, yuccaadmission.Result{Now: a.Now.Add(took), Succeeded: true, TimeToHeader: took})
	}
	c.Check(after >= 5, qt.IsTrue, qt.Commentf("%d of 50 requests in the last second", after))
}
