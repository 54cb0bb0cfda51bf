package yuccabalancer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"yuccawell.example/core/yuccaadmission"
)

// exclusion is why a server may not get a request.
type exclusion string

// The reasons for an exclusion.
const (
	// notExcluded means that the server may get the request.
	notExcluded exclusion = ""
	// isDraining means that the server gets no new requests.
	isDraining exclusion = "draining"
	// isLeaving means that the server has said that it is about to exit.
	isLeaving exclusion = "leaving"
	// isHeldOff means that the server has asked this entry to hold off.
	isHeldOff exclusion = "heldoff"
	// isEvacuated means that the server's failure domain gets no new requests.
	isEvacuated exclusion = "evacuated"
	// isTried means that the request was already sent to the server.
	isTried exclusion = "tried"
	// isBlocked means that the server could not be reached a moment ago, or that
	// another server had its address.
	isBlocked exclusion = "blocked"
	// isLimited means that this entry has used its part of the limit that the server
	// names.
	isLimited exclusion = "limited"
	// isInSlowStart means that this entry has used its part of the rate during slow
	// start.
	isInSlowStart exclusion = "slowstart"
)

// exclusion returns why the server may not get the request.
func (c *Core) exclusion(s *serverState, req yuccaadmission.Request) exclusion {
	switch {
	case s.Draining:
		return isDraining
	case s.leaving:
		return isLeaving
	case c.topology.Evacuated[s.Domain]:
		return isEvacuated
	case slices.Contains(req.AvoidServers, s.Name):
		return isTried
	case req.Now.Before(s.blockedUntil):
		return isBlocked
	case !s.holdOff.allows(req.Now, s.inFlight):
		return isHeldOff
	case !s.limiter.allows(req.Now):
		return isLimited
	case (s.ramping || s.inSlowStart(req.Now)) && !s.withinPace(req.Now):
		return isInSlowStart
	}
	return notExcluded
}

// eligible reports whether the server may get this request.
func (c *Core) eligible(s *serverState, req yuccaadmission.Request) bool {
	return c.exclusion(s, req) == notExcluded
}

// Exclusions counts the servers that may not get a request by the reason.
type Exclusions map[exclusion]int

// exclusions returns why the servers of the allowed regions may not get a request.
func (c *Core) exclusions(p *pool, req yuccaadmission.Request) Exclusions {
	all := Exclusions{}
	for region, servers := range p.regions {
		if !allowsRegion(req, region) {
			continue
		}
		for _, s := range servers {
			all[c.exclusion(s, req)]++
		}
	}
	return all
}

// String lists the counts for an error message, as " (REASON:COUNT,REASON:COUNT)" and
// sorted by reason. It is empty if there are none.
func (e Exclusions) String() string {
	if len(e) == 0 {
		return ""
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(e)) {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, e[reason]))
	}
	return " (" + strings.Join(parts, ",") + ")"
}
