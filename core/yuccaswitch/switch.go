// Package yuccaswitch names the mechanisms of an entry (a proxy instance of the system) that
// operators can switch off one by one, to rule them out during an incident or to measure what
// each is worth. Rules that must always hold, such as limits, quotas and slow start's bound,
// have no switch.
//
// A Set is read where the parts of an entry are put together. Decisions don't depend on it.
//
//	off, err := yuccaswitch.Parse([]string{"ramp", "line"})
//	core := yuccabalancer.NewCoreWithout(location, off)
package yuccaswitch

import (
	"slices"
	"strings"

	"yuccawell.example/core/yuccaerror"
)

// Mechanism is the name of a mechanism, as operators write it.
type Mechanism string

// The mechanisms.
const (
	// Affinity sends requests for the same object to the same server.
	Affinity Mechanism = "affinity"
	// Crowding counts the extra slot time of a cold object as a cost while slots are scarce.
	Crowding Mechanism = "crowding"
	// Classes rejects less urgent requests before more urgent ones.
	Classes Mechanism = "classes"
	// Line tells rejected callers to return one after the other.
	Line Mechanism = "line"
	// Ramp increases the part of a server that has started or recovered.
	Ramp Mechanism = "ramp"
	// Spillover sends single requests to another region when the object's own is full.
	Spillover Mechanism = "spillover"
	// Split moves a part of a region's objects to regions with room.
	Split Mechanism = "split"
	// Reports uses the load that servers report.
	Reports Mechanism = "reports"
	// Slowness uses the part of these reports that says how slow the server is at present.
	Slowness Mechanism = "slowness"
	// Hedging sends a second attempt when the first takes unusually long.
	Hedging Mechanism = "hedging"
	// Pipelining runs requests of one connection concurrently.
	Pipelining Mechanism = "pipelining"
	// Capacity leads callers to entries by what these can carry.
	Capacity Mechanism = "capacity"
)

// All returns all mechanisms.
func All() []Mechanism {
	return []Mechanism{
		Affinity, Crowding, Classes, Line, Ramp, Spillover, Split, Reports, Slowness, Hedging, Pipelining, Capacity,
	}
}

// separator stands between the names of a set.
const separator = ","

// Set is a set of mechanisms that are switched off. It is immutable and comparable. The zero
// value is empty.
type Set struct {
	// names are the sorted names of the mechanisms, with separators.
	names string
}

// Parse returns the set of the named mechanisms. Its error is of kind Usage if a name is
// unknown.
func Parse(names []string) (Set, error) {
	var s Set
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(All(), m) {
			return Set{}, yuccaerror.New(yuccaerror.Usage, "unknown mechanism %q, expected some of %s", name, all())
		}
		s = s.With(m)
	}
	return s, nil
}

// all returns the set of all mechanisms.
func all() Set {
	var s Set
	for _, m := range All() {
		s = s.With(m)
	}
	return s
}

// With returns a set that also has a mechanism.
func (s Set) With(m Mechanism) Set {
	if s.Has(m) {
		return s
	}
	names := append(s.Names(), string(m))
	slices.Sort(names)
	return Set{strings.Join(names, separator)}
}

// Has reports whether a mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return slices.Contains(s.Names(), string(m)) }

// Names returns the sorted names of the mechanisms.
func (s Set) Names() []string {
	if s.names == "" {
		return nil
	}
	return strings.Split(s.names, separator)
}

// String returns the names, separated by commas.
func (s Set) String() string { return s.names }
