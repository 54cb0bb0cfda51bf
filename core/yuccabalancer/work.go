package yuccabalancer

import (
	"math"
	"time"
)

const (
	// warmTime is how long a server is taken to keep an object that it has had.
	warmTime = 5 * time.Second
	// maxRecent is how many objects are remembered of one server.
	maxRecent = 512
	// firstRatio is how many times a warm object's time a cold one's is taken
	// for, until both are known.
	firstRatio = 3
	// ratioFloor keeps some preference for warm objects whatever was measured.
	ratioFloor = 1.05
	workWeight = 0.05
	// firstWork is what a warm object is taken to cost before any answer.
	firstWork   = 50 * time.Millisecond
	enoughTimes = 20
	// maxTimes is the number of times at which earlier ones lose half of their
	// weight in the mean.
	maxTimes = 400
)

// work is what a service's requests take with an object that the server has
// lately had, and with another.
type work struct {
	warm, cold       time.Duration
	warmSeen, unseen int
}

// learn takes the time of an answer.
func (w *work) learn(took time.Duration, warm bool) {
	if warm {
		w.warm = blend(w.warm, took, workWeight)
		w.warmSeen++
	} else {
		w.cold = blend(w.cold, took, workWeight)
		w.unseen++
	}
	if w.warmSeen+w.unseen > maxTimes {
		w.warmSeen, w.unseen = (w.warmSeen+1)/2, (w.unseen+1)/2
	}
}

// mean returns the mean time of all requests.
func (w *work) mean() time.Duration {
	n := time.Duration(w.warmSeen + w.unseen)
	if n == 0 {
		return 0
	}
	return (w.warm*time.Duration(w.warmSeen) + w.cold*time.Duration(w.unseen)) / n
}

// ratio returns how many times a warm object's time a cold one's is.
func (w *work) ratio() float64 {
	if w.warmSeen < enoughTimes || w.unseen < enoughTimes || w.warm <= 0 {
		return firstRatio
	}
	return math.Max(ratioFloor, float64(w.cold)/float64(w.warm))
}

// ofWarm returns the time with an object that the server has, worked out from
// others while none was measured.
func (w *work) ofWarm() time.Duration {
	switch {
	case w.warm > 0:
		return w.warm
	case w.cold > 0:
		return w.cold / firstRatio
	}
	return firstWork
}

// recent holds the objects that a server has lately had from this entry.
type recent map[uint64]time.Time

func (r recent) add(now time.Time, object uint64) {
	if len(r) >= maxRecent {
		for o, at := range r {
			if now.Sub(at) > warmTime {
				delete(r, o)
			}
		}
	}
	if len(r) < maxRecent {
		r[object] = now
	}
}

func (r recent) has(now time.Time, object uint64) bool {
	at, ok := r[object]
	return ok && now.Sub(at) < warmTime
}
