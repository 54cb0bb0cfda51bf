package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccapause"
	"yuccawell.example/core/yuccasync"
)

const (
	sampleInterval = 500 * time.Millisecond
	sampleTimeout  = 400 * time.Millisecond
)

// sampler asks entries how much of their budgets they use.
type sampler struct {
	admins []string
	client fasthttp.Client
}

// run samples until ctx ends and hands the headroom of each service to keep: the
// free part of its slots in all regions, from 0 to 1.
func (s *sampler) run(ctx context.Context, keep func(service string, headroom float64)) {
	for yuccapause.For(ctx, sampleInterval) {
		for service, u := range s.use() {
			if u.Slots > 0 {
				keep(service, 1-float64(u.Busy)/float64(u.Slots))
			}
		}
	}
}

// use sums the entries' use up by service.
func (s *sampler) use() map[string]yuccasync.BudgetUsage {
	total := map[string]yuccasync.BudgetUsage{}
	for _, admin := range s.admins {
		status, body, err := s.client.GetTimeout(nil, "http://"+admin+"/status", sampleTimeout)
		var answer struct{ Use []yuccasync.BudgetUsage }
		if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &answer) != nil {
			continue
		}
		for _, u := range answer.Use {
			t := total[u.Service]
			t.Busy += u.Busy
			t.Slots += u.Slots
			total[u.Service] = t
		}
	}
	return total
}
