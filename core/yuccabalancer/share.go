package yuccabalancer

import (
	"maps"
	"math"

	"github.com/cespare/xxhash/v2"
)

// fullness is the share of a region's slots that its own callers may use before
// some of them are sent to other regions.
const fullness = 0.6

// TrafficSplit says which part of the requests that arise in a region runs in each.
type TrafficSplit map[string]float64

// Demand is what the callers of one region ask of a service, in slots busy.
type Demand map[string]float64

// Spread returns the shares of one region's requests of a service. Callers are
// served where they arise as far as the region has room; the rest goes to the
// others by the room they have left. Regions that are full alike are filled
// alike.
func Spread(from string, demand Demand, slots map[string]float64) TrafficSplit {
	total, room := 0.0, 0.0
	for _, d := range demand {
		total += d
	}
	for _, s := range slots {
		room += s
	}
	own := demand[from]
	if room == 0 {
		return TrafficSplit{}
	}
	if own <= 0 {
		return initial(from, slots)
	}
	fill := max(fullness, total/room)
	stay := min(own, fill*slots[from])
	left := map[string]float64{}
	sum := 0.0
	for region, s := range slots {
		if spare := fill*s - min(demand[region], fill*s); region != from && spare > 0 {
			left[region] = spare
			sum += spare
		}
	}
	if sum == 0 {
		return TrafficSplit{from: 1}
	}
	shares := TrafficSplit{from: stay / own}
	for region, spare := range left {
		shares[region] = (own - stay) / own * spare / sum
	}
	return shares
}

// initial returns the shares of a region whose demand is not known: as if all
// regions had the same, and half of all slots were in use.
func initial(from string, slots map[string]float64) TrafficSplit {
	room := 0.0
	for _, s := range slots {
		room += s
	}
	demand := Demand{}
	for region := range slots {
		demand[region] = room / 2 / float64(len(slots))
	}
	if _, ok := slots[from]; !ok {
		demand[from] = room / 2 / float64(len(slots)+1)
	}
	return Spread(from, demand, slots)
}

// Toward returns shares that are at most step nearer to the goal, counted as the
// part of the requests that change their region.
func (s TrafficSplit) Toward(goal TrafficSplit, step float64) TrafficSplit {
	if len(s) == 0 {
		return maps.Clone(goal)
	}
	moved := 0.0
	for region := range union(s, goal) {
		moved += math.Abs(goal[region]-s[region]) / 2
	}
	if moved <= step {
		return maps.Clone(goal)
	}
	next := TrafficSplit{}
	for region := range union(s, goal) {
		if v := s[region] + (goal[region]-s[region])*step/moved; v > 0 {
			next[region] = v
		}
	}
	return next
}

func union(a, b TrafficSplit) TrafficSplit {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// weight ranks a region for an object: the objects are dealt out by the shares,
// and a change of the shares moves no more objects than it must.
func (s TrafficSplit) weight(region string, object uint64) float64 {
	share := s[region]
	if share <= 0 {
		return 0
	}
	return -share / math.Log(unit(mix(object, xxhash.Sum64String(region))))
}

// unit maps a hash to a number between 0 and 1.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// mix joins two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
