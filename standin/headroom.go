package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccasleep"
	"yuccawell.example/core/yuccasync"
)

const (
	// sampleInterval is the time between two rounds of samples.
	sampleInterval = 500 * time.Millisecond
	// sampleTimeout bounds the request to one entry.
	sampleTimeout = 400 * time.Millisecond
)

// headroomSampler polls the status of the entries for the slots that they have
// budgeted and the slots in use.
type headroomSampler struct {
	// admins are the entries' admin addresses.
	admins []string
	client fasthttp.Client
}

// run samples until ctx ends and passes the headroom of each service to record:
// the free fraction of its slots in all regions, from 0 to 1.
func (s *headroomSampler) run(ctx context.Context, record func(service string, headroom float64)) {
	for yuccasleep.For(ctx, sampleInterval) {
		for service, u := range s.usage() {
			if u.Slots > 0 {
				record(service, 1-float64(u.InFlight)/float64(u.Slots))
			}
		}
	}
}

// usage returns the budget usage of each service, summed over all entries that
// respond in time.
func (s *headroomSampler) usage() map[string]yuccasync.BudgetUsage {
	total := map[string]yuccasync.BudgetUsage{}
	for _, admin := range s.admins {
		status, body, err := s.client.GetTimeout(nil, "http://"+admin+"/status", sampleTimeout)
		var resp struct{ Use []yuccasync.BudgetUsage }
		if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &resp) != nil {
			continue
		}
		for _, u := range resp.Use {
			t := total[u.Service]
			t.InFlight += u.InFlight
			t.Slots += u.Slots
			total[u.Service] = t
		}
	}
	return total
}
