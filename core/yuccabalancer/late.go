package yuccabalancer

import "yuccawell.example/core/yuccaadmission"

// Cause says why an answer came after the request's goal.
type Cause string

// The causes, the one that explains most first.
const (
	// LateQueue is a wait for a slot that was foreseen.
	LateQueue Cause = "queue"
	// LateStart is a server that had just started.
	LateStart Cause = "start"
	// LateObject is a server that had not lately had the object from this entry.
	LateObject Cause = "object"
	// LateRegion is a server of another region.
	LateRegion Cause = "region"
	// LateWork is none of these: the server took long.
	LateWork Cause = "work"
)

// late returns why an answer came after its goal, empty when it did not.
func (c *Core) late(choice Choice, r yuccaadmission.Result) Cause {
	s := choice.seat
	switch {
	case !r.Succeeded || choice.goal == 0 || r.Took <= choice.goal:
		return ""
	case choice.Queued:
		return LateQueue
	case s.isCold(r.Now.Add(-r.Took)):
		return LateStart
	case !choice.Warm:
		return LateObject
	case s.Region != c.place.Region:
		return LateRegion
	}
	return LateWork
}
