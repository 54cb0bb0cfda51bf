package yuccabalancer

import "time"

const (
	// warmTTL is how long a server is assumed to keep an object cached.
	warmTTL = 5 * time.Second
	// maxRecentObjects is how many objects are remembered for one server.
	maxRecentObjects = 512
)

// cacheState is what this entry knows about an object on a server.
type cacheState int

const (
	// cacheCold is an object that this entry has not recently sent to the
	// server.
	cacheCold cacheState = iota
	// cacheWarm is an object that this entry has recently sent to the server.
	cacheWarm
	// cacheShared is an object that this entry has not recently sent to its
	// affinity server. Other entries probably have.
	cacheShared
	// cacheUnused means that the request was about no object.
	cacheUnused
)

// recentObjects maps each object that this entry recently sent to a server
// to the time of its last request.
type recentObjects map[uint64]time.Time

// add records a request for an object. A full map first drops expired
// objects; if none has expired the new one is not recorded.
func (r recentObjects) add(now time.Time, object uint64) {
	if len(r) >= maxRecentObjects {
		for o, at := range r {
			if now.Sub(at) > warmTTL {
				delete(r, o)
			}
		}
	}
	if len(r) < maxRecentObjects {
		r[object] = now
	}
}

// has reports whether the object is still assumed to be warm.
func (r recentObjects) has(now time.Time, object uint64) bool {
	at, ok := r[object]
	return ok && now.Sub(at) < warmTTL
}
