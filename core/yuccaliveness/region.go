package yuccaliveness

import "slices"

// InRegion returns the entries in a client's region, or all entries when the
// region has none.
func InRegion(all []Entry, region string) []Entry {
	inRegion := slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.Region != region })
	if len(inRegion) == 0 {
		return all
	}
	return inRegion
}
