package yuccasync

import (
	"time"

	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
)

// Status is what an entry shows operators of itself.
type Status struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Rules and Plan are the versions in force, Epoch and Made the plan's.
	Rules   uint64    `json:"rules"`
	Plan    uint64    `json:"plan"`
	Epoch   uint64    `json:"epoch"`
	Made    time.Time `json:"made"`
	Entries int       `json:"entries"`
	Servers int       `json:"servers"`
	// Use is how much of its budgets the entry uses.
	Use []BudgetUsage `json:"use"`
	// Ramps are the moves that the plan has not ended yet.
	Ramps []yuccaplan.Ramp `json:"ramps"`
	// All says which versions each entry has in force, as far as this one
	// knows.
	All []yuccamembership.Report `json:"all"`
}
