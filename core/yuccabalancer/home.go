package yuccabalancer

import "yuccawell.example/core/yuccaadmission"

const (
	// homeTrips is how many round trips a request to another region needs: one to open a
	// connection and one for the request.
	homeTrips = 2
	// maxTripShare is the part of a request's latency target that these may take. The rest is
	// for the work and for queues.
	maxTripShare = 0.15
)

// hasOneHome reports whether the request's object has one home, a server for the callers of
// all regions, and not a copy in each region. It addresses load at which first uses of
// objects fill the slots, and regions with few servers and many callers: one home is cold
// once, and all regions are filled alike. Long responses stay near their callers, and so do
// requests that are too urgent for the way or are about no object.
//
// The answer depends on the route only, so that all entries have the same homes.
func hasOneHome(req yuccaadmission.Request) bool {
	if req.Bulk || req.Object == 0 {
		return false
	}
	return homeTrips*float64(crossRegionDelay) <= maxTripShare*float64(req.LatencyTarget)
}

// split returns the traffic split of requests like this one.
func (p *pool) split(req yuccaadmission.Request) TrafficSplit {
	if hasOneHome(req) {
		return p.common
	}
	return p.near
}
