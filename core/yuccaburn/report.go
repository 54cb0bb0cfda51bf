package yuccaburn

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
)

// alertRules are the multi-window burn-rate alerts, the most urgent first. A
// rule raises its alert when the burn rates over both of its windows exceed its
// limit.
var alertRules = []alertRule{
	{"page", time.Hour, 5 * time.Minute, 14.4},
	{"page", 6 * time.Hour, 30 * time.Minute, 6},
	{"ticket", 72 * time.Hour, 6 * time.Hour, 1},
}

// alertRule is one multi-window burn-rate alert.
type alertRule struct {
	// name is the alert that the rule raises: page or ticket.
	name string
	// long is the window that shows whether much of the budget was lost.
	long time.Duration
	// short is the window that shows whether the loss still goes on.
	short time.Duration
	// burnRate is the limit as a multiple of the rate that uses up the budget
	// in exactly the goal's window.
	burnRate float64
}

// rateWindows are the lengths of the windows for which a report has burn rates.
var rateWindows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Report is the state of every goal's error budget at one time.
type Report struct {
	// At is the time of the report.
	At time.Time `json:"at"`
	// Goals holds, ordered by service, the budget of each goal over all regions,
	// each followed by its budgets by origin region.
	Goals []BudgetStatus `json:"goals"`
	// Missing lists the entries whose counts are absent from the report or only
	// partly in it.
	Missing []Gap `json:"missing"`
}

// BudgetStatus is the error budget of one goal, over all regions or for one.
type BudgetStatus struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Region is where the requests originate. Empty means all regions.
	Region string `json:"region,omitempty"`
	// Goal is the goal that the budget belongs to.
	Goal Goal `json:"goal"`
	// Count is the number of requests during the goal's window.
	Count Count `json:"count"`
	// Spent is the spent part of the error budget, where 1 is all of it. It may
	// exceed 1.
	Spent float64 `json:"spent"`
	// Left is the part of the error budget that remains: 1 less Spent. It may be
	// negative.
	Left float64 `json:"left"`
	// Rates holds the burn rate over each window of rateWindows.
	Rates []Rate `json:"rates"`
	// Alert is the alert that the burn rates raise: page, ticket or, for none,
	// empty.
	Alert string `json:"alert,omitempty"`
}

// Goal is a service-level goal as a report shows it.
type Goal struct {
	// Latency is the time within which a request must be answered.
	Latency time.Duration `json:"latency"`
	// Share is the fraction of requests, from 0 to 1, that must meet the goal.
	Share float64 `json:"share"`
	// Window is the period for which the error budget is allotted.
	Window time.Duration `json:"window"`
}

// Rate is the burn rate of an error budget over one window.
type Rate struct {
	// Window is the length of the window.
	Window time.Duration `json:"window"`
	// Burn is the burn rate: at 1 the budget is used up in exactly the goal's
	// window.
	Burn float64 `json:"burn"`
	// Count is the number of requests during the window.
	Count Count `json:"count"`
}

// Gap reports that a part of an entry's counts is missing.
type Gap struct {
	// Entry is the name of the entry.
	Entry string `json:"entry"`
	// Since is the time up to which the entry's counts are in the report. The
	// zero time means that none are.
	Since time.Time `json:"since"`
	// Reason says in words why the counts are missing.
	Reason string `json:"why"`
}

// NewReport returns the report for every goal: its budget over all regions, then
// its budgets by origin region for each region with counted requests. The
// elements of windows must cover different requests.
func NewReport(now time.Time, goals []yuccarule.Goal, windows []*Windows) Report {
	r := Report{At: now, Goals: []BudgetStatus{}, Missing: []Gap{}}
	keys := sortedKeys(windows)
	goals = slices.Clone(goals)
	slices.SortFunc(goals, func(a, b yuccarule.Goal) int { return cmp.Compare(a.Service, b.Service) })
	for _, g := range goals {
		serviceKeys := slices.DeleteFunc(slices.Clone(keys), func(k Key) bool { return k.Service != g.Service })
		r.Goals = append(r.Goals, newBudgetStatus(now, g, "", windows, serviceKeys))
		for _, k := range serviceKeys {
			r.Goals = append(r.Goals, newBudgetStatus(now, g, k.OriginRegion, windows, []Key{k}))
		}
	}
	return r
}

// sortedKeys returns the keys of all windows, sorted and without duplicates.
func sortedKeys(windows []*Windows) []Key {
	var keys []Key
	for _, w := range windows {
		keys = append(keys, w.Keys()...)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.OriginRegion, b.OriginRegion))
	})
	return slices.Compact(keys)
}

// newBudgetStatus returns the budget of a goal for the requests of the given keys.
func newBudgetStatus(now time.Time, g yuccarule.Goal, region string, windows []*Windows, keys []Key) BudgetStatus {
	countOver := func(length time.Duration) Count {
		var total Count
		for _, w := range windows {
			for _, k := range keys {
				total = total.Plus(w.CountOver(k, now, length))
			}
		}
		return total
	}
	allowed := 1 - g.Share.Float()
	status := BudgetStatus{
		Service: g.Service,
		Region:  region,
		Goal:    Goal{g.Latency, g.Share.Float(), g.Window},
		Count:   countOver(g.Window),
	}
	status.Spent = burnRate(status.Count, allowed)
	status.Left = 1 - status.Spent
	for _, window := range rateWindows {
		c := countOver(window)
		status.Rates = append(status.Rates, Rate{window, burnRate(c, allowed), c})
	}
	status.Alert = alertFor(countOver, allowed)
	return status
}

// burnRate returns the fraction of bad requests as a multiple of the allowed
// fraction. Where the goal allows no bad requests, each one counts as the whole
// budget.
func burnRate(c Count, allowed float64) float64 {
	switch {
	case c.Bad() == 0:
		return 0
	case allowed <= 0:
		return float64(c.Bad())
	}
	return float64(c.Bad()) / float64(c.Total) / allowed
}

// alertFor returns the name of the first alert that the burn rates raise, or the
// empty string. The function countOver returns the counts of a window that ends
// now.
func alertFor(countOver func(time.Duration) Count, allowed float64) string {
	for _, a := range alertRules {
		if burnRate(countOver(a.long), allowed) > a.burnRate && burnRate(countOver(a.short), allowed) > a.burnRate {
			return a.name
		}
	}
	return ""
}
