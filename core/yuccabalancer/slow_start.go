package yuccabalancer

import "yuccawell.example/core/yuccapeer"

// slowStartSenders is how many entries may send to one server in slow start.
// The number is bounded because each of them may send one request at once,
// whatever its rate.
const slowStartSenders = 5

// slowStartRate returns this entry's part of the request rate that a server
// receives during slow start, in requests a second. It is zero when this entry
// is not among the senders, which every entry computes with the same
// rendezvous hash.
func (c *Core) slowStartRate(s Server) float64 {
	rate := c.topology.SlowStartRates[s.Service]
	senders := yuccapeer.RendezvousTop("cold "+s.Name, c.topology.Entries, slowStartSenders)
	for _, name := range senders {
		if name == c.location.Entry {
			return rate / float64(len(senders))
		}
	}
	return 0
}
