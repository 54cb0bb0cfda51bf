package yuccareplica

import "time"

// settleTime is how long an entry must have been in contact with the platform before
// it passes on what it reads. After an outage, objects that have expired meanwhile
// need some seconds to come back, and the entry keeps them until then.
const settleTime = 3 * time.Second

// Announcement is what an entry tells all others about its copies in each
// heartbeat.
type Announcement struct {
	// Changed holds the sequence number of the last change in each copy, in the
	// order of the prefixes.
	Changed []uint64
	// Contact is how long the entry has been in contact with the platform. Zero
	// means that it is not, or that it leaves the calls to others.
	Contact time.Duration
	// Config is the version of the operators' config that is in force at the entry, zero
	// before the first; see package yuccaversion.
	Config uint64
}

// settled reports whether the entry passes on what it reads.
func (a Announcement) settled() bool { return a.Contact >= settleTime }
