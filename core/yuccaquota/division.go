// Package yuccaquota divides rates that hold for all entries together. An entry is a
// proxy instance of the system. Every entry computes its own part from the list of
// entries, so that dividing a rate needs no message and no agreement.
//
// A Division is one entry's view of the list. A Bucket limits the entry to its part
// of a rate:
//
//	division := yuccaquota.New("e1", []string{"e1", "e2", "e3", "e4"})
//	bucket := yuccaquota.Bucket{}.WithRate(division.ToSenders("server i-7", 12))
//	if bucket.Allows(now) {
//		bucket.Take(now)
//	}
package yuccaquota

import (
	"slices"

	"yuccawell.example/core/yuccapeer"
)

const (
	// senders is how many entries share a rate by ToSenders. The number is bounded
	// because each of them may use one whole unit at once, whatever its part.
	senders = 3
	// usedShare is the fraction of a rate that the senders share. The rest is for the
	// time after entries join or leave, when the entries choose the senders from
	// different lists.
	usedShare = 0.6
)

// Division divides rates among the listed entries. It is immutable. Create one with
// New.
type Division struct {
	// self is the name of this entry.
	self string
	// entries are the names of the listed entries.
	entries []string
	// candidates are the names of the entries that may share a rate by ToSenders; empty
	// means all of entries.
	candidates []string
}

// New returns the division of the entry self by a list of entries, itself included.
func New(self string, entries []string) Division { return Division{self: self, entries: entries} }

// WithEntries returns the division by another list of entries.
func (d Division) WithEntries(entries []string) Division {
	d.entries = entries
	return d
}

// WithCandidates returns the division with other entries that may share a rate by
// ToSenders: those that callers mostly use, as the parts of the others stay unused. None
// means all listed ones.
func (d Division) WithCandidates(names []string) Division {
	d.candidates = names
	return d
}

// With returns the division among the listed entries and others that are not listed.
func (d Division) With(others []string) Division {
	if len(d.candidates) > 0 {
		d.candidates = union(d.candidates, others)
	}
	return d.WithEntries(union(d.entries, others))
}

// union returns the names and those of the others that are not among them.
func union(names, others []string) []string {
	all := slices.Clone(names)
	for _, name := range others {
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	return all
}

// Evenly returns this entry's part of a rate that is divided among all listed entries.
// It suits rates that every entry needs a part of and that are large against the
// number of entries.
func (d Division) Evenly(rate float64) float64 { return Evenly(rate, len(d.entries)) }

// Evenly returns the part of one of a number of entries in a rate that is divided among
// all of them.
func Evenly(rate float64, entries int) float64 { return rate / float64(max(1, entries)) }

// ToSenders returns this entry's part of a rate that a few entries share. They are
// chosen by a rendezvous hash of the key, so that the parts of other keys go to other
// entries. The part is zero if this entry is not among them, or not listed.
//
// While entries hold different lists, there are more senders than in any one list. The
// sum of the parts then stays below 1.5 times the rate as long as there are seven
// senders or fewer. Senders that tell one another of themselves use With, so that the
// best placed ones remain, whatever the lists.
func (d Division) ToSenders(key string, rate float64) float64 {
	candidates := d.candidates
	if len(candidates) == 0 {
		candidates = d.entries
	}
	chosen := yuccapeer.RendezvousTop(key, candidates, senders)
	if !slices.Contains(chosen, d.self) {
		return 0
	}
	return usedShare * rate / float64(len(chosen))
}
