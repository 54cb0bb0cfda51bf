package main

import (
	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccasync"
)

// observers tells each of several observers how a request ended.
type observers []yuccarelay.Observer

// Observe implements yuccarelay.Observer.
func (o observers) Observe(r yuccarelay.Record) {
	for _, one := range o {
		one.Observe(r)
	}
}

// goals counts requests against the goals of the rules in force.
type goals struct {
	feed    *yuccasync.Syncer
	windows *yuccaburn.Windows
}

// Observe implements yuccarelay.Observer.
func (g goals) Observe(r yuccarelay.Record) {
	rules := g.feed.Snapshot().Rules
	goal, ok := rules.GoalOf(r.Service)
	if !ok {
		return
	}
	key := yuccaburn.Key{Service: r.Service, From: r.OriginRegion}
	g.windows.Record(r.At.Add(r.TimeToHeader), key, yuccaburn.Classify(r.Kind, r.Status, r.TimeToHeader, goal.Latency), rules.HasTrafficMove(r.Service))
}

// members returns what names the entries that stay.
func members(feed *yuccasync.Syncer) func() []string {
	return func() []string {
		var names []string
		for _, e := range feed.Snapshot().View.Entries() {
			if !e.Leaving {
				names = append(names, e.Name)
			}
		}
		return names
	}
}
