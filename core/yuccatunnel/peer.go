package yuccatunnel

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"yuccawell.example/core/yuccarelay"
)

// Peer is another entry that may carry tunnels.
type Peer struct {
	// Name is the name of the entry.
	Name string
	// Region is the region of the entry.
	Region string
	// Domain is the failure domain of the entry.
	Domain string
	// Addr is the address for tunnels.
	Addr string
}

// candidates returns the peers through which a connection to the server may go, best
// first: peers of the server's failure domain, of its region, of any region. Peers of
// equal rank are in random order, so that they share the load. A request that is only
// for some regions goes through these alone, or, without a body, through others last.
func candidates(peers []Peer, to yuccarelay.Server) []Peer {
	allowed := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return p.Addr == "" || !to.AllowsCarrier(p.Region)
	})
	rand.Shuffle(len(allowed), func(i, j int) { allowed[i], allowed[j] = allowed[j], allowed[i] })
	slices.SortStableFunc(allowed, func(a, b Peer) int { return cmp.Compare(rank(a, to), rank(b, to)) })
	return allowed
}

// rank returns how far a peer is from the server, the nearest being 0. All peers outside the
// regions of the request come after those inside.
func rank(p Peer, to yuccarelay.Server) int {
	const outside = 3
	n := 2
	switch {
	case p.Domain == to.Domain:
		n = 0
	case p.Region == to.Region:
		n = 1
	}
	if !to.HandledIn(p.Region) {
		n += outside
	}
	return n
}
