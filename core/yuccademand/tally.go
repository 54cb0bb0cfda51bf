// Package yuccademand measures what an entry's callers ask for and gathers the
// measurements of all entries for the planner.
//
// Every entry keeps a Counter of its own requests. The holder of the planner's
// lease asks the others for theirs:
//
//	demand := yuccademand.New(name, bus, members, holder, picker.InFlight, log)
//	relay := yuccarelay.New(yuccarelay.Options{Observer: demand})
//	plan := yuccaplan.Make(yuccaplan.Input{Load: demand.Demands(now)})
package yuccademand

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarelay"
)

// place is a service in a region.
type place struct{ service, region string }

// sum is what was counted of a place since the last cut.
type sum struct {
	served, refused int
	bytes           int64
	took            time.Duration
}

// Counter counts requests by service and region. Its zero value counts from the
// first call of Flush.
type Counter struct {
	since time.Time
	sums  map[place]sum
}

// Add counts a request that has ended. One that found no server counts as
// refused in the region where it arose.
func (t *Counter) Add(r yuccarelay.Record) {
	if t.sums == nil {
		t.sums = map[place]sum{}
	}
	at := place{r.Service, r.ServerRegion}
	if r.ServerRegion == "" {
		at.region = r.OriginRegion
	}
	s := t.sums[at]
	switch r.Kind {
	case yuccaerror.Shed, yuccaerror.NoServer:
		s.refused++
	default:
		s.served++
		s.took += r.TimeToHeader
		s.bytes += r.Bytes
	}
	t.sums[at] = s
}

// Flush returns the rates since the last cut and starts anew. The function busy
// counts the requests in flight. It returns nothing the first time.
func (t *Counter) Flush(now time.Time, entry string, busy func(service, region string) int) []yuccaplan.Demand {
	since, sums := t.since, t.sums
	t.since, t.sums = now, map[place]sum{}
	length := now.Sub(since).Seconds()
	if since.IsZero() || length <= 0 {
		return nil
	}
	var all []yuccaplan.Demand
	for at, s := range sums {
		d := yuccaplan.Demand{
			Entry:   entry,
			Service: at.service,
			Region:  at.region,
			Busy:    meanBusy(s, length, busy(at.service, at.region)),
			Rate:    float64(s.served) / length,
			Refused: float64(s.refused) / length,
			Bytes:   float64(s.bytes) / length,
		}
		if s.served > 0 {
			d.Latency = s.took / time.Duration(s.served)
		}
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b yuccaplan.Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return all
}

// meanBusy returns the mean number in flight: by Little's law the time that
// requests spent, per time, or what is in flight now where that is more, since
// long answers are counted only when they end.
func meanBusy(s sum, length float64, now int) float64 {
	return max(s.took.Seconds()/length, float64(now))
}
