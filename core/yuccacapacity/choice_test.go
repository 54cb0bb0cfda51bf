package yuccacapacity_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"yuccawell.example/core/yuccacapacity"
)

// TestLargeEntriesCarryLowLoad guards against small entries that get as many callers as
// large ones, which saturates them and spreads connections thinly.
func TestLargeEntriesCarryLowLoad(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 98, 4)
	f.run(5*time.Second, 400)
	f.assertNamed(c, 12, 0)
	f.assertDomains(c)
	f.run(time.Minute, 400)
	f.assertNamed(c, 12, 0)
}

// TestIdleRegion has next to no callers, while every entry seems to spend some processor time
// on requests. It guards against small entries that are named because of such noise.
func TestIdleRegion(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 97, 2)
	for i := range f.entries {
		f.entries[i].Utilization = yuccacapacity.Utilization{Rate: 0.02, Cores: 0.02}
	}
	f.choice = f.choice.Next(f.now, f.entries)
	f.assertNamed(c, 3, 0)
}

// TestSmallEntriesAreAddedAsDemandRises guards against large entries that are saturated
// while small ones idle, and against small ones that get more than they carry.
func TestSmallEntriesAreAddedAsDemandRises(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 98, 4)
	previous := 0
	for _, step := range []struct {
		demand   float64
		min, max int
	}{{400, 0, 0}, {4700, 0, 0}, {5200, 7, 20}, {7000, 30, 60}, {11000, 98, 98}} {
		f.run(3*time.Second, step.demand)
		large, small := f.named()
		c.Assert(large, qt.Equals, 12)
		c.Assert(small >= step.min && small <= step.max && small >= previous, qt.IsTrue, qt.Commentf("demand %v: %d small", step.demand, small))
		c.Assert(f.maxLoad(step.demand) < 0.85, qt.IsTrue, qt.Commentf("demand %v: %.2f", step.demand, f.maxLoad(step.demand)))
		f.assertDomains(c)
		previous = small
	}
}

// TestSwellWithinReserve lets the demand grow by 55% at once: no entry is saturated before
// the next decision.
func TestSwellWithinReserve(t *testing.T) {
	for _, demand := range []float64{100, 2000, 4700} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			f := newFleet(12, 98, 4)
			f.run(time.Minute, demand)
			qt.Assert(t, f.maxLoad(1.55*demand) < 0.9, qt.IsTrue, qt.Commentf("%.2f", f.maxLoad(1.55*demand)))
		})
	}
}

// TestNamedEntriesChangeSlowly guards against callers that reconnect with every swing of
// the demand: small entries stay named until they have not been needed for a while.
func TestNamedEntriesChangeSlowly(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 98, 4)
	f.run(5*time.Second, 8000)
	_, before := f.named()
	c.Assert(before > 0, qt.IsTrue)
	for range 5 {
		f.run(8*time.Second, 3000)
		f.assertNamed(c, 12, before)
		f.run(2*time.Second, 8000)
		_, small := f.named()
		c.Assert(small, qt.Equals, before)
	}
	f.run(time.Minute, 3000)
	f.assertNamed(c, 12, 0)
}

// TestFluctuatingDemand has a demand close to the bound with noise: after small entries
// have been added, the named entries do not change any more.
func TestFluctuatingDemand(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 98, 4)
	f.run(5*time.Second, 5300)
	before := f.choice.Named()
	for i := range 40 {
		f.run(2*time.Second, 4700+300*math.Sin(float64(i)))
		c.Assert(f.choice.Named(), qt.DeepEquals, before)
	}
}

// TestLargeEntryDies guards against an entry that is named after it has gone, and against
// a region whose other large entries do not carry its demand.
func TestLargeEntryDies(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 30, 2)
	f.run(10*time.Second, 1500)
	f.assertNamed(c, 4, 0)
	f.remove(func(e yuccacapacity.Entry) bool { return e.Name == "large00" })
	for _, names := range f.answers() {
		c.Assert(slices.Contains(names, "large00"), qt.IsFalse)
	}
	f.run(3*time.Second, 1500)
	large, small := f.named()
	c.Assert(large, qt.Equals, 3)
	c.Assert(small > 0, qt.IsTrue)
	c.Assert(f.maxLoad(1500) < 0.75, qt.IsTrue)
}

