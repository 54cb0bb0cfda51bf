package yuccaburn

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccarule"
)

// Fast and slow windows by which a budget's burn is judged, as multi-window
// alerts do: a page when both of a pair exceed its rate.
var alerts = []alert{
	{"page", time.Hour, 5 * time.Minute, 14.4},
	{"page", 6 * time.Hour, 30 * time.Minute, 6},
	{"ticket", 72 * time.Hour, 6 * time.Hour, 1},
}

type alert struct {
	name        string
	long, short time.Duration
	rate        float64
}

// rateWindows are the windows whose burn rates are reported.
var rateWindows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Report says how much of each goal's error budget is spent.
type Report struct {
	At    time.Time      `json:"at"`
	Goals []BudgetStatus `json:"goals"`
	// Missing names entries whose counts are not or only partly in the report.
	Missing []Gap `json:"missing"`
}

// BudgetStatus is one goal, over all regions or for one.
type BudgetStatus struct {
	Service string `json:"service"`
	// Region is where the requests arise; empty means all regions.
	Region string `json:"region,omitempty"`
	Goal   Goal   `json:"goal"`
	Count  Count  `json:"count"`
	// Spent is the part of the error budget that is used up: 1 is all of it.
	Spent float64 `json:"spent"`
	// Left is the part of the error budget that remains; it may be negative.
	Left  float64 `json:"left"`
	Rates []Rate  `json:"rates"`
	// Alert is page, ticket or empty.
	Alert string `json:"alert,omitempty"`
}

// Goal is a service level as the report shows it.
type Goal struct {
	Latency time.Duration `json:"latency"`
	Share   float64       `json:"share"`
	Window  time.Duration `json:"window"`
}

// Rate is how fast the budget burns: 1 uses it up in exactly the goal's window.
type Rate struct {
	Window time.Duration `json:"window"`
	Burn   float64       `json:"burn"`
	Count  Count         `json:"count"`
}

// Gap is a stretch of an entry's counts that is missing.
type Gap struct {
	Entry string `json:"entry"`
	// Since is up to when the entry's counts are in the report; the zero time
	// means that none are.
	Since time.Time `json:"since"`
	Why   string    `json:"why"`
}

// NewReport works the report out for every goal, a line for all regions and
// then one for each region with traffic.
//
// Each of the windows must cover other requests.
func NewReport(now time.Time, goals []yuccarule.Goal, all []*Windows) Report {
	r := Report{At: now, Goals: []BudgetStatus{}, Missing: []Gap{}}
	keys := keysOf(all)
	goals = slices.Clone(goals)
	slices.SortFunc(goals, func(a, b yuccarule.Goal) int { return cmp.Compare(a.Service, b.Service) })
	for _, g := range goals {
		mine := slices.DeleteFunc(slices.Clone(keys), func(k Key) bool { return k.Service != g.Service })
		r.Goals = append(r.Goals, newLine(now, g, "", all, mine))
		for _, k := range mine {
			r.Goals = append(r.Goals, newLine(now, g, k.From, all, []Key{k}))
		}
	}
	return r
}

func keysOf(all []*Windows) []Key {
	var keys []Key
	for _, w := range all {
		keys = append(keys, w.Keys()...)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.From, b.From))
	})
	return slices.Compact(keys)
}

func newLine(now time.Time, g yuccarule.Goal, region string, all []*Windows, keys []Key) BudgetStatus {
	over := func(length time.Duration) Count {
		var total Count
		for _, w := range all {
			for _, k := range keys {
				total = total.Plus(w.CountOver(k, now, length))
			}
		}
		return total
	}
	allowed := 1 - g.Share.Float()
	l := BudgetStatus{
		Service: g.Service,
		Region:  region,
		Goal:    Goal{g.Latency, g.Share.Float(), g.Window},
		Count:   over(g.Window),
	}
	l.Spent = burn(l.Count, allowed)
	l.Left = 1 - l.Spent
	for _, window := range rateWindows {
		c := over(window)
		l.Rates = append(l.Rates, Rate{window, burn(c, allowed), c})
	}
	l.Alert = alertOf(over, allowed)
	return l
}

// burn returns the share of bad requests as a multiple of what is allowed.
// Where nothing is allowed, each bad request counts as the whole budget.
func burn(c Count, allowed float64) float64 {
	switch {
	case c.Bad() == 0:
		return 0
	case allowed <= 0:
		return float64(c.Bad())
	}
	return float64(c.Bad()) / float64(c.Total) / allowed
}

func alertOf(over func(time.Duration) Count, allowed float64) string {
	for _, a := range alerts {
		if burn(over(a.long), allowed) > a.rate && burn(over(a.short), allowed) > a.rate {
			return a.name
		}
	}
	return ""
}
