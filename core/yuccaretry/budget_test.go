package yuccaretry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccaretry"
)

const (
	// burst is the default number of additional attempts at once.
	burst = 10
	// maxRetryRatio is the default part of the requests that may be retried.
	maxRetryRatio = 0.10
	// maxHedgeRatio is the default part of the requests that may be hedged.
	maxHedgeRatio = 0.02
)

// TestBudgetBoundsAdditionalAttempts asks for as many retries and hedges as it
// can, in any order with requests and answers, and checks that the budget allows
// no more than the burst and the ratios.
func TestBudgetBoundsAdditionalAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		b := yuccaretry.New(now)
		events := []yuccaretry.Event{yuccaretry.Request, yuccaretry.Retry, yuccaretry.Hedge, yuccaretry.Served}
		requests, attempts, hedges := 0.0, 0.0, 0.0
		for _, m := range rapid.SliceOfN(rapid.SampledFrom(events), 1, 2000).Draw(t, "messages") {
			var ok bool
			b, ok = b.Update(now, m)
			switch {
			case m == yuccaretry.Request:
				requests++
			case m == yuccaretry.Hedge && ok:
				hedges++
				attempts++
			case m == yuccaretry.Retry && ok:
				attempts++
			}
			if attempts > burst+maxRetryRatio*requests+1e-6 || hedges > burst+maxHedgeRatio*requests+1e-6 {
				t.Fatalf("%v additional attempts, %v of them hedges, for %v requests", attempts, hedges, requests)
			}
		}
	})
}

// TestBudgetRefillsWithoutRequests waits for the budget while no request arrives, as
// downloads do that have lost their server: the allowance by time comes all the same.
func TestBudgetRefillsWithoutRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	limits := yuccaretry.Limits{Burst: 2, Rate: 1, Overload: 1}
	b := yuccaretry.NewWithLimits(now, limits)
	allowed := 0
	for range 10 {
		for range 105 {
			var ok bool
			if b, ok = b.Update(now, yuccaretry.Retry); ok {
				allowed++
			}
			now = now.Add(10 * time.Millisecond)
		}
	}
	c.Assert(allowed, qt.Equals, int(limits.Burst)+10)
}

func TestOverloadStopsAdditionalAttempts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	b := yuccaretry.New(now)
	for range 16 {
		b, _ = b.Update(now, yuccaretry.Rejected)
	}
	c.Assert(b.Overloaded(), qt.IsTrue)
	for _, m := range []yuccaretry.Event{yuccaretry.Retry, yuccaretry.Hedge} {
		_, ok := b.Update(now, m)
		c.Assert(ok, qt.IsFalse)
	}
	for range 128 {
		b, _ = b.Update(now, yuccaretry.Served)
	}
	c.Assert(b.Overloaded(), qt.IsFalse)
}

// TestOverloadEndsWithoutResults guards against an overload estimate that stays for good
// because nothing is sent, while results at short intervals keep it as it is.
func TestOverloadEndsWithoutResults(t *testing.T) {
	tests := []struct {
		name     string
		rejected int
		// interval is the time between two results after the rejections, 0 if none come.
		interval time.Duration
		after    time.Duration
		want     bool
	}{
		{"first rejections, soon", 7, 0, 900 * time.Millisecond, false},
		{"first rejections, later", 7, 0, time.Second, true},
		{"everything rejected, soon", 1000, 0, 3 * time.Second, false},
		{"everything rejected, later", 1000, 0, 4 * time.Second, true},
		{"rejections go on", 16, 900 * time.Millisecond, time.Minute, false},
	}
	for _, test := range tests {
		qt.New(t).Run(test.name, func(c *qt.C) {
			start := time.Unix(0, 0)
			b := yuccaretry.New(start)
			for range test.rejected {
				b, _ = b.Update(start, yuccaretry.Rejected)
			}
			for d := test.interval; test.interval > 0 && d < test.after; d += test.interval {
				b, _ = b.Update(start.Add(d), yuccaretry.Rejected)
			}
			_, ok := b.Update(start.Add(test.after), yuccaretry.Retry)
			c.Assert(ok, qt.Equals, test.want)
		})
	}
}

func TestLatencyQuantile(t *testing.T) {
	c := qt.New(t)
	var l yuccaretry.Latency
	_, ok := l.Quantile(0.5)
	c.Assert(ok, qt.IsFalse)
	for i := range 1000 {
		l.Add(time.Duration(i+1) * time.Millisecond)
	}
	for _, q := range []float64{0.5, 0.95, 0.99} {
		d, ok := l.Quantile(q)
		c.Assert(ok, qt.IsTrue)
		exact := q * float64(time.Second)
		c.Assert(float64(d) >= exact && float64(d) <= 1.1*exact, qt.IsTrue, qt.Commentf("%v: %v", q, d))
	}
}
