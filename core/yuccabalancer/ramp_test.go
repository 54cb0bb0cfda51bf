package yuccabalancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccabalancer"
)

const (
	rampBegin  = 10
	rampLength = 60
	slowStart  = 5 * time.Second
	rampSeeds  = 5
)

// coldProcessor returns a slowness that falls from the given one to 1 within a time from
// rampBegin.
func coldProcessor(first float64, length time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		return max(1, first-(first-1)*float64(now-rampBegin*time.Second)/float64(length))
	}
}

// TestRamp restarts servers under load. It guards against servers that get so many requests
// before they are warm that these are late, and against servers that are warm and idle. The
// limits are between the results of the ramp and those of a rate for a fixed time.
func TestRamp(t *testing.T) {
	tests := []struct {
		name string
		// rate is the number of requests a second to eight servers.
		rate float64
		// restarted is how many servers restart, each as long after the one before as
		// apart says.
		restarted int
		apart     time.Duration
		slowness  func(time.Duration) float64
		// maxSeconds is the mean time until the first server carries 0.9 of its part.
		maxSeconds float64
		// maxLate is the mean number of requests that were late on any server, and
		// maxRefused of those without a server.
		maxLate, maxRefused int
	}{
		{"cold objects", 180, 1, 0, nil, 8, 5, 0},
		{"cold processor", 260, 1, 0, coldProcessor(6, 15*time.Second), 15, 45, 0},
		{"bad server", 180, 1, 0, func(time.Duration) float64 { return 8 }, 25, 260, 0},
		{"region", 180, 8, 0, coldProcessor(3, 15*time.Second), 6, 400, 670},
		{"rolling release", 260, 8, 4 * time.Second, func(time.Duration) float64 { return 1.5 }, 8, 2000, 105},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			seconds, late, refused := 0, 0, 0
			for seed := range uint64(rampSeeds) {
				m := newRampSim(3, 8, test.rate, rampLength*time.Second)
				m.random = rand.New(rand.NewPCG(seed, 7))
				m.runUntil(rampBegin * time.Second)
				refused -= m.refused
				for i := range test.restarted {
					m.runUntil(rampBegin*time.Second + time.Duration(i)*test.apart)
					m.restart(i, slowStart).slowness = test.slowness
				}
				m.runUntil(rampLength * time.Second)
				refused += m.refused
				seconds += m.servers["a0"].timeToPart()
				for _, s := range m.servers {
					_, n := s.between(rampBegin, rampLength)
					late += n
				}
			}
			t.Logf("0.9 of its part after %.1f s, %d late, %d refused", float64(seconds)/rampSeeds, late/rampSeeds, refused/rampSeeds)
			c.Assert(float64(seconds)/rampSeeds <= test.maxSeconds, qt.IsTrue)
			c.Assert(late/rampSeeds <= test.maxLate, qt.IsTrue)
			c.Assert(refused/rampSeeds <= test.maxRefused, qt.IsTrue)
		})
	}
}

// timeToPart returns after how many seconds from rampBegin on the server carries 0.9 of its
// part over two seconds. Its part is what it carries at the end.
func (s *simServer) timeToPart() int {
	end, _ := s.between(rampLength-20, rampLength)
	for second := rampBegin; second < rampLength-1; second++ {
		if n, _ := s.between(second, second+2); float64(n) >= 0.9*2*float64(end)/20 {
			return second - rampBegin
		}
	}
	return rampLength
}

