package yuccaquota_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccaquota"
)

var start = time.Unix(1_800_000_000, 0)

var one = map[string]yuccaquota.Limit{"a": {Rate: 10, Burst: 20}}

// tickUntil calls Tick from one time to another.
func tickUntil(l *yuccaquota.Ledger, from, to time.Time, list ...string) {
	for ; !from.After(to); from = from.Add(100 * time.Millisecond) {
		l.Tick(from, list)
	}
}

// takeAll returns how many requests are admitted at a time.
func takeAll(l *yuccaquota.Ledger, now time.Time) (n int) {
	for {
		if _, ok := l.Take(now, "a"); !ok {
			return n
		}
		n++
	}
}

// TestReturnGivesBackOneRequest guards against a return that counts twice, and against
// returns that exceed what the entry may hold.
func TestReturnGivesBackOneRequest(t *testing.T) {
	c := qt.New(t)
	l := yuccaquota.NewLedger("e1", 1, start)
	tickUntil(l, start, start.Add(10*time.Second), "e1")
	now := start.Add(10 * time.Second)
	l.Apply(now, l.Prepare(one))
	full := takeAll(l, now)
	c.Assert(full, qt.Equals, int(l.Capacity(now, "a")))
	wait, ok := l.Take(now, "a")
	c.Assert(ok, qt.IsFalse)
	c.Assert(wait > 0, qt.IsTrue)
	l.Return("a")
	c.Assert(takeAll(l, now), qt.Equals, 1)
	for range 1000 {
		l.Return("a")
	}
	c.Assert(takeAll(l, now), qt.Equals, full)
	l.Return("unknown")
	_, ok = l.Take(now, "unknown")
	c.Assert(ok, qt.IsTrue, qt.Commentf("an account without a limit"))
}

// TestBucketStartsEmptyAfterRestart guards against a burst that each restart renews, and
// one that a config renews which drops the account for a moment.
func TestBucketStartsEmptyAfterRestart(t *testing.T) {
	c := qt.New(t)
	l := yuccaquota.NewLedger("e1", 1, start)
	l.Apply(start, l.Prepare(one))
	c.Assert(takeAll(l, start), qt.Equals, 0)
	now := start.Add(20 * time.Second)
	tickUntil(l, start, now, "e1")
	c.Assert(takeAll(l, now) > 20, qt.IsTrue)
	l.Apply(now, l.Prepare(nil))
	l.Apply(now, l.Prepare(one))
	c.Assert(takeAll(l, now), qt.Equals, 0)
}

// TestNewLimitReplacesTokens guards against tokens of a higher limit that stay when the
// config lowers it.
func TestNewLimitReplacesTokens(t *testing.T) {
	c := qt.New(t)
	l := yuccaquota.NewLedger("e1", 1, start)
	now := start.Add(20 * time.Second)
	tickUntil(l, start, now, "e1")
	l.Apply(now, l.Prepare(map[string]yuccaquota.Limit{"a": {Rate: 1000, Burst: 1000}}))
	_, ok := l.Take(now, "a")
	c.Assert(ok, qt.IsTrue)
	l.Apply(now, l.Prepare(map[string]yuccaquota.Limit{"a": {Rate: 1, Burst: 1}}))
	c.Assert(takeAll(l, now) <= 21, qt.IsTrue)
}

// pair is two entries, the first of which has requests without end.
type pair struct {
	now         time.Time
	busy, other *yuccaquota.Ledger
	list        []string
	// deliver passes the reports of the other entry on.
	deliver func(r yuccaquota.Report)
}

// newPair returns a pair after 20 s with a list of entries.
func newPair(list ...string) *pair {
	p := &pair{now: start, busy: yuccaquota.NewLedger("e1", 1, start), other: yuccaquota.NewLedger("e2", 1, start), list: list}
	p.deliver = func(r yuccaquota.Report) { p.busy.Receive(p.now, "e2", r) }
	limits := map[string]yuccaquota.Limit{"a": {Rate: 1000}}
	p.busy.Apply(start, p.busy.Prepare(limits))
	p.other.Apply(start, p.other.Prepare(limits))
	p.run(20 * time.Second)
	return p
}

