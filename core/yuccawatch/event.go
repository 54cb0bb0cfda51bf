package yuccawatch

import (
	"time"

	"yuccawell.example/core/yuccastore"
)

// Event is what a Watcher reports: Listed, Changed, Unchanged, Unreachable, Recovered
// or Restored.
type Event interface{ isEvent() }

type (
	// Listed reports all objects under the prefix.
	Listed struct {
		// At is when the response arrived.
		At time.Time
		// SilentFor is the time since the platform's previous response to this
		// watcher. Zero means that there was none.
		SilentFor time.Duration
		// Page holds all objects.
		Page yuccastore.Page
		// Offered is set if the list was passed to OfferList.
		Offered bool
	}
	// Changed reports the objects that have changed since the previous Listed or
	// Changed event.
	Changed struct {
		// At is when the response arrived.
		At time.Time
		// SilentFor is the time since the platform's previous response to this
		// watcher.
		SilentFor time.Duration
		// Page holds the changed and the deleted objects.
		Page yuccastore.Page
		// Offered is set if the changes were passed to Offer.
		Offered bool
	}
	// Unchanged reports a response without changes.
	Unchanged struct {
		// At is when the response arrived.
		At time.Time
		// Seq is the sequence number of the response.
		Seq uint64
	}
	// Unreachable reports the first failed call of an outage of the platform.
	Unreachable struct {
		// At is when the call failed.
		At time.Time
		// Err is the error of the call.
		Err error
	}
	// Recovered reports that the platform responds again after failed calls, or
	// that a late response showed an outage without a failed call.
	Recovered struct {
		// At is when the response arrived.
		At time.Time
	}
	// Restored reports that the platform has come back from an older copy of itself. The
	// Listed or Changed event that follows shows the copy, with what was written since:
	// objects may be missing, deleted ones be back, and others have older values.
	Restored struct {
		// At is when the response arrived.
		At time.Time
	}
)

func (Listed) isEvent()      {}
func (Changed) isEvent()     {}
func (Unchanged) isEvent()   {}
func (Unreachable) isEvent() {}
func (Recovered) isEvent()   {}
func (Restored) isEvent()    {}
