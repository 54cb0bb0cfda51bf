package yuccaplan

import (
	"time"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccarule"
)

// Input holds everything that a plan depends on.
type Input struct {
	// Now is the current time. A plan made with the zero time never expires.
	Now time.Time
	// Rules are the traffic rules in force.
	Rules yuccarule.Rules
	// RulesVersion is the version of Rules.
	RulesVersion uint64
	// Epoch is the epoch (fencing token) of the planner's lease.
	Epoch uint64
	// View lists the entries and backend servers of the fleet.
	View yuccamembership.View
	// Last is the last plan that the platform has stored. Its zero value means
	// that there is none.
	Last Plan
	// Demands holds the measurements that the entries reported.
	Demands []Demand
	// Acks holds the plan versions that entries have applied. An entry without
	// an Ack may use any earlier plan.
	Acks []Ack
}

// Demand is one entry's measurement of the requests that it sends to a service in
// a region.
type Demand struct {
	// Entry is the name of the entry.
	Entry string `json:"entry"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Region is the region of the servers. For rejected requests that reached no
	// server, it is the region where they arose.
	Region string `json:"region"`
	// InFlight is the mean number of requests in flight.
	InFlight float64 `json:"busy"`
	// Rate is the number of requests per second that were not rejected.
	Rate float64 `json:"rate"`
	// Rejected is the number of requests per second that were rejected, because of
	// overload or because no server was available.
	Rejected float64 `json:"refused"`
	// Bytes is the rate of responses in bytes per second.
	Bytes float64 `json:"bytes"`
	// Latency is the mean time to the response header; 0 when not measured.
	Latency time.Duration `json:"latency"`
	// Age is the time since the measurement ended.
	Age time.Duration `json:"age"`
}

// Ack reports that an entry has applied a plan.
type Ack struct {
	// Entry is the name of the entry.
	Entry string `json:"entry"`
	// Version is the version of the plan.
	Version uint64 `json:"version"`
	// Age is the time since the entry reported the version.
	Age time.Duration `json:"age"`
}