// TestMissingEntriesJoin lists entries that join a region in the order in which a directory
// learns that they are ready. It guards against small entries that stay named for
// shrinkDelay because others were not known to be ready at first.
func TestMissingEntriesJoin(t *testing.T) {
	tests := []struct {
		name  string
		order []string
		want  []string
	}{
		{"a large entry last", []string{"large00", "small00", "small01", "large01"}, []string{"large00", "large01"}},
		{"a small entry before its domain's large one", []string{"small01", "large00", "large01", "small00"}, []string{"large00", "large01"}},
		{"the only entry of a domain last", []string{"large00", "small00", "small01"}, []string{"large00", "small01"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(2, 2, 2)
			all := f.entries
			f.entries = nil
			for _, name := range test.order {
				i := slices.IndexFunc(all, func(e yuccacapacity.Entry) bool { return e.Name == name })
				f.entries = append(f.entries, all[i])
				f.choice = f.choice.Next(f.now, f.entries)
			}
			qt.Assert(t, f.choice.Named(), qt.DeepEquals, test.want)
		})
	}
}

// TestReturningEntryChangesNothingAtOnce guards against callers that follow every change of
// a large entry that comes and goes.
func TestReturningEntryChangesNothingAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 4, 2)
	all := slices.Clone(f.entries)
	f.run(10*time.Second, 10)
	f.assertNamed(c, 2, 0)
	f.remove(func(e yuccacapacity.Entry) bool { return e.Name == "large01" })
	f.assertNamed(c, 1, 2)
	f.entries = all
	f.run(5*time.Second, 10)
	f.assertNamed(c, 2, 2)
	f.run(30*time.Second, 10)
	f.assertNamed(c, 2, 0)
}

// TestDomainDies removes all large entries of a failure domain, then all large ones: two
// failure domains stay named, and the small entries of the other domain carry what is sent
// there.
func TestDomainDies(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 30, 2)
	f.run(10*time.Second, 600)
	f.assertNamed(c, 4, 0)
	f.remove(func(e yuccacapacity.Entry) bool { return e.Domain == "d0" && e.Capacity == largeCapacity })
	f.assertDomains(c)
	f.assertNamed(c, 2, 15)
	c.Assert(f.maxLoad(600) < 0.75, qt.IsTrue, qt.Commentf("%.2f", f.maxLoad(600)))
	f.remove(func(e yuccacapacity.Entry) bool { return e.Capacity == largeCapacity })
	f.assertNamed(c, 0, 30)
	f.assertDomains(c)
}

// TestStrong lists entries of a failure domain and those that suit work for the others.
func TestStrong(t *testing.T) {
	tests := []struct {
		name  string
		cores []float64
		want  []string
	}{
		{"large and small", []float64{0.8, 0.4, 0.8}, []string{"e0", "e2"}},
		{"nearly equal", []float64{0.8, 0.7, 0.65}, []string{"e0", "e1", "e2"}},
		{"unknown", []float64{0.8, 0}, nil},
		{"none", nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var all []yuccacapacity.Entry
			for i, cores := range test.cores {
				all = append(all, yuccacapacity.Entry{Name: fmt.Sprint("e", i), Capacity: yuccacapacity.Capacity{Cores: cores, Megabits: 200}})
			}
			strong := yuccacapacity.Strong(all)
			slices.Sort(strong)
			qt.Assert(t, strong, qt.DeepEquals, test.want)
		})
	}
}

// TestNobodyIsLeftOut lists the cases in which every response has all entries, as in
// deployments whose entries are alike or do not tell their capacity.
func TestNobodyIsLeftOut(t *testing.T) {
	tests := []struct {
		name   string
		change func(e *yuccacapacity.Entry, i int)
	}{
		{"all equal", func(e *yuccacapacity.Entry, _ int) { e.Capacity = largeCapacity }},
		{"less than four times as large", func(e *yuccacapacity.Entry, i int) {
			e.Capacity = yuccacapacity.Capacity{Cores: 0.26 + float64(i%2)*0.74, Megabits: 100}
		}},
		{"equal, one is saturated", func(e *yuccacapacity.Entry, i int) {
			e.Capacity, e.Utilization.Saturated = largeCapacity, i == 1
		}},
		{"all unknown", func(e *yuccacapacity.Entry, _ int) { e.Capacity = yuccacapacity.Capacity{} }},
		{"one of an old build", func(e *yuccacapacity.Entry, i int) {
			if i == 7 {
				e.Capacity = yuccacapacity.Capacity{}
			}
		}},
		{"negative cores", nonsense(func(e *yuccacapacity.Entry) { e.Capacity.Cores = -1 })},
		{"cores are not a number", nonsense(func(e *yuccacapacity.Entry) { e.Capacity.Cores = math.NaN() })},
		{"a million cores", nonsense(func(e *yuccacapacity.Entry) { e.Capacity.Cores = 1e6 })},
		{"infinite link", nonsense(func(e *yuccacapacity.Entry) { e.Capacity.Megabits = math.Inf(1) })},
		{"negative memory", nonsense(func(e *yuccacapacity.Entry) { e.Capacity.Megabytes = -1 })},
		{"rate is not a number", nonsense(func(e *yuccacapacity.Entry) { e.Utilization.Rate = math.NaN() })},
		{"infinite processor time", nonsense(func(e *yuccacapacity.Entry) { e.Utilization.Cores = math.Inf(1) })},
		{"negative bandwidth", nonsense(func(e *yuccacapacity.Entry) { e.Utilization.Megabits = -1 })},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(3, 9, 3)
			var want []string
			for i := range f.entries {
				test.change(&f.entries[i], i)
				want = append(want, f.entries[i].Name)
			}
			for range 100 {
				f.choice = f.choice.Next(f.now, f.entries)
				f.now = f.now.Add(time.Second)
				c.Assert(f.choice.Answer("d1", uint64(f.now.Unix())), qt.DeepEquals, want)
			}
			c.Assert(f.choice.Uneven(), qt.IsFalse)
		})
	}
}

