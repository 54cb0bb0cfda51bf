package yuccabalancer

import (
	"slices"

	"yuccawell.example/core/yuccapeer"
)

const (
	// slowStartSenders is how many entries may send to one server in slow start.
	// The number is bounded because each of them may send one request at once,
	// whatever its rate.
	slowStartSenders = 3
	// slowStartShare is the part of the rate that the senders share. The rest is for
	// the time after an entry joins or leaves, when the entries choose their senders
	// from two lists.
	slowStartShare = 0.6
)

// slowStartRate returns this entry's part of the request rate that a server
// receives during slow start, in requests a second. It is zero when this entry
// is not among the senders, which every entry computes with the same
// rendezvous hash, or not among the listed entries.
func (c *Core) slowStartRate(s Server) float64 {
	senders := yuccapeer.RendezvousTop("cold "+s.Name, c.topology.Entries, slowStartSenders)
	if !slices.Contains(senders, c.location.Entry) {
		return 0
	}
	return slowStartShare * c.topology.SlowStartRates[s.Service] / float64(len(senders))
}