// run returns how many requests the busy entry admits in the time d.
func (p *pair) run(d time.Duration) (admitted int) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		admitted += takeAll(p.busy, p.now)
		p.other.Receive(p.now, "e1", p.busy.Tick(p.now, p.list))
		r := p.other.Tick(p.now, p.list)
		r.Claims = slices.Clone(r.Claims)
		p.deliver(r)
	}
	return admitted
}

// TestLentPart lends the part of the other entry, takes it back and ends it.
func TestLentPart(t *testing.T) {
	const all, half = 940, 470
	tests := []struct {
		name string
		// edit changes what reaches the busy entry, and admitted is what it admits in 1 s,
		// one second later and 10 s later.
		edit        func(p *pair)
		soon, later int
	}{
		{"lent", func(*pair) {}, all, all},
		{"late reports are as old as they are late", func(p *pair) {
			var queue []yuccaquota.Report
			p.deliver = func(r yuccaquota.Report) {
				if queue = append(queue, r); len(queue) > 10 {
					p.busy.Receive(p.now, "e2", queue[0])
					queue = queue[1:]
				}
			}
		}, half, half},
		{"no report has all claims", func(p *pair) {
			deliver := p.deliver
			p.deliver = func(r yuccaquota.Report) {
				if !r.Whole {
					deliver(r)
				}
			}
			p.deliver(yuccaquota.Report{})
			p.now = p.now.Add(50 * time.Millisecond)
			p.busy.Receive(p.now, "e2", yuccaquota.Report{Incarnation: 2, Seq: 1})
			p.deliver = func(r yuccaquota.Report) {
				if r.Incarnation, r.Seq = 2, r.Seq+1; !r.Whole {
					p.busy.Receive(p.now, "e2", r)
				}
			}
		}, half, half},
		{"an old report comes again", func(p *pair) {
			old := p.other.Tick(p.now, p.list)
			old.Claims = []yuccaquota.Claim{}
			old.Whole = true
			deliver := p.deliver
			p.deliver = func(r yuccaquota.Report) {
				for range 100 {
					takeAll(p.other, p.now)
				}
				deliver(r)
				deliver(old)
			}
			p.run(2 * time.Second)
		}, half, half},
		{"the end of a claim is lost", func(p *pair) {
			deliver := p.deliver
			p.deliver = func(r yuccaquota.Report) { takeAll(p.other, p.now); deliver(r) }
			p.run(2 * time.Second)
			p.deliver = func(yuccaquota.Report) {}
			p.run(35 * time.Second)
			p.deliver = deliver
		}, half, all},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPair("e1", "e2")
			test.edit(p)
			p.run(time.Second)
			soon := p.run(time.Second)
			p.run(9 * time.Second)
			later := p.run(time.Second)
			near := func(n, want int) bool { return math.Abs(float64(n-want)) < 60 }
			qt.Assert(t, near(soon, test.soon) && near(later, test.later), qt.IsTrue, qt.Commentf("%d and %d", soon, later))
		})
	}
}

// TestStandstill guards against a process that stood still and goes on with the part of
// entries that have taken it back meanwhile.
func TestStandstill(t *testing.T) {
	c := qt.New(t)
	p := newPair("e1", "e2")
	takeAll(p.busy, p.now)
	p.now = p.now.Add(2 * time.Second)
	admitted := takeAll(p.busy, p.now)
	p.busy.Tick(p.now, p.list)
	p.now = p.now.Add(100 * time.Millisecond)
	admitted += takeAll(p.busy, p.now)
	c.Assert(admitted <= 300, qt.IsTrue, qt.Commentf("%d at once", admitted))
}

// TestPauseKeepsPart guards against an account whose requests pause for some seconds and
// that then has to claim its part anew.
func TestPauseKeepsPart(t *testing.T) {
	p := newPair("e1", "e2")
	for range 100 {
		p.now = p.now.Add(100 * time.Millisecond)
		p.other.Receive(p.now, "e1", p.busy.Tick(p.now, p.list))
		p.deliver(p.other.Tick(p.now, p.list))
	}
	admitted := p.run(time.Second)
	qt.Assert(t, admitted > 1100, qt.IsTrue, qt.Commentf("%d", admitted))
}

