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

// settled returns the only entry, with full tokens, and the time.
func settled(limits map[string]yuccaquota.Limit) (*yuccaquota.Ledger, time.Time) {
	l, now := yuccaquota.NewLedger("e1", 1, start), start.Add(20*time.Second)
	l.Apply(start, l.Prepare(limits))
	tickUntil(l, start, now, "e1")
	return l, now
}

// TestReturnGivesBackOneRequest guards against a return that counts twice, and against
// returns that exceed what the entry has admitted.
func TestReturnGivesBackOneRequest(t *testing.T) {
	c := qt.New(t)
	l, now := settled(one)
	full := takeAll(l, now)
	c.Assert(full, qt.Equals, 21)
	wait, ok := l.Take(now, "a")
	c.Assert(ok, qt.IsFalse)
	c.Assert(wait > 0, qt.IsTrue)
	l.Return("a")
	c.Assert(takeAll(l, now), qt.Equals, 1)
	l.Return("a")
	now = now.Add(time.Millisecond)
	c.Assert(l.Tick(now, []string{"e1"}).Usages[0].Admitted, qt.Equals, uint64(full-1))
	for range 1000 {
		l.Return("a")
	}
	now = now.Add(time.Millisecond)
	c.Assert(l.Tick(now, []string{"e1"}).Usages[0].Admitted, qt.Equals, uint64(0))
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
	l.Tick(start, []string{"e1"})
	c.Assert(takeAll(l, start), qt.Equals, 0)
	l, now := settled(one)
	c.Assert(takeAll(l, now) > 20, qt.IsTrue)
	l.Apply(now, l.Prepare(nil))
	l.Apply(now, l.Prepare(one))
	l.Tick(now.Add(time.Millisecond), []string{"e1"})
	c.Assert(takeAll(l, now.Add(time.Millisecond)), qt.Equals, 0)
}

// TestRestartedEntryAdoptsTokens guards against a restarted entry that cannot admit until
// it has run for a while, and against one that renews what others have used.
func TestRestartedEntryAdoptsTokens(t *testing.T) {
	for _, used := range []bool{false, true} {
		c := qt.New(t)
		p := newPair("e1", "e2")
		p.idle(10 * time.Second)
		if used {
			p.run(3 * time.Second)
		}
		p.busy = yuccaquota.NewLedger("e1", 2, p.now)
		p.busy.Apply(p.now, p.busy.Prepare(map[string]yuccaquota.Limit{"a": {Rate: 1000, Burst: 200}}))
		p.idle(500 * time.Millisecond)
		admitted := takeAll(p.busy, p.now)
		c.Assert(admitted > 20, qt.IsTrue, qt.Commentf("used: %v, admitted %d", used, admitted))
		if used {
			p.busy = yuccaquota.NewLedger("e1", 3, p.now)
			p.busy.Apply(p.now, p.busy.Prepare(map[string]yuccaquota.Limit{"a": {Rate: 1000, Burst: 200}}))
			sum := p.run(2 * time.Second)
			c.Assert(sum < 2200, qt.IsTrue, qt.Commentf("admitted %d after a restart", sum))
		}
	}
}

// TestNewLimitReplacesTokens guards against tokens of a higher limit that stay when the
// config lowers it.
func TestNewLimitReplacesTokens(t *testing.T) {
	c := qt.New(t)
	l, now := settled(map[string]yuccaquota.Limit{"a": {Rate: 1000, Burst: 1000}})
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
	limits := map[string]yuccaquota.Limit{"a": {Rate: 1000, Burst: 200}}
	p.busy.Apply(start, p.busy.Prepare(limits))
	p.other.Apply(start, p.other.Prepare(limits))
	p.run(20 * time.Second)
	return p
}

// run returns how many requests the busy entry admits in the time d.
func (p *pair) run(d time.Duration) (admitted int) {
	for end := p.now.Add(d); p.now.Before(end); {
		admitted += takeAll(p.busy, p.now)
		p.idle(100 * time.Millisecond)
	}
	return admitted
}

