package yuccabalancer

import "yuccawell.example/core/yuccapeer"

// coldSenders bounds how many entries send to one cold server: each may send one
// whole request at once, whatever its rate.
const coldSenders = 5

// coldRate returns this entry's part of the rate that a cold server bears. The
// entries that may send are chosen alike by all.
func (c *Core) coldRate(s Server) float64 {
	rate := c.world.SlowStartRates[s.Service]
	senders := yuccapeer.RendezvousTop("cold "+s.Name, c.world.Entries, coldSenders)
	for _, name := range senders {
		if name == c.place.Entry {
			return rate / float64(len(senders))
		}
	}
	return 0
}