// nonsense returns a change of one entry.
func nonsense(change func(*yuccacapacity.Entry)) func(*yuccacapacity.Entry, int) {
	return func(e *yuccacapacity.Entry, i int) {
		if i == 5 {
			change(e)
		}
	}
}

// TestPlausibleLie has one entry announce 40 times the capacity of the others. It is not
// named alone, since the others must be able to carry the demand without it.
func TestPlausibleLie(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 20, 2)
	f.entries[3].Capacity = yuccacapacity.Capacity{Cores: 4.5}
	f.run(30*time.Second, 1500)
	_, named := f.named()
	c.Assert(float64(named-1)*smallCapacity.Cores > 1500*requestCores, qt.IsTrue, qt.Commentf("%d", named))
	f.assertDomains(c)
}

// TestUnknownCapacityOfNewcomer has an entry of an old build join and leave: all are named
// meanwhile, and the small ones are left out again after a while only.
func TestUnknownCapacityOfNewcomer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 30, 2)
	f.run(10*time.Second, 300)
	f.assertNamed(c, 4, 0)
	f.entries = append(f.entries, yuccacapacity.Entry{Name: "old", Domain: "d0"})
	f.run(time.Second, 300)
	f.assertNamed(c, 4, 31)
	f.remove(func(e yuccacapacity.Entry) bool { return e.Name == "old" })
	f.assertNamed(c, 4, 30)
	f.run(time.Minute, 300)
	f.assertNamed(c, 4, 0)
}

// TestSaturatedEntryGetsFewerCallers guards against an entry that keeps its share of the
// callers while requests wait in it, and against a saturated fleet without small entries.
func TestSaturatedEntryGetsFewerCallers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 30, 1)
	f.run(10*time.Second, 1400)
	f.assertNamed(c, 4, 0)
	before := f.shares()["large00"]
	f.entries[0].Utilization.Saturated = true
	f.choice = f.choice.Next(f.now, f.entries)
	c.Assert(f.shares()["large00"] < 0.7*before, qt.IsTrue)
	c.Assert(f.shares()["large00"] > 0, qt.IsTrue)
	for i := range 4 {
		f.entries[i].Utilization.Saturated = true
	}
	f.choice = f.choice.Next(f.now, f.entries)
	_, small := f.named()
	c.Assert(small > 0, qt.IsTrue)
}

// TestLinkBounds has responses that exhaust the link of an entry with much processor time:
// it does not count as large.
func TestLinkBounds(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 8, 2)
	for i := range f.entries {
		f.entries[i].Utilization = yuccacapacity.Utilization{Rate: 100, Cores: 0.01, Megabits: 72}
	}
	f.entries[0].Capacity = yuccacapacity.Capacity{Cores: 4, Megabits: 10}
	f.choice = f.choice.Next(f.now, f.entries)
	shares := f.shares()
	c.Assert(shares["large00"] < 0.1*shares["large01"], qt.IsTrue, qt.Commentf("%v", shares))
}

