package yuccaburn

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot holds the counts of one run of an entry as of a time. A run is one
// lifetime of the entry's process.
type Snapshot struct {
	// Origin is the name of the entry that counted the requests.
	Origin string
	// Run identifies the run of the entry. Each start has a new one.
	Run string
	// Seq increases with every snapshot of a run.
	Seq uint64
	// At is when the snapshot was made.
	At time.Time
	// Final is set when the entry stopped after this snapshot.
	Final bool
	// Windows holds the counts.
	Windows *Windows
}

// SnapshotSet is an immutable set that holds the newest snapshot of each run.
// Earlier runs of the same entry stay, because each run counts different
// requests. The zero value is an empty set.
type SnapshotSet struct{ snapshots []Snapshot }

// With returns the set with a snapshot added. It ignores a snapshot that is
// older than the one it has of that run, so snapshots may arrive in any order,
// more than once and from several senders.
func (k SnapshotSet) With(c Snapshot) SnapshotSet {
	at, found := slices.BinarySearchFunc(k.snapshots, c, compareRuns)
	snapshots := slices.Clone(k.snapshots)
	switch {
	case !found:
		snapshots = slices.Insert(snapshots, at, c)
	case snapshots[at].Seq < c.Seq:
		snapshots[at] = c
	}
	return SnapshotSet{snapshots}
}

// WithoutBefore returns the set without the snapshots made before a time.
func (k SnapshotSet) WithoutBefore(before time.Time) SnapshotSet {
	return SnapshotSet{slices.DeleteFunc(slices.Clone(k.snapshots), func(c Snapshot) bool { return c.At.Before(before) })}
}

// Snapshots returns the snapshots ordered by origin and run. The caller must not
// change the slice.
func (k SnapshotSet) Snapshots() []Snapshot { return k.snapshots }

// Windows returns the counts of every snapshot. They cover different requests.
func (k SnapshotSet) Windows() []*Windows {
	all := make([]*Windows, len(k.snapshots))
	for i, c := range k.snapshots {
		all[i] = c.Windows
	}
	return all
}

// compareRuns orders snapshots by origin and run.
func compareRuns(a, b Snapshot) int {
	return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Run, b.Run))
}

// Gaps returns the entries whose counts are missing or incomplete at now. A run
// whose newest snapshot is not final and older than maxAge may have counted more
// requests since then. Each of the expected entries must have a snapshot.
func (k SnapshotSet) Gaps(now time.Time, expected []string, maxAge time.Duration) []Gap {
	gaps := []Gap{}
	seen := map[string]bool{}
	for _, c := range k.snapshots {
		seen[c.Origin] = true
		if !c.Final && now.Sub(c.At) > maxAge {
			gaps = append(gaps, Gap{c.Origin, c.At, "ended or unreachable without handing over"})
		}
	}
	for _, name := range expected {
		if !seen[name] {
			gaps = append(gaps, Gap{Entry: name, Reason: "no counts from this entry"})
		}
	}
	return gaps
}
