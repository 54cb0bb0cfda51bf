package yuccaliveness

import "slices"

// InRegion returns the entries that a caller in a region and failure domain is
// best served by: those of its region, or all when there is none.
func InRegion(all []Entry, region, _ string) []Entry {
	near := slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.Region != region })
	if len(near) == 0 {
		return all
	}
	return near
}
