package yuccabalancer

import (
	"math"
	"time"
)

const (
	// defaultColdRatio is the assumed ratio of cold to warm latency before any
	// sample.
	defaultColdRatio = 3
	// defaultColdWeight is how many samples of cold objects defaultColdRatio
	// counts for. Few samples may all be of objects that another entry cached.
	defaultColdWeight = 5
	// minColdRatio is the lower bound of that ratio, so that servers with a
	// warm object keep some preference.
	minColdRatio = 1.05
	// objectLatencyWeight is the weight of one response in the moving
	// averages of warm and cold latency.
	objectLatencyWeight = 0.05
	// defaultWarmLatency is the assumed warm latency before any response.
	defaultWarmLatency = 50 * time.Millisecond
	// maxMeanSamples is the number of samples after which the mean latency
	// becomes a moving average.
	maxMeanSamples = 100
)

// latencyStats holds a service's latency without queueing: the mean, and
// separately for warm and for cold objects. Shared objects count in the mean
// only. They are warm if another entry has sent them, and would make cold
// objects look cheaper than they are, the more so the more entries there are.
// Requests about no object count only until the first sample of an object, since
// their work may be of another kind.
type latencyStats struct {
	// hasObjects is set by the first sample of an object.
	hasObjects bool
	// mean is the mean of all samples; zero means no sample.
	mean time.Duration
	// meanCount is the number of samples in mean, up to maxMeanSamples.
	meanCount int
	// warm is the moving average for warm objects; zero means no sample.
	warm time.Duration
	// cold is the moving average for cold objects; zero means no sample.
	cold time.Duration
	// coldCount is the number of samples for cold objects.
	coldCount int
}

// observe adds a sample.
func (w *latencyStats) observe(took time.Duration, state cacheState) {
	switch {
	case state == cacheUnused && w.hasObjects:
		return
	case state != cacheUnused && !w.hasObjects:
		*w = latencyStats{hasObjects: true}
	}
	w.meanCount = min(w.meanCount+1, maxMeanSamples)
	w.mean += (took - w.mean) / time.Duration(w.meanCount)
	switch state {
	case cacheWarm:
		w.warm = ewma(w.warm, took, objectLatencyWeight)
	case cacheCold:
		w.cold = ewma(w.cold, took, objectLatencyWeight)
		w.coldCount++
	}
}

// coldRatio returns the ratio of cold to warm latency, at least
// minColdRatio. The fewer samples there are, the more defaultColdRatio counts.
func (w *latencyStats) coldRatio() float64 {
	if w.warm <= 0 || w.coldCount == 0 {
		return defaultColdRatio
	}
	n := float64(w.coldCount)
	measured := float64(w.cold) / float64(w.warm)
	return math.Max(minColdRatio, (defaultColdRatio*defaultColdWeight+measured*n)/(defaultColdWeight+n))
}

// warmLatency returns the warm latency. Without warm samples it is derived
// from the cold latency, without those it is the mean, and without any sample it
// is defaultWarmLatency.
func (w *latencyStats) warmLatency() time.Duration {
	switch {
	case w.warm > 0:
		return w.warm
	case w.cold > 0:
		return w.cold / defaultColdRatio
	case w.mean > 0:
		return w.mean
	}
	return defaultWarmLatency
}
