package yuccapeer

import "time"

const (
	// reorderWindow is how many messages of one origin may arrive out of order. It
	// is the number of bits in originState.received.
	reorderWindow = 64
	// originSilence is how long an origin must be silent before a message of an earlier
	// incarnation comes from a new process, which started after its clock had gone back.
	originSilence = 3 * time.Second
)

// duplicateFilter remembers which messages have arrived, so that a message that
// arrives over several paths is handled once.
type duplicateFilter struct {
	// origins maps the name of an origin to its state.
	origins map[string]*originState
}

// originState is a sliding window over the sequence numbers of one origin.
type originState struct {
	// incarnation is the incarnation of the origin's present process.
	incarnation uint64
	// arrivedAt is when a message of that incarnation last arrived.
	arrivedAt time.Time
	// highestSeq is the highest sequence number that has arrived.
	highestSeq uint64
	// received is a bit set: bit N means that highestSeq-N has arrived.
	received uint64
}

func newDuplicateFilter() *duplicateFilter {
	return &duplicateFilter{origins: map[string]*originState{}}
}

// first reports whether a message arrives for the first time, and records it.
// It returns false for messages of an earlier incarnation, unless the origin has been
// silent for originSilence, and for those too old for the window.
func (s *duplicateFilter) first(now time.Time, origin string, incarnation, seq uint64) bool {
	a, ok := s.origins[origin]
	if !ok || incarnation > a.incarnation || incarnation < a.incarnation && now.Sub(a.arrivedAt) > originSilence {
		s.origins[origin] = &originState{incarnation: incarnation, arrivedAt: now, highestSeq: seq, received: 1}
		return true
	}
	if incarnation < a.incarnation {
		return false
	}
	a.arrivedAt = now
	if seq > a.highestSeq {
		a.received = a.received<<min(seq-a.highestSeq, reorderWindow) | 1
		a.highestSeq = seq
		return true
	}
	age := a.highestSeq - seq
	if age >= reorderWindow || a.received&(1<<age) != 0 {
		return false
	}
	a.received |= 1 << age
	return true
}

// retain deletes the state of the origins that are not alive.
func (s *duplicateFilter) retain(alive map[string]bool) {
	for origin := range s.origins {
		if !alive[origin] {
			delete(s.origins, origin)
		}
	}
}
