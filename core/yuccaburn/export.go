package yuccaburn

import (
	"time"

	"yuccawell.example/core/yuccaerror"
)

// ExportedSnapshot is the JSON form of a snapshot on an entry's admin page. The
// operators' report reads it.
type ExportedSnapshot struct {
	// Body is an encoded SnapshotMessage.
	Body []byte `json:"body"`
}

// ExportSnapshots returns the snapshots in the form that the operators' report
// reads. Its error is of kind Internal.
func ExportSnapshots(k SnapshotSet) ([]ExportedSnapshot, error) {
	all := []ExportedSnapshot{}
	for _, c := range k.Snapshots() {
		body, err := encodeSnapshot(c)
		if err != nil {
			return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
		}
		all = append(all, ExportedSnapshot{body})
	}
	return all, nil
}

// ImportSnapshots adds exported snapshots to a set. When one can't be decoded,
// it returns the set so far with an error of kind Protocol.
func ImportSnapshots(k SnapshotSet, all []ExportedSnapshot, now time.Time) (SnapshotSet, error) {
	for _, s := range all {
		c, err := decodeSnapshot(s.Body, now)
		if err != nil {
			return k, err
		}
		k = k.With(c)
	}
	return k, nil
}
