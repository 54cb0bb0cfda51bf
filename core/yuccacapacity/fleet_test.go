package yuccacapacity_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yuccawell.example/core/yuccacapacity"
	"yuccawell.example/core/yuccafake"
)

func TestMain(m *testing.M) { yuccafake.RunTests(m) }

var (
	largeCapacity = yuccacapacity.Capacity{Cores: 0.8, Megabits: 200, Megabytes: 536}
	smallCapacity = yuccacapacity.Capacity{Cores: 0.112, Megabits: 10, Megabytes: 136}
)

// requestCores and requestMegabits are what a request costs in the replayed loads: 1 ms
// of processor time and a response of 8 KB.
const (
	requestCores    = 0.001
	requestMegabits = 0.064
)

// fleet is the entries of one region. Its callers spread over the entries of each
// response.
type fleet struct {
	entries []yuccacapacity.Entry
	choice  yuccacapacity.Choice
	now     time.Time
	// present holds the shares of the entries while the choice is described by described.
	present   map[string]float64
	described string
}

// newFleet returns a region with large and small entries, alternately in the given number
// of failure domains.
func newFleet(large, small, domains int) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0)}
	for i := range large + small {
		e := yuccacapacity.Entry{Name: fmt.Sprintf("small%02d", i-large), Domain: fmt.Sprint("d", i%domains), Capacity: smallCapacity}
		if i < large {
			e.Name, e.Capacity = fmt.Sprintf("large%02d", i), largeCapacity
		}
		f.entries = append(f.entries, e)
	}
	return f
}

// answers returns the responses for callers with many keys in each failure domain.
func (f *fleet) answers() [][]string {
	var all [][]string
	for key := range uint64(300) {
		for _, domain := range f.domains() {
			all = append(all, f.choice.Answer(domain, key))
		}
	}
	return all
}

func (f *fleet) domains() []string {
	var all []string
	for _, e := range f.entries {
		if !slices.Contains(all, e.Domain) {
			all = append(all, e.Domain)
		}
	}
	return all
}

// shares returns each entry's share of the callers' connections.
func (f *fleet) shares() map[string]float64 {
	shares := map[string]float64{}
	answers := f.answers()
	for _, names := range answers {
		for _, name := range names {
			shares[name] += 1 / float64(len(names)) / float64(len(answers))
		}
	}
	return shares
}

// run replays a demand in requests per second, with a decision and a heartbeat of each
// entry every half second.
func (f *fleet) run(d time.Duration, demand float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		f.choice = f.choice.Next(f.now, f.entries)
		f.load(demand)
	}
	f.choice = f.choice.Next(f.now, f.entries)
}

// load sets the utilization of the entries from the demand.
func (f *fleet) load(demand float64) {
	if described := fmt.Sprint(f.choice.Named(), f.choice.LocalDomains()); described != f.described {
		f.present, f.described = f.shares(), described
	}
	for i := range f.entries {
		e := &f.entries[i]
		rate := demand * f.present[e.Name]
		e.Utilization = yuccacapacity.Utilization{Rate: rate, Cores: rate * requestCores, Megabits: rate * requestMegabits}
	}
}

// remove removes the entries that match selects.
func (f *fleet) remove(match func(yuccacapacity.Entry) bool) {
	f.entries = slices.DeleteFunc(f.entries, match)
	f.choice = f.choice.Next(f.now, f.entries)
}

// named returns how many large and small entries are named.
func (f *fleet) named() (large, small int) {
	for _, name := range f.choice.Named() {
		if strings.HasPrefix(name, "large") {
			large++
		} else {
			small++
		}
	}
	return large, small
}

// assertNamed checks how many large and small entries are named.
func (f *fleet) assertNamed(c *qt.C, large, small int) {
	c.Helper()
	l, s := f.named()
	c.Assert([2]int{l, s}, qt.Equals, [2]int{large, small})
}

// assertDomains checks that every response has entries of two failure domains, and no
// entry twice.
func (f *fleet) assertDomains(c *qt.C) {
	c.Helper()
	domains := map[string]string{}
	for _, e := range f.entries {
		domains[e.Name] = e.Domain
	}
	for _, names := range f.answers() {
		found := map[string]bool{}
		seen := map[string]bool{}
		for _, name := range names {
			found[domains[name]] = true
			c.Assert(seen[name], qt.IsFalse)
			seen[name] = true
		}
		c.Assert(len(found) >= 2, qt.IsTrue, qt.Commentf("%v", names))
	}
}

// maxLoad returns the highest utilization of an entry, as a share of its processor or
// link, if the callers of all domains together have the given demand.
func (f *fleet) maxLoad(demand float64) float64 {
	shares, highest := f.shares(), 0.0
	for _, e := range f.entries {
		rate := shares[e.Name] * demand
		highest = max(highest, rate*requestCores/e.Capacity.Cores, rate*requestMegabits/e.Capacity.Megabits)
	}
	return highest
}
