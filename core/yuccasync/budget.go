package yuccasync

import "yuccawell.example/core/yuccaplan"

// BudgetUsage is how much of its budget an entry uses for a service in a region.
type BudgetUsage struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Busy is how many requests are in flight.
	Busy int `json:"busy"`
	// Slots is how many the plan allows.
	Slots int `json:"slots"`
}

// BudgetUsageOf returns an entry's use of every budget that a plan gives it. The
// function busy counts its requests in flight.
func BudgetUsageOf(p yuccaplan.Plan, entry string, busy func(service, region string) int) []BudgetUsage {
	all := []BudgetUsage{}
	for _, b := range p.Budgets {
		if b.Entry == entry {
			all = append(all, BudgetUsage{b.Service, b.Region, busy(b.Service, b.Region), b.Slots})
		}
	}
	return all
}
