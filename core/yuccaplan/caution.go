package yuccaplan

import "time"

const (
	freshAge   = 2 * time.Second
	staleAge   = time.Minute
	maxCaution = 0.75
	// capacityMargin is the part of a region's capacity that growth leaves free
	// at the greatest caution.
	capacityMargin = 0.4
)

// StalenessDiscount turns the age of a measurement into the part by which a decision that
// rests on it is made smaller: 0 up to two seconds, rising evenly to 0.75 at a
// minute and never falling with age. A measurement that is missing counts as
// one older than a minute.
func StalenessDiscount(age time.Duration) float64 {
	switch {
	case age <= freshAge:
		return 0
	case age >= staleAge:
		return maxCaution
	}
	return maxCaution * float64(age-freshAge) / float64(staleAge-freshAge)
}

// margin is the part of a region's capacity that growth leaves free.
func margin(age time.Duration) float64 {
	return 0.1 + (capacityMargin-0.1)*StalenessDiscount(age)/maxCaution
}