// idle exchanges reports without requests for the time d.
func (p *pair) idle(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		r := p.busy.Tick(p.now, p.list)
		r.Usages = slices.Clone(r.Usages)
		p.other.Receive(p.now, "e1", r)
		r = p.other.Tick(p.now, p.list)
		r.Usages = slices.Clone(r.Usages)
		p.deliver(r)
	}
}

// TestOtherEntryIsCounted guards against usage of others that is ignored, counted twice
// when a report is repeated, or lost with a report. Both entries have more requests than
// the limit allows.
func TestOtherEntryIsCounted(t *testing.T) {
	tests := []struct {
		name string
		// edit changes what reaches the busy entry.
		edit func(p *pair)
		// min is how many requests both admit at least in 5 s.
		min int
	}{
		{"all reports arrive", func(*pair) {}, 4500},
		{"reports come twice", func(p *pair) {
			deliver := p.deliver
			p.deliver = func(r yuccaquota.Report) { deliver(r); deliver(r) }
		}, 4500},
		{"every second report is lost", func(p *pair) {
			deliver := p.deliver
			p.deliver = func(r yuccaquota.Report) {
				if r.Seq%2 == 0 {
					deliver(r)
				}
			}
		}, 4500},
		{"all reports are lost", func(p *pair) { p.deliver = func(yuccaquota.Report) {} }, 2400},
		{"late reports of the other's process before", func(p *pair) {
			deliver := p.deliver
			p.deliver = func(r yuccaquota.Report) {
				deliver(r)
				r.Incarnation, r.View, r.Usages = 0, 0, nil
				deliver(r)
			}
		}, 4500},
		{"the other starts again after its clock went back", func(p *pair) {
			p.idle(time.Second)
			p.now = p.now.Add(6 * time.Second)
			p.other = yuccaquota.NewLedger("e2", 0, p.now)
			p.other.Apply(p.now, p.other.Prepare(map[string]yuccaquota.Limit{"a": {Rate: 1000, Burst: 200}}))
		}, 4500},
		{"reports without sense", func(p *pair) {
			deliver := p.deliver
			p.deliver = func(r yuccaquota.Report) {
				for i := range r.Usages {
					r.Usages[i].Tokens = math.NaN()
				}
				deliver(r)
			}
		}, 4500},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPair("e1", "e2")
			test.edit(p)
			admitted := 0
			for i := range 60 {
				n := 0
				for range 50 {
					if _, ok := p.other.Take(p.now, "a"); ok {
						n++
					}
				}
				n += p.run(100 * time.Millisecond)
				if i >= 10 {
					admitted += n
				}
			}
			qt.Assert(t, admitted >= test.min && admitted <= 5300, qt.IsTrue, qt.Commentf("%d", admitted))
		})
	}
}

// TestNaNTokensAreNotAdopted guards against a report whose tokens are not a number and that
// leaves a new entry refusing for ever.
func TestNaNTokensAreNotAdopted(t *testing.T) {
	p := newPair("e1", "e2")
	p.busy = yuccaquota.NewLedger("e1", 2, p.now)
	p.busy.Apply(p.now, p.busy.Prepare(map[string]yuccaquota.Limit{"a": {Rate: 1000, Burst: 200}}))
	deliver := p.deliver
	p.deliver = func(r yuccaquota.Report) {
		for i := range r.Usages {
			r.Usages[i].Tokens = math.NaN()
		}
		deliver(r)
	}
	p.other.Take(p.now, "a")
	admitted := p.run(5 * time.Second)
	qt.Assert(t, admitted > 3000, qt.IsTrue, qt.Commentf("%d", admitted))
}

// TestStandstill guards against a process that stood still and goes on with tokens that
// others may have used meanwhile.
func TestStandstill(t *testing.T) {
	c := qt.New(t)
	p := newPair("e1", "e2")
	takeAll(p.busy, p.now)
	p.now = p.now.Add(2 * time.Second)
	admitted := takeAll(p.busy, p.now)
	p.busy.Tick(p.now, p.list)
	admitted += takeAll(p.busy, p.now)
	c.Assert(admitted <= 400, qt.IsTrue, qt.Commentf("%d at once", admitted))
}

