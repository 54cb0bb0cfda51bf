package yuccaplan

import (
	"math"
	"slices"
)

// fraction is a fraction of a route's traffic in millionths. Integers keep sums
// exact.
type fraction int64

// wholeRoute is all of a route's traffic.
const wholeRoute fraction = 1_000_000

func toFraction(f float64) fraction { return fraction(math.Round(f * float64(wholeRoute))) }

func (p fraction) float() float64 { return float64(p) / float64(wholeRoute) }

// split is the division of a route's traffic: fractions by destination region.
type split map[string]fraction

// regions returns the regions with a positive fraction, ordered by name.
func (s split) regions() []string {
	all := make([]string, 0, len(s))
	for r, n := range s {
		if n > 0 {
			all = append(all, r)
		}
	}
	slices.Sort(all)
	return all
}

// distanceTo returns the fraction of the traffic that must move to change s into
// t.
func (s split) distanceTo(t split) fraction {
	var sum fraction
	for r, n := range t {
		sum += max(0, n-s[r])
	}
	return sum
}

// splitOf returns the split of a route, including its unroutable shares.
func splitOf(r Route) split {
	s := split{}
	for _, share := range r.Shares {
		s[share.Region] += toFraction(share.Fraction)
	}
	for _, share := range r.Unroutable {
		s[share.Region] += toFraction(share.Fraction)
	}
	return s
}

// apportion divides total by weight into integers that add up to total. The units
// that rounding down leaves go to the largest remainders, with ties to the lower
// index. All results are zero when the weights add up to 0.
func apportion(total int64, weights []float64) []int64 {
	out := make([]int64, len(weights))
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	if sum <= 0 || total <= 0 {
		return out
	}
	left := total
	remainders := make([]float64, len(weights))
	order := make([]int, 0, len(weights))
	for i, w := range weights {
		exact := float64(total) * w / sum
		out[i] = min(int64(exact), left)
		left -= out[i]
		remainders[i] = exact - float64(out[i])
		if w > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case remainders[a] > remainders[b]:
			return -1
		case remainders[a] < remainders[b]:
			return 1
		}
		return a - b
	})
	for k := 0; left > 0; k++ {
		out[order[k%len(order)]]++
		left--
	}
	return out
}
