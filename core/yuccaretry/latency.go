package yuccaretry

import (
	"math"
	"time"
)

const (
	// stepsPerDoubling is how finely durations are told apart.
	stepsPerDoubling = 8
	buckets          = 26 * stepsPerDoubling
	// maxSamples is the number of samples at which old ones lose half their
	// weight.
	maxSamples = 2048
	// minSamples is how many samples a quantile needs.
	minSamples = 32
)

// Latency holds the distribution of a service's recent latencies. The zero value
// is empty.
type Latency struct {
	counts [buckets]uint32
	total  uint32
}

// Add counts one sample.
func (l *Latency) Add(d time.Duration) {
	l.counts[bucket(d)]++
	l.total++
	if l.total < maxSamples {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// Quantile returns an upper bound of the given quantile, and false while there
// are too few samples.
func (l *Latency) Quantile(q float64) (time.Duration, bool) {
	if l.total < minSamples {
		return 0, false
	}
	rank := uint32(math.Ceil(q * float64(l.total)))
	sum := uint32(0)
	for i, n := range l.counts {
		sum += n
		if sum >= rank && n > 0 {
			return bound(i), true
		}
	}
	return bound(buckets - 1), true
}

func bucket(d time.Duration) int {
	us := max(1, float64(d)/float64(time.Microsecond))
	return min(buckets-1, int(math.Log2(us)*stepsPerDoubling))
}

func bound(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i+1)/stepsPerDoubling) * float64(time.Microsecond))
}
