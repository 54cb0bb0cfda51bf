package yuccaplan

import (
	"time"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccarule"
)

// Input is everything a plan depends on.
type Input struct {
	// Now is the present time. Without one, the plan does not lapse.
	Now time.Time
	// Rules and Version are the rules in force.
	Rules   yuccarule.Rules
	Version uint64
	// Epoch is that of the planner's lease.
	Epoch uint64
	View  yuccamembership.View
	// Last is the plan before this one as the platform holds it; its zero value
	// means none.
	Last Plan
	// Load is what the entries reported.
	Load []Demand
	// Acks are the plans that entries have in force. An entry without one may
	// hold any earlier plan.
	Acks []Ack
}

// Demand is what one entry measured of a service in a region that it sends
// requests to.
type Demand struct {
	Entry   string `json:"entry"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Busy is the mean number of requests in flight.
	Busy float64 `json:"busy"`
	// Rate and Refused are requests per second.
	Rate    float64 `json:"rate"`
	Refused float64 `json:"refused"`
	// Bytes is the rate of answers in bytes per second.
	Bytes   float64       `json:"bytes"`
	Latency time.Duration `json:"latency"`
	// Age is how long ago it was measured.
	Age time.Duration `json:"age"`
}

// Ack says that an entry had a plan in force.
type Ack struct {
	Entry   string        `json:"entry"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age"`
}
