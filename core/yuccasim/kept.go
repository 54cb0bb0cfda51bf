package yuccasim

import "slices"

// kept holds the objects that a server had last, the latest first.
type kept []uint64

// touch makes an object the latest and reports whether it was kept.
func (k *kept) touch(object uint64, limit int) bool {
	at := slices.Index(*k, object)
	if at >= 0 {
		*k = slices.Delete(*k, at, at+1)
	}
	*k = slices.Insert(*k, 0, object)
	if len(*k) > limit {
		*k = (*k)[:limit]
	}
	return at >= 0
}