// TestUnlistedEntryCountsForAWhile guards against an entry that is taken from the list while
// it still admits, and against one that counts for ever.
func TestUnlistedEntryCountsForAWhile(t *testing.T) {
	c := qt.New(t)
	p := newPair("e1", "e2", "e3")
	p.list = p.list[:2]
	p.run(2 * time.Second)
	admitted := p.run(time.Second)
	c.Assert(admitted < 750, qt.IsTrue, qt.Commentf("%d", admitted))
	p.run(4 * time.Second)
	admitted = p.run(time.Second)
	c.Assert(admitted > 900, qt.IsTrue, qt.Commentf("%d", admitted))
}

// TestSilenceIsNotDebt guards against requests that the other side of a partition has
// admitted by its own part and that are deducted once the sides hear each other, also from
// an account that has no requests here.
func TestSilenceIsNotDebt(t *testing.T) {
	c := qt.New(t)
	p := newPair("e1", "e2")
	p.idle(10 * time.Second)
	p.busy, p.other = p.other, p.busy
	receive, lost := p.busy, true
	p.deliver = func(r yuccaquota.Report) {
		if !lost {
			receive.Receive(p.now, "e1", r)
		}
	}
	for range 600 {
		takeAll(p.other, p.now)
		p.other.Tick(p.now, p.list)
		p.busy.Tick(p.now, p.list)
		p.now = p.now.Add(100 * time.Millisecond)
	}
	lost = false
	for range 20 {
		p.other.Receive(p.now, "e2", p.busy.Tick(p.now, p.list))
		r := p.other.Tick(p.now, p.list)
		r.Usages = slices.Clone(r.Usages)
		p.deliver(r)
		p.now = p.now.Add(100 * time.Millisecond)
	}
	c.Assert(takeAll(p.busy, p.now) > 0, qt.IsTrue)
}

// TestLedgerForgets guards against memory that grows with accounts that are removed and
// entries that are gone.
func TestLedgerForgets(t *testing.T) {
	c := qt.New(t)
	l := yuccaquota.NewLedger("e1", 1, start)
	now := start
	for round := range 50 {
		limits := map[string]yuccaquota.Limit{"kept": {Rate: 10}}
		for i := range 20 {
			limits[fmt.Sprint("a", round, "-", i)] = yuccaquota.Limit{Rate: 10}
		}
		l.Apply(now, l.Prepare(limits))
		for name := range limits {
			l.Take(now, name)
			other := yuccaquota.NewLedger(fmt.Sprint(name, round), 1, now.Add(-time.Minute))
			other.Tick(now.Add(-time.Second), nil)
			other.Apply(now, other.Prepare(limits))
			other.Take(now, "kept")
			other.Take(now, name)
			l.Receive(now, fmt.Sprint(name, round), other.Tick(now.Add(100*time.Millisecond), nil))
		}
		c.Assert(l.Others("kept") > 0, qt.IsTrue)
		tickUntil(l, now, now.Add(time.Minute), "e1")
		now = now.Add(time.Minute)
	}
	accounts, usages, peers := l.Remembered()
	c.Assert(accounts <= 42, qt.IsTrue, qt.Commentf("%d accounts", accounts))
	c.Assert(usages, qt.Equals, 0)
	c.Assert(peers, qt.Equals, 0)
	for i := range 10_000 {
		l.Receive(now, fmt.Sprint("x", i), yuccaquota.Report{Incarnation: 1, Seq: 1, Entries: math.MaxInt32})
	}
	_, _, peers = l.Remembered()
	c.Assert(peers <= 8192, qt.IsTrue)
}

// TestCutReportIsNotWhole guards against a new entry that takes the accounts beyond the
// length of a report for unused ones.
func TestCutReportIsNotWhole(t *testing.T) {
	limits := map[string]yuccaquota.Limit{}
	for i := range yuccaquota.MaxUsages + 1 {
		limits[fmt.Sprint(i)] = yuccaquota.Limit{Rate: 1, Burst: 1}
	}
	l, now := settled(limits)
	for name := range limits {
		l.Take(now, name)
	}
	for range 40 {
		now = now.Add(l.Interval())
		if r := l.Tick(now, []string{"e1"}); r.Whole && len(r.Usages) == yuccaquota.MaxUsages {
			t.Fatal("a report that lacks accounts says that it has all")
		}
	}
}
