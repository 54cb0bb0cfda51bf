package yuccaplan

import (
	"math"
	"slices"
)

// part is a share of a route in millionths, so that sums are exact.
type part int64

const whole part = 1_000_000

func toPart(f float64) part { return part(math.Round(f * float64(whole))) }

func (p part) float() float64 { return float64(p) / float64(whole) }

// spread is how a route is divided: parts by region.
type spread map[string]part

// regions returns the regions with a part, in order of name.
func (s spread) regions() []string {
	all := make([]string, 0, len(s))
	for r, n := range s {
		if n > 0 {
			all = append(all, r)
		}
	}
	slices.Sort(all)
	return all
}

// towards returns how much has to move to turn s into t.
func (s spread) towards(t spread) part {
	var sum part
	for r, n := range t {
		sum += max(0, n-s[r])
	}
	return sum
}

// spreadOf reads a route, with what it holds back.
func spreadOf(r Route) spread {
	s := spread{}
	for _, share := range r.Shares {
		s[share.Region] += toPart(share.Part)
	}
	for _, share := range r.Unroutable {
		s[share.Region] += toPart(share.Part)
	}
	return s
}

// apportion divides total by weight into whole numbers that add up to it. What
// rounding leaves goes to the largest remainders, the first of equals.
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
	rest := make([]float64, len(weights))
	order := make([]int, 0, len(weights))
	for i, w := range weights {
		exact := float64(total) * w / sum
		out[i] = min(int64(exact), left)
		left -= out[i]
		rest[i] = exact - float64(out[i])
		if w > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case rest[a] > rest[b]:
			return -1
		case rest[a] < rest[b]:
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
