package yuccaburn

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is what one run of one entry counted, as of the time At.
type Snapshot struct {
	Origin string
	Run    string
	Seq    uint64
	At     time.Time
	// Last is set when the entry stopped after this copy.
	Last    bool
	Windows *Windows
}

// SnapshotSet is an immutable set of copies, the newest of each run. Older runs of the
// same origin stay, since each run counts other requests.
type SnapshotSet struct{ copies []Snapshot }

// With returns the set with a copy taken in. A copy older than the one held is
// left out, so copies may arrive in any order, twice or by several ways.
func (k SnapshotSet) With(c Snapshot) SnapshotSet {
	at, found := slices.BinarySearchFunc(k.copies, c, compareRuns)
	copies := slices.Clone(k.copies)
	switch {
	case !found:
		copies = slices.Insert(copies, at, c)
	case copies[at].Seq < c.Seq:
		copies[at] = c
	}
	return SnapshotSet{copies}
}

// Without returns the set without copies made before a time.
func (k SnapshotSet) Without(before time.Time) SnapshotSet {
	return SnapshotSet{slices.DeleteFunc(slices.Clone(k.copies), func(c Snapshot) bool { return c.At.Before(before) })}
}

// Snapshots returns the copies ordered by origin and run. The caller must not
// change the slice.
func (k SnapshotSet) Snapshots() []Snapshot { return k.copies }

// Windows returns the counts of every copy. They cover different requests.
func (k SnapshotSet) Windows() []*Windows {
	all := make([]*Windows, len(k.copies))
	for i, c := range k.copies {
		all[i] = c.Windows
	}
	return all
}

func compareRuns(a, b Snapshot) int {
	return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Run, b.Run))
}

// Gaps returns what is missing. A run that ended without its last copy may have
// counted requests after its newest one; an entry that answers must have a copy
// at all.
func (k SnapshotSet) Gaps(now time.Time, expected []string, fresh time.Duration) []Gap {
	gaps := []Gap{}
	seen := map[string]bool{}
	for _, c := range k.copies {
		seen[c.Origin] = true
		if !c.Last && now.Sub(c.At) > fresh {
			gaps = append(gaps, Gap{c.Origin, c.At, "ended or unreachable without handing over"})
		}
	}
	for _, name := range expected {
		if !seen[name] {
			gaps = append(gaps, Gap{Entry: name, Why: "no counts from this entry"})
		}
	}
	return gaps
}