// TestCallersStayInTheirDomain guards against bytes between failure domains: most
// connections go to the entries of the caller's own domain while these carry its demand,
// and all domains help where they do not.
func TestCallersStayInTheirDomain(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 98, 3)
	f.run(10*time.Second, 600)
	c.Assert(f.choice.LocalDomains(), qt.DeepEquals, []string{"d0", "d1", "d2"})
	f.assertDomains(c)
	for key := range uint64(100) {
		names := f.choice.Answer("d1", key)
		c.Assert(names, qt.HasLen, 5)
		away := 0
		for _, e := range f.entries {
			if slices.Contains(names, e.Name) && e.Domain != "d1" {
				away++
			}
		}
		c.Assert(away, qt.Equals, 1)
	}
	c.Assert(f.choice.Answer("unknown", 1), qt.HasLen, 12)

	// The demand of one domain grows beyond the half of its entries.
	for i := range f.entries {
		if e := &f.entries[i]; e.Domain == "d1" && e.Capacity == largeCapacity {
			e.Utilization.Rate, e.Utilization.Cores = 500, 500*requestCores
		}
	}
	f.choice = f.choice.Next(f.now, f.entries)
	c.Assert(f.choice.LocalDomains(), qt.DeepEquals, []string{"d0", "d2"})
	c.Assert(f.choice.Answer("d1", 1), qt.HasLen, 12)
	f.run(10*time.Second, 600)
	c.Assert(f.choice.LocalDomains(), qt.DeepEquals, []string{"d0", "d2"})
}

// TestRestartedDirectory guards against a directory that names all entries for a while
// after its start, so that callers reconnect, and against directories that differ.
func TestRestartedDirectory(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 98, 4)
	f.run(time.Minute, 400)
	restarted := yuccacapacity.Choice{}.Next(f.now, f.entries)
	c.Assert(restarted.Named(), qt.DeepEquals, f.choice.Named())
	c.Assert(restarted.Answer("d0", 7), qt.DeepEquals, f.choice.Answer("d0", 7))
}

// TestDirectoryStartsFirst guards against a directory that names all entries for a while since
// it knew few of them at first, or heard from none.
func TestDirectoryStartsFirst(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 98, 4)
	all := f.entries
	f.entries = all[:2]
	f.run(time.Second, 10)
	f.entries = nil
	for _, e := range all {
		f.entries = append(f.entries, yuccacapacity.Entry{Name: e.Name, Domain: e.Domain})
	}
	f.choice = f.choice.Next(f.now, f.entries)
	f.assertNamed(c, 12, 98)
	f.entries = all
	f.choice = f.choice.Next(f.now, f.entries)
	f.assertNamed(c, 12, 0)
}

// TestNewcomersAreNotNamed has small entries join a region whose large ones carry the demand.
func TestNewcomersAreNotNamed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 30, 2)
	all := f.entries
	f.run(time.Second, 300)
	f.entries = all[:4]
	f.run(time.Second, 300)
	c.Assert(f.choice.Uneven(), qt.IsFalse)
	f.entries = all
	f.run(time.Second, 300)
	f.assertNamed(c, 4, 0)
}

// TestEveryResponseIsUsable checks for arbitrary regions that a response names entries of
// the region, of two failure domains if there are two, and none twice, and that nothing is
// left out which the demand needs.
func TestEveryResponseIsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Unix(1_800_000_000, 0)}
		number := func(label string, limit float64) float64 { return rapid.Float64Range(0, limit).Draw(t, label) }
		for i := range rapid.IntRange(1, 30).Draw(t, "entries") {
			f.entries = append(f.entries, yuccacapacity.Entry{
				Name:        fmt.Sprint("e", i),
				Domain:      fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "domain")),
				Capacity:    yuccacapacity.Capacity{Cores: 0.01 + number("cores", 4), Megabits: number("megabits", 100)},
				Utilization: yuccacapacity.Utilization{Rate: number("rate", 500), Cores: number("busy", 1), Saturated: rapid.Bool().Draw(t, "saturated")},
			})
		}
		for range 5 {
			f.choice = f.choice.Next(f.now, f.entries)
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			f.entries[0].Utilization.Rate = number("rate", 5000)
			names := f.choice.Answer(f.entries[0].Domain, rapid.Uint64().Draw(t, "key"))
			domains := map[string]bool{}
			for _, name := range names {
				i := slices.IndexFunc(f.entries, func(e yuccacapacity.Entry) bool { return e.Name == name })
				domains[f.entries[i].Domain] = true
			}
			if len(names) == 0 || len(domains) < min(2, len(f.domains())) {
				t.Fatalf("%d names of %d domains", len(names), len(domains))
			}
			slices.Sort(names)
			if len(slices.Compact(slices.Clone(names))) != len(names) {
				t.Fatalf("an entry twice: %v", names)
			}
			if f.choice.Uneven() && len(f.choice.Named()) < len(f.entries) && f.choice.Demand() > f.choice.Capacity()/2 {
				t.Fatalf("entries left out although %v exceeds half of %v", f.choice.Demand(), f.choice.Capacity())
			}
		}
	})
}
