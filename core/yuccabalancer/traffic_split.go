package yuccabalancer

import (
	"maps"
	"math"

	"github.com/cespare/xxhash/v2"
)

// localUtilization is the part of a region's slots that its own callers may
// use before some of their requests are sent to other regions.
const localUtilization = 0.6

// TrafficSplit maps each region to the part of one region's requests that
// runs there. The parts add up to 1.
type TrafficSplit map[string]float64

// Demand maps each region to the number of slots that its callers' requests
// to a service keep busy.
type Demand map[string]float64

// Spread returns the traffic split of one region's requests to a service.
// Requests run in their own region up to localUtilization of its slots; the
// rest goes to other regions in proportion to their spare slots. When all
// regions together are above localUtilization, they are filled to the same
// utilization. The split is empty when there are no slots.
func Spread(from string, demand Demand, slots map[string]float64) TrafficSplit {
	totalDemand, totalSlots := 0.0, 0.0
	for _, d := range demand {
		totalDemand += d
	}
	for _, s := range slots {
		totalSlots += s
	}
	own := demand[from]
	if totalSlots == 0 {
		return TrafficSplit{}
	}
	if own <= 0 {
		return initialSplit(from, slots)
	}
	utilization := max(localUtilization, totalDemand/totalSlots)
	local := min(own, utilization*slots[from])
	spares := map[string]float64{}
	sum := 0.0
	for region, s := range slots {
		if spare := utilization*s - min(demand[region], utilization*s); region != from && spare > 0 {
			spares[region] = spare
			sum += spare
		}
	}
	if sum == 0 {
		return TrafficSplit{from: 1}
	}
	shares := TrafficSplit{from: local / own}
	for region, spare := range spares {
		shares[region] = (own - local) / own * spare / sum
	}
	return shares
}

// evenSplit returns the traffic split that fills all regions alike: each gets a part in
// proportion to its slots. It is empty when there are no slots.
func evenSplit(slots map[string]float64) TrafficSplit {
	total := 0.0
	for _, s := range slots {
		total += s
	}
	shares := TrafficSplit{}
	for region, s := range slots {
		if s > 0 {
			shares[region] = s / total
		}
	}
	return shares
}

// initialSplit returns the traffic split of a region with unknown demand. It
// assumes that all regions have the same demand and that half of all slots
// are in use.
func initialSplit(from string, slots map[string]float64) TrafficSplit {
	totalSlots := 0.0
	for _, s := range slots {
		totalSlots += s
	}
	demand := Demand{}
	for region := range slots {
		demand[region] = totalSlots / 2 / float64(len(slots))
	}
	if _, ok := slots[from]; !ok {
		demand[from] = totalSlots / 2 / float64(len(slots)+1)
	}
	return Spread(from, demand, slots)
}

// Toward returns a split that is closer to the goal. At most step, as a part
// of all requests, moves to another region. An empty split becomes the goal
// at once.
func (s TrafficSplit) Toward(goal TrafficSplit, step float64) TrafficSplit {
	if len(s) == 0 {
		return maps.Clone(goal)
	}
	moved := 0.0
	for region := range unionKeys(s, goal) {
		moved += math.Abs(goal[region]-s[region]) / 2
	}
	if moved <= step {
		return maps.Clone(goal)
	}
	next := TrafficSplit{}
	for region := range unionKeys(s, goal) {
		if v := s[region] + (goal[region]-s[region])*step/moved; v > 0 {
			next[region] = v
		}
	}
	return next
}

// unionKeys returns a map with the regions of both splits.
func unionKeys(a, b TrafficSplit) TrafficSplit {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// score returns the weighted rendezvous score of a region for an object. The
// region with the highest score gets the object, so that regions get objects
// in proportion to their shares, and a change of the shares moves as few
// objects as possible.
func (s TrafficSplit) score(region string, object uint64) float64 {
	share := s[region]
	if share <= 0 {
		return 0
	}
	return -share / math.Log(unitInterval(mixHashes(object, xxhash.Sum64String(region))))
}

// unitInterval maps a hash to a number between 0 and 1, both excluded.
func unitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// mixHashes combines two hashes into one.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
