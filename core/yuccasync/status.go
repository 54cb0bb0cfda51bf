package yuccasync

import (
	"time"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
)

// Status describes an entry to operators.
type Status struct {
	// Name is the name of the entry.
	Name string `json:"name"`
	// Region is the region of the entry.
	Region string `json:"region"`
	// Domain is the failure domain of the entry.
	Domain string `json:"domain"`
	// Ready reports whether the entry has rules and is not stopping.
	Ready bool `json:"ready"`
	// Leaving reports whether the entry is stopping.
	Leaving bool `json:"leaving"`
	// Rules is the version of the rules in force.
	Rules uint64 `json:"rules"`
	// Plan is the version of the plan in force.
	Plan uint64 `json:"plan"`
	// Epoch is the lease epoch of the plan in force.
	Epoch uint64 `json:"epoch"`
	// PlannedAt is when the plan in force was computed.
	PlannedAt time.Time `json:"made"`
	// Entries is the number of entries in the view.
	Entries int `json:"entries"`
	// Servers is the number of backend servers in the view.
	Servers int `json:"servers"`
	// Use lists the usage of the budgets of the entry.
	Use []BudgetUsage `json:"use"`
	// Ramps are the gradual changes of traffic that the plan has not completed
	// yet.
	Ramps []yuccaplan.Ramp `json:"ramps"`
	// All lists the versions in force at each entry, as far as this entry
	// knows.
	All []yuccamembership.Report `json:"all"`
}
