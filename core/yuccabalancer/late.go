package yuccabalancer

import "yuccawell.example/core/yuccaadmission"

// Cause says why a response exceeded the request's latency budget.
type Cause string

// The causes of a late response. When several apply, the first of them counts.
const (
	// LateQueue is an expected wait for a slot.
	LateQueue Cause = "queue"
	// LateStart is a server in slow start.
	LateStart Cause = "start"
	// LateObject is an object that this entry had not recently sent to the
	// server.
	LateObject Cause = "object"
	// LateRegion is a server of another region.
	LateRegion Cause = "region"
	// LateWork is none of the other causes: the server itself took long.
	LateWork Cause = "work"
)

// lateCause returns why a response exceeded its latency budget. It is empty
// when the response was in time, or when the budget is unknown.
func (c *Core) lateCause(choice Choice, r yuccaadmission.Result) Cause {
	s := choice.server
	switch {
	case !r.Succeeded || choice.latencyBudget == 0 || r.TimeToHeader <= choice.latencyBudget:
		return ""
	case choice.Queued:
		return LateQueue
	case s.inSlowStart(r.Now.Add(-r.TimeToHeader)):
		return LateStart
	case !choice.Warm:
		return LateObject
	case s.Region != c.location.Region:
		return LateRegion
	}
	return LateWork
}
