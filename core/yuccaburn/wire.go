package yuccaburn

import (
	"time"

	"yuccawell.example/core/yuccaerror"
)

// ExportedSnapshot is a copy as an entry shows it to operators, and as a report reads it.
type ExportedSnapshot struct {
	// Body is an encoded SnapshotMessage.
	Body []byte `json:"body"`
}

// ExportSnapshots returns the copies in the form that operators' commands read.
func ExportSnapshots(k SnapshotSet) ([]ExportedSnapshot, error) {
	all := []ExportedSnapshot{}
	for _, c := range k.Snapshots() {
		body, err := encodeCopy(c)
		if err != nil {
			return nil, yuccaerror.Wrap(yuccaerror.Internal, err)
		}
		all = append(all, ExportedSnapshot{body})
	}
	return all, nil
}

// ImportSnapshots takes shared copies into a set. The error is of kind Protocol.
func ImportSnapshots(k SnapshotSet, all []ExportedSnapshot, now time.Time) (SnapshotSet, error) {
	for _, s := range all {
		c, err := decodeCopy(s.Body, now)
		if err != nil {
			return k, err
		}
		k = k.With(c)
	}
	return k, nil
}
