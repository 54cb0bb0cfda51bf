package yuccapoison

// runCounter counts the runs of each fingerprint in bounded memory. It holds
// two generations of counts: when the newer one is full, it replaces the
// older one, which is dropped.
type runCounter struct {
	// size is how many fingerprints one generation holds.
	size int
	// newer holds the counts of the newer generation.
	newer map[Fingerprint]int
	// older holds the counts of the older generation.
	older map[Fingerprint]int
}

// newRunCounter returns a counter whose generations hold size fingerprints each.
func newRunCounter(size int) runCounter {
	return runCounter{size: size, newer: map[Fingerprint]int{}}
}

// add counts one run.
func (t runCounter) add(p Fingerprint) runCounter {
	if _, ok := t.newer[p]; !ok && len(t.newer) >= t.size {
		t.older, t.newer = t.newer, make(map[Fingerprint]int, t.size)
	}
	t.newer[p]++
	return t
}

// count returns the runs of a fingerprint in both generations.
func (t runCounter) count(p Fingerprint) int { return t.newer[p] + t.older[p] }
