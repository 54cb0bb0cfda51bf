package yuccaplan

import (
	"math"
	"time"

	"yuccawell.example/core/yuccarule"
)

// linkSafety is the part of a link's cap that no budget uses: what an entry has
// sent or asked for cannot be taken back at once.
const linkSafety = 0.1

// usualBytes is the rate of one request of a service that nothing is known of,
// in bytes per second.
const usualBytes = 64 << 10

// direction is one way of a link: answers flow from the region of the servers
// to that of the entry.
type direction struct{ from, to string }

func linkCaps(rules yuccarule.Rules) map[direction]float64 {
	caps := map[direction]float64{}
	for _, l := range rules.Links {
		caps[direction{l.A, l.B}] = l.Bandwidth.Bytes()
		caps[direction{l.B, l.A}] = l.Bandwidth.Bytes()
	}
	return caps
}

// linkGrowth bounds how much of a route may move onto a link.
func (w *world) linkGrowth(service, from, to string, age time.Duration) part {
	limit, ok := w.links[direction{to, from}]
	bytes := w.usage[place{service, from}].Bytes
	if from == to || !ok || bytes <= 0 {
		return whole
	}
	free := limit*(1-margin(age)) - w.booked[direction{to, from}]
	return part(max(0, min(1, free/bytes)) * float64(whole))
}

// rates divides each way of each link over the claims that use it. Services
// weigh by their rule and by the bytes their requests take.
func (w *world) rates(claims []claim) {
	groups := map[direction][]int{}
	for i, c := range claims {
		d := direction{c.place.region, c.entry.Region}
		if _, ok := w.links[d]; ok && d.from != d.to {
			groups[d] = append(groups[d], i)
		}
	}
	weights := w.byteWeights()
	for d, group := range groups {
		w.divide(claims, group, int64(w.links[d]*(1-linkSafety)), weights)
	}
}

// divide grants rates out of one limit, with the same care for earlier plans as
// slots are granted.
func (w *world) divide(claims []claim, group []int, limit int64, weights map[string]float64) {
	wants := make([]float64, len(group))
	for k, i := range group {
		wants[k] = float64(claims[i].granted) * weights[claims[i].place.service]
	}
	all := make([]allotment, len(group))
	for k, n := range apportion(limit, wants) {
		c := claims[group[k]]
		all[k] = allotment{want: n, last: int64(c.last.Rate), bound: w.rateBound(c)}
	}
	for k, n := range allot(limit, all) {
		claims[group[k]].rate = n
	}
	for _, i := range group {
		if claims[i].rate == 0 {
			// Without a rate nothing may be sent, and a zero would lift the bound.
			claims[i].rate = 1
		}
	}
}

// rateBound is the highest rate that an entry may use under earlier plans.
func (w *world) rateBound(c claim) int64 {
	if !c.had || w.opt.noRatePast {
		return 0
	}
	rate := c.last.Rate
	if w.acks[c.entry.Name] < c.last.Prior.Version {
		rate = max(rate, c.last.Prior.Rate)
	}
	return int64(rate)
}

// byteWeights is the expected bytes per second of one request of each service,
// as a power of two, times the service's weight and the factor of an event.
func (w *world) byteWeights() map[string]float64 {
	weights := map[string]float64{}
	for _, s := range w.in.Rules.Services {
		bytes := float64(usualBytes)
		var busy, sum float64
		for _, from := range w.in.Rules.Regions {
			u := w.usage[place{s.Name, from.Name}]
			busy += u.Busy
			sum += u.Bytes
		}
		if busy >= 1 && sum >= 1 {
			bytes = math.Pow(2, math.Round(math.Log2(max(sum/busy, 1))))
		}
		weights[s.Name] = bytes * float64(max(s.Priority, 1))
		if e, ok := w.coming(s.Name); ok {
			weights[s.Name] *= max(e.Factor, 1)
		}
	}
	return weights
}