// TestUnlistedEntryCountsForAWhile guards against an entry that is taken from the list while
// it still admits, and against one that counts for ever.
func TestUnlistedEntryCountsForAWhile(t *testing.T) {
	c := qt.New(t)
	p := newPair("e1", "e2", "e3")
	p.list = p.list[:2]
	p.run(2 * time.Second)
	admitted := p.run(time.Second)
	c.Assert(admitted < 700, qt.IsTrue, qt.Commentf("%d", admitted))
	p.run(4 * time.Second)
	admitted = p.run(time.Second)
	c.Assert(admitted > 900, qt.IsTrue, qt.Commentf("%d", admitted))
}

// TestLedgerForgets guards against memory that grows with accounts that are removed and
// entries that are gone.
func TestLedgerForgets(t *testing.T) {
	c := qt.New(t)
	l := yuccaquota.NewLedger("e1", 1, start)
	now := start
	for round := range 50 {
		limits := map[string]yuccaquota.Limit{}
		for i := range 20 {
			limits[fmt.Sprint("a", round, "-", i)] = yuccaquota.Limit{Rate: 10}
		}
		l.Apply(now, l.Prepare(limits))
		for name := range limits {
			l.Take(now, name)
			other := yuccaquota.NewLedger(name, 1, now)
			other.Apply(now, other.Prepare(limits))
			other.Take(now, name)
			l.Receive(now, name, other.Tick(now, nil))
		}
		tickUntil(l, now, now.Add(time.Minute), "e1")
		now = now.Add(time.Minute)
	}
	accounts, claims, peers := l.Remembered()
	c.Assert(accounts <= 40, qt.IsTrue, qt.Commentf("%d accounts", accounts))
	c.Assert(claims, qt.Equals, 0)
	c.Assert(peers, qt.Equals, 0)
	for i := range 10_000 {
		l.Receive(now, fmt.Sprint("x", i), yuccaquota.Report{Incarnation: 1, Seq: 1, Entries: math.MaxInt32})
	}
	_, _, peers = l.Remembered()
	c.Assert(peers <= 4096, qt.IsTrue)
}

// TestFairShare divides a whole among claimants.
func TestFairShare(t *testing.T) {
	tests := []struct {
		own    float64
		others []float64
		whole  float64
		part   float64
	}{
		{0, []float64{0.5}, 1, 0},
		{0.2, nil, 1, 1},
		{0.2, []float64{0.2, 0}, 1, 0.5},
		{3, []float64{3, 3, 3}, 1, 0.25},
		{3, []float64{0.1, 0.2, 3}, 1, 0.35},
		{0.1, []float64{3, 3}, 1, 0.1},
		{3, []float64{3}, 0, 0},
	}
	for _, test := range tests {
		got := yuccaquota.FairShare(test.own, test.others, test.whole)
		qt.Assert(t, math.Abs(got-test.part) < 1e-9, qt.IsTrue, qt.Commentf("%v: %v", test, got))
	}
}

// TestIdleCapacitiesStayWithinBound adds up what all entries hold of an account that
// nobody has used, so that the first requests at each entry need no message.
func TestIdleCapacitiesStayWithinBound(t *testing.T) {
	tests := []struct {
		entries int
		limit   yuccaquota.Limit
		// first is how many entries admit a first request.
		first int
	}{
		{7, yuccaquota.Limit{Rate: 5, Burst: 5}, 7},
		{25, yuccaquota.Limit{Rate: 5, Burst: 5}, 25},
		{25, yuccaquota.Limit{Rate: 5}, 22},
		{110, yuccaquota.Limit{Rate: 5, Burst: 5}, 27},
		{110, yuccaquota.Limit{Rate: 100, Burst: 100}, 110},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.entries, test.limit), func(t *testing.T) {
			c := qt.New(t)
			var names []string
			for i := range test.entries {
				names = append(names, fmt.Sprint("e", i))
			}
			first, sum := 0, 0.0
			for _, name := range names {
				l := yuccaquota.NewLedger(name, 1, start)
				now := start.Add(20 * time.Second)
				tickUntil(l, start, now, names...)
				l.Apply(now, l.Prepare(map[string]yuccaquota.Limit{"a": test.limit}))
				sum += l.Capacity(now, "a")
				if _, ok := l.Take(now, "a"); ok {
					first++
				}
			}
			c.Assert(first, qt.Equals, test.first)
			c.Assert(sum <= 1.1*test.limit.Burst+0.6*test.limit.Rate+20, qt.IsTrue, qt.Commentf("%v", sum))
		})
	}
}
