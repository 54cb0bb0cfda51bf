package yuccaplan

import (
	"math"
	"time"

	"yuccawell.example/core/yuccarule"
)

// linkReserve is the fraction of a link's cap that no budget uses. It absorbs
// responses to requests that an entry has already sent when its rate is reduced.
const linkReserve = 0.1

// defaultRequestBandwidth is the assumed bandwidth of one request, in bytes per
// second, for a service without measurements.
const defaultRequestBandwidth = 64 << 10

// linkDirection is one direction of a link. Responses flow from the region of the
// servers to the region of the entry.
type linkDirection struct{ from, to string }

// linkCaps returns the cap of each link in each direction, in bytes per second.
func linkCaps(rules yuccarule.Rules) map[linkDirection]float64 {
	caps := map[linkDirection]float64{}
	for _, l := range rules.Links {
		caps[linkDirection{l.A, l.B}] = l.Bandwidth.BytesPerSecond()
		caps[linkDirection{l.B, l.A}] = l.Bandwidth.BytesPerSecond()
	}
	return caps
}

// maxLinkGrowth returns the largest fraction of a route's traffic that may move
// onto the link between two regions, given the age of the measurements.
func (w *planner) maxLinkGrowth(service, from, to string, age time.Duration) fraction {
	limit, ok := w.linkCaps[linkDirection{to, from}]
	bytes := w.usage[serviceRegion{service, from}].Bytes
	if from == to || !ok || bytes <= 0 {
		return wholeRoute
	}
	free := limit*(1-freeFraction(age)) - w.linkLoad[linkDirection{to, from}]
	return fraction(max(0, min(1, free/bytes)) * float64(wholeRoute))
}

// allocateRates divides the cap of each link, in each direction, over the
// allocations that use it. A service's weight is its configured weight times the
// bandwidth of its requests.
func (w *planner) allocateRates(allocations []allocation) {
	groups := map[linkDirection][]int{}
	for i, c := range allocations {
		d := linkDirection{c.key.region, c.entry.Region}
		if _, ok := w.linkCaps[d]; ok && d.from != d.to {
			groups[d] = append(groups[d], i)
		}
	}
	weights := w.bandwidthWeights()
	for d, group := range groups {
		w.allocateLink(allocations, group, int64(w.linkCaps[d]*(1-linkReserve)), weights)
	}
}

// allocateLink divides the limit of one link over a group of allocations. As for
// slots, rates that earlier plans still allow are not granted again.
func (w *planner) allocateLink(allocations []allocation, group []int, limit int64, weights map[string]float64) {
	demands := make([]float64, len(group))
	for k, i := range group {
		demands[k] = float64(allocations[i].grantedSlots) * weights[allocations[i].key.service]
	}
	quotas := make([]quota, len(group))
	for k, n := range apportion(limit, demands) {
		c := allocations[group[k]]
		quotas[k] = quota{want: n, last: int64(c.last.Rate), bound: w.maxPriorRate(c)}
	}
	for k, n := range grantQuotas(limit, quotas) {
		allocations[group[k]].grantedRate = n
	}
	for _, i := range group {
		if allocations[i].grantedRate == 0 {
			// Zero would mean that no limit applies. 1 byte per second in effect
			// stops the traffic.
			allocations[i].grantedRate = 1
		}
	}
}

// maxPriorRate returns the highest rate, in bytes per second, that an entry may
// use under earlier plans.
func (w *planner) maxPriorRate(c allocation) int64 {
	if !c.hadBudget || w.opt.ignorePriorRates {
		return 0
	}
	rate := c.last.Rate
	if w.ackedVersions[c.entry.Name] < c.last.Prior.Version {
		rate = max(rate, c.last.Prior.Rate)
	}
	return int64(rate)
}

// bandwidthWeights returns the weight of each service on links: the bandwidth of
// one request in bytes per second, rounded to a power of two, times the
// service's weight and the factor of a coming event.
func (w *planner) bandwidthWeights() map[string]float64 {
	weights := map[string]float64{}
	for _, s := range w.in.Rules.Services {
		bytes := float64(defaultRequestBandwidth)
		var busy, sum float64
		for _, from := range w.in.Rules.Regions {
			u := w.usage[serviceRegion{s.Name, from.Name}]
			busy += u.InFlight
			sum += u.Bytes
		}
		if busy >= 1 && sum >= 1 {
			bytes = math.Pow(2, math.Round(math.Log2(max(sum/busy, 1))))
		}
		weights[s.Name] = bytes * float64(max(s.Priority, 1))
		if e, ok := w.upcomingPeak(s.Name); ok {
			weights[s.Name] *= max(e.Factor, 1)
		}
	}
	return weights
}
