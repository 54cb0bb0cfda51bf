package yuccaretry

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the resolution of the histogram: the number of
	// buckets between a duration and its double.
	bucketsPerDoubling = 8
	// buckets is the number of buckets; they cover 1 µs to 2^26 µs, about 67
	// s.
	buckets = 26 * bucketsPerDoubling
	// maxSamples is the number of samples at which the earlier ones lose
	// half of their weight.
	maxSamples = 2048
	// minSamples is how many samples a quantile needs.
	minSamples = 32
)

// Latency is a histogram of a service's recent latencies, with exponentially
// growing buckets. The zero value is empty.
type Latency struct {
	// counts holds the number of samples in each bucket.
	counts [buckets]uint32
	// total is the sum of counts.
	total uint32
}

// Add adds a sample.
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

// Quantile returns an upper bound of the given quantile (0 to 1). It returns
// false while there are fewer than minSamples samples.
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

// bucket returns the index of the bucket that holds a duration.
func bucket(d time.Duration) int {
	us := max(1, float64(d)/float64(time.Microsecond))
	return min(buckets-1, int(math.Log2(us)*bucketsPerDoubling))
}

// bound returns the upper bound of a bucket.
func bound(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i+1)/bucketsPerDoubling) * float64(time.Microsecond))
}
