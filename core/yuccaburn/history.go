package yuccaburn

import (
	"time"

	"yuccawell.example/core/yuccarule"
)

// Point is how much of an error budget was spent up to a time.
type Point struct {
	At    time.Time `json:"at"`
	Spent float64   `json:"spent"`
}

// History returns how the error budget of a goal was spent in the last length
// of time before now, over all regions. The budget is what the goal allows for
// the requests of that time.
func History(now time.Time, g yuccarule.Goal, all []*Windows, length time.Duration) []Point {
	t := tiers[tierOf(length)]
	steps := int((length + t.step - 1) / t.step)
	counts := make([]Count, steps)
	var total Count
	for _, w := range all {
		w.steps(g.Service, now, length, counts)
	}
	for _, c := range counts {
		total = total.Plus(c)
	}
	budget := float64(total.Total) * (1 - g.Share.Float())
	end := now.Truncate(t.step).Add(t.step)
	points := make([]Point, steps)
	bad := uint64(0)
	for i, c := range counts {
		bad += c.Bad()
		points[i].At = end.Add(-t.step * time.Duration(steps-1-i))
		if budget > 0 {
			points[i].Spent = float64(bad) / budget
		}
	}
	return points
}

// tierOf returns the finest tier that covers a length.
func tierOf(length time.Duration) int {
	i := 0
	for i < len(tiers)-1 && length > tiers[i].span() {
		i++
	}
	return i
}

// steps adds the counts of a service, step by step, the last of which holds
// now.
func (w *Windows) steps(service string, now time.Time, length time.Duration, into []Count) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := tierOf(length)
	first := int64(tiers[i].index(now)) - int64(len(into)) + 1
	for k, s := range w.all {
		if k.Service != service {
			continue
		}
		for _, b := range s[i] {
			if at := int64(b.index) - first; at >= 0 && at < int64(len(into)) {
				into[at] = into[at].Plus(b.counted())
			}
		}
	}
}
