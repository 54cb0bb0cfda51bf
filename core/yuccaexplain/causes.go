package yuccaexplain

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// placementEvent is the event that says how an entry chose servers for a service since its
// last such event, and what made answers late.
const placementEvent = "placement"

// refusedReason is the reason of choices without a server.
const refusedReason = "refused"

// Counts says how requests were placed and why answers were late.
type Counts struct {
	// Placed is the number of choices of a server. A request has one for each attempt.
	Placed int `json:"placed"`
	// Refused is the number of choices that found no server with room.
	Refused int `json:"refused"`
	// Late is the number of servers' answers after the latency target, by cause. The time
	// counts from the arrival of the request at the entry.
	Late map[string]int `json:"late"`
}

// ServiceCounts are the counts of a service.
type ServiceCounts struct {
	// Service is the name of the service.
	Service string `json:"service"`
	Counts
}

// PeriodCounts are the counts of a period, of all services.
type PeriodCounts struct {
	// Start is when the period begins.
	Start time.Time `json:"start"`
	Counts
}

// Causes says where answers were late and requests refused. All counts of Services add up to
// those of Periods.
type Causes struct {
	// Services is sorted by name.
	Services []ServiceCounts `json:"services"`
	// Periods is sorted by time and lacks periods without an event.
	Periods []PeriodCounts `json:"periods"`
}

// CountCauses adds up what the entries' events say about placement, by service and by period
// of the given length. An event counts in the period in which it was logged. Events whose
// counts cannot be read are skipped.
func CountCauses(events []Event, length time.Duration) Causes {
	services, periods := map[string]Counts{}, map[time.Time]Counts{}
	for _, e := range events {
		counts, ok := placementCounts(e)
		if !ok {
			continue
		}
		service, start := e.Fields["service"], e.At.Truncate(length)
		services[service] = services[service].plus(counts)
		periods[start] = periods[start].plus(counts)
	}
	var all Causes
	for _, name := range slices.Sorted(maps.Keys(services)) {
		all.Services = append(all.Services, ServiceCounts{name, services[name]})
	}
	for _, start := range slices.SortedFunc(maps.Keys(periods), time.Time.Compare) {
		all.Periods = append(all.Periods, PeriodCounts{start, periods[start]})
	}
	return all
}

// placementCounts returns the counts of an event, and false if it has none.
func placementCounts(e Event) (Counts, bool) {
	if e.Name != placementEvent {
		return Counts{}, false
	}
	var chosen map[string]int
	var c Counts
	if json.Unmarshal([]byte(e.Fields["chosen"]), &chosen) != nil || json.Unmarshal([]byte(e.Fields["late"]), &c.Late) != nil {
		return Counts{}, false
	}
	for reason, n := range chosen {
		if reason == refusedReason {
			c.Refused += n
			continue
		}
		c.Placed += n
	}
	return c, true
}

// plus returns the sum of two counts.
func (c Counts) plus(o Counts) Counts {
	late := make(map[string]int, len(c.Late))
	for _, m := range []map[string]int{c.Late, o.Late} {
		for cause, n := range m {
			late[cause] += n
		}
	}
	return Counts{c.Placed + o.Placed, c.Refused + o.Refused, late}
}

// LateCount returns the number of late answers of all causes.
func (c Counts) LateCount() int {
	sum := 0
	for _, n := range c.Late {
		sum += n
	}
	return sum
}
