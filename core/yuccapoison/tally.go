package yuccapoison

// tally counts the runs of prints in bounded memory: when its newer half is
// full, the older half is forgotten.
type tally struct {
	size       int
	newer, old map[Fingerprint]int
}

func newTally(size int) tally {
	return tally{size: size, newer: map[Fingerprint]int{}}
}

func (t tally) add(p Fingerprint) tally {
	if _, ok := t.newer[p]; !ok && len(t.newer) >= t.size {
		t.old, t.newer = t.newer, make(map[Fingerprint]int, t.size)
	}
	t.newer[p]++
	return t
}

func (t tally) count(p Fingerprint) int { return t.newer[p] + t.old[p] }
