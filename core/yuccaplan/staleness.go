package yuccaplan

import "time"

const (
	// freshAge is the age up to which a measurement counts in full.
	freshAge = 2 * time.Second
	// staleAge is the age from which the discount is at its maximum.
	staleAge = time.Minute
	// maxDiscount is the discount at staleAge and above.
	maxDiscount = 0.75
	// maxFreeFraction is the fraction of a region's capacity that ramps leave
	// free when measurements are stale.
	maxFreeFraction = 0.4
)

// StalenessDiscount returns the fraction by which the planner reduces a decision
// that depends on a measurement of the given age. It is 0 up to an age of 2 s,
// rises linearly to 0.75 at one minute and stays there. For a missing
// measurement, callers pass an age of one minute or more.
func StalenessDiscount(age time.Duration) float64 {
	switch {
	case age <= freshAge:
		return 0
	case age >= staleAge:
		return maxDiscount
	}
	return maxDiscount * float64(age-freshAge) / float64(staleAge-freshAge)
}

// freeFraction returns the fraction of a region's capacity that ramps leave free:
// from 0.1 with fresh measurements to 0.4 with stale ones.
func freeFraction(age time.Duration) float64 {
	return 0.1 + (maxFreeFraction-0.1)*StalenessDiscount(age)/maxDiscount
}