// TestRampBegins guards against a server that gets its full part at once after it was
// replaced or avoided, and against a ramp of servers that were warm all the time.
func TestRampBegins(t *testing.T) {
	result := func(change func(*yuccaadmission.Result)) func(int, *yuccaadmission.Result) {
		return func(n int, r *yuccaadmission.Result) {
			if n < 4 {
				r.Succeeded = false
				change(r)
			}
		}
	}
	tests := []struct {
		name string
		// change alters the list of servers after the first request.
		change func(*yuccabalancer.Server)
		result func(n int, r *yuccaadmission.Result)
		want   int
	}{
		{"same server", func(*yuccabalancer.Server) {}, nil, 0},
		{"new run", func(s *yuccabalancer.Server) { s.Run++ }, nil, 1},
		{"slow start", func(s *yuccabalancer.Server) { s.SlowStartUntil = start.Add(time.Second) }, nil, 1},
		{"failures", func(*yuccabalancer.Server) {}, result(func(r *yuccaadmission.Result) { r.Failed = true }), 1},
		{"failed connections", func(*yuccabalancer.Server) {}, result(func(r *yuccaadmission.Result) { r.NoResponse = true }), 1},
		{"rejections", func(*yuccabalancer.Server) {}, result(func(r *yuccaadmission.Result) { r.Failed, r.Declined = true, true }), 0},
		{"hold-off", func(*yuccabalancer.Server) {}, result(func(r *yuccaadmission.Result) { r.HoldOff = 2 * time.Second }), 1},
		{"short hold-off", func(*yuccabalancer.Server) {}, func(n int, r *yuccaadmission.Result) {
			if n == 3 {
				r.HoldOff = 100 * time.Millisecond
			}
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := topology(1, 4, "a")
			w.SlowStartRates = map[string]float64{"s": 10}
			core := newCore(w)
			ramping := 0
			for n := range 12 {
				if n == 1 {
					test.change(&w.Servers[0])
					core.Update(w)
				}
				at := time.Duration(n) * 5 * time.Second
				if n >= 4 {
					at = 20*time.Second + time.Duration(n)*100*time.Millisecond
				}
				choice := core.Choose(request(at, 7))
				if choice.Reason != yuccabalancer.Refused {
					r := yuccaadmission.Result{Now: start.Add(at), Succeeded: true, TimeToHeader: time.Millisecond}
					if test.result != nil {
						test.result(n, &r)
					}
					core.Done(choice, r)
				}
				ramping = max(ramping, core.Status()[0].Ramping)
			}
			qt.Assert(t, ramping, qt.Equals, test.want)
		})
	}
}

// TestNewRunBeginsAnew guards against a ramp that a new run of the server takes over from
// the one before, which has become warm.
func TestNewRunBeginsAnew(t *testing.T) {
	c := qt.New(t)
	w := topology(2, 4, "a")
	w.SlowStartRates = map[string]float64{"s": 10}
	w.Servers[0].SlowStartUntil = start.Add(time.Second)
	core := newCore(w)
	fraction := func(at time.Duration) float64 {
		core.Choose(request(at, 7))
		return core.Status()[0].RampFraction
	}
	c.Assert(fraction(1500*time.Millisecond) < 0.6, qt.IsTrue)
	c.Assert(fraction(5*time.Second) > 0.8, qt.IsTrue)
	w.Servers = append([]yuccabalancer.Server(nil), w.Servers...)
	w.Servers[0].Run, w.Servers[0].SlowStartUntil = 1, time.Time{}
	core.Update(w)
	c.Assert(fraction(5*time.Second), qt.Equals, 0.5)
}

// TestRampKeepsObjects guards against objects that move from server to server while one of
// them is ramping: those that it gets at a lower fraction stay with it.
func TestRampKeepsObjects(t *testing.T) {
	c := qt.New(t)
	w := topology(4, 1000, "a")
	core := newCore(w)
	w.Servers = append([]yuccabalancer.Server(nil), w.Servers...)
	w.Servers[0].Run = 1
	core.Update(w)
	got := map[string]int{}
	for at := time.Duration(0); at <= 6*time.Second; at += time.Second {
		n := 0
		for object := range uint64(400) {
			choice := core.Choose(request(at, object+1))
			key := fmt.Sprint(object)
			if choice.Server() == "a0" {
				n++
				got[key]++
			} else {
				c.Assert(got[key], qt.Equals, 0)
			}
			core.Done(choice, yuccaadmission.Result{Now: start.Add(at)})
		}
		if at == 0 {
			c.Assert(n > 30 && n < 70, qt.IsTrue, qt.Commentf("%d of 400 objects at half of a quarter", n))
		}
	}
	c.Assert(len(got) > 80, qt.IsTrue)
}
