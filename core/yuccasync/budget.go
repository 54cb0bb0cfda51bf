package yuccasync

import "yuccawell.example/core/yuccaplan"

// BudgetUsage is the usage of the budget of an entry for a service in a region.
type BudgetUsage struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Region is the region of the backend servers.
	Region string `json:"region"`
	// InFlight is the number of requests in flight.
	InFlight int `json:"busy"`
	// Slots is the number of requests in flight that the plan allows.
	Slots int `json:"slots"`
}

// BudgetUsageOf returns the usage of every budget that a plan assigns to an
// entry. The function busy returns the number of requests in flight.
func BudgetUsageOf(p yuccaplan.Plan, entry string, busy func(service, region string) int) []BudgetUsage {
	all := []BudgetUsage{}
	for _, b := range p.Budgets {
		if b.Entry == entry {
			all = append(all, BudgetUsage{b.Service, b.Region, busy(b.Service, b.Region), b.Slots})
		}
	}
	return all
}
