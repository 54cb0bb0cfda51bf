package yuccasim

import "slices"

// objectCache is the LRU cache of a server: the objects of its last requests, most
// recent first.
type objectCache []uint64

// touch makes object the most recent one, evicts objects over limit and reports
// whether object was in the cache.
func (k *objectCache) touch(object uint64, limit int) bool {
	i := slices.Index(*k, object)
	if i >= 0 {
		*k = slices.Delete(*k, i, i+1)
	}
	*k = slices.Insert(*k, 0, object)
	if len(*k) > limit {
		*k = (*k)[:limit]
	}
	return i >= 0
}
