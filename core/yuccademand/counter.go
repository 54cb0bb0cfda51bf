// Package yuccademand measures the load that each entry (a proxy instance of the
// system) receives, and collects the measurements of all entries for the planner.
//
// Every entry runs a Collector. It counts the entry's requests with a Counter and
// turns the counts into rates once per Interval. The entry that holds the
// planner's lease also fetches the reports of the other entries over the bus:
//
//	demand := yuccademand.New(name, bus, members, lease, picker.InFlight, log)
//	relay := yuccarelay.New(yuccarelay.Options{Observer: demand})
//	plan := yuccaplan.Make(yuccaplan.Input{Demands: demand.Demands(now)})
package yuccademand

import (
	"cmp"
	"slices"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarelay"
)

// serviceRegion identifies a service in a region.
type serviceRegion struct{ service, region string }

// counts are the counts of a service in a region since the last call of Flush.
type counts struct {
	// served is the number of requests that were not rejected.
	served int
	// refused is the number of requests that were rejected.
	refused int
	// bytes is the number of response bytes of served requests.
	bytes int64
	// headerTime is the sum of the times to the response header.
	headerTime time.Duration
}

// Counter counts requests by service and region. Its zero value is ready for use;
// the first call of Flush starts the first interval. It is not safe for
// concurrent use.
type Counter struct {
	since  time.Time
	counts map[serviceRegion]counts
}

// Add counts a request that has ended. A request without a server region counts
// in the region where it arose. Requests that were shed or found no server count
// as refused, all others as served.
func (t *Counter) Add(r yuccarelay.Record) {
	if t.counts == nil {
		t.counts = map[serviceRegion]counts{}
	}
	key := serviceRegion{r.Service, r.ServerRegion}
	if r.ServerRegion == "" {
		key.region = r.OriginRegion
	}
	s := t.counts[key]
	switch r.Kind {
	case yuccaerror.Shed, yuccaerror.NoServer:
		s.refused++
	default:
		s.served++
		s.headerTime += r.TimeToHeader
		s.bytes += r.Bytes
	}
	t.counts[key] = s
}

// Flush returns the rates since the last call of Flush, ordered by service and
// region, and resets the counts. The function inFlight returns the number of
// requests in flight at present. The first call returns nil.
func (t *Counter) Flush(now time.Time, entry string, inFlight func(service, region string) int) []yuccaplan.Demand {
	since, counted := t.since, t.counts
	t.since, t.counts = now, map[serviceRegion]counts{}
	seconds := now.Sub(since).Seconds()
	if since.IsZero() || seconds <= 0 {
		return nil
	}
	var all []yuccaplan.Demand
	for key, s := range counted {
		d := yuccaplan.Demand{
			Entry:    entry,
			Service:  key.service,
			Region:   key.region,
			InFlight: meanInFlight(s, seconds, inFlight(key.service, key.region)),
			Rate:     float64(s.served) / seconds,
			Rejected: float64(s.refused) / seconds,
			Bytes:    float64(s.bytes) / seconds,
		}
		if s.served > 0 {
			d.Latency = s.headerTime / time.Duration(s.served)
		}
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b yuccaplan.Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return all
}

// meanInFlight returns the mean number of requests in flight over an interval of
// the given length in seconds. By Little's law, this is the total time to the
// response header divided by the length. If more requests are in flight at present,
// that number is returned, because a long response counts only when it ends.
func meanInFlight(s counts, seconds float64, current int) float64 {
	return max(s.headerTime.Seconds()/seconds, float64(current))
}
