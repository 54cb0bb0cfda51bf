package yuccapeer

// window is how many messages of one origin may arrive out of order.
const window = 64

// seen remembers which messages arrived, so that one that comes over several
// ways is handled once.
type seen struct {
	origins map[string]*arrived
}

type arrived struct {
	start, top uint64
	// bits marks top, top-1 and so on.
	bits uint64
}

func newSeen() *seen { return &seen{origins: map[string]*arrived{}} }

// first reports whether a message has not arrived before. Messages of an
// earlier run of their origin, and those too old to tell, are taken as arrived.
func (s *seen) first(origin string, start, seq uint64) bool {
	a, ok := s.origins[origin]
	if !ok || start > a.start {
		s.origins[origin] = &arrived{start: start, top: seq, bits: 1}
		return true
	}
	if start < a.start {
		return false
	}
	if seq > a.top {
		a.bits = a.bits<<min(seq-a.top, window) | 1
		a.top = seq
		return true
	}
	back := a.top - seq
	if back >= window || a.bits&(1<<back) != 0 {
		return false
	}
	a.bits |= 1 << back
	return true
}

// keep forgets the origins that are not alive.
func (s *seen) keep(alive map[string]bool) {
	for origin := range s.origins {
		if !alive[origin] {
			delete(s.origins, origin)
		}
	}
}
