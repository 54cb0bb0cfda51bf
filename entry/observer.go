package main

import (
	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccasync"
)

// observerList passes the record of each ended request to several observers.
type observerList []yuccarelay.Observer

// Observe implements yuccarelay.Observer.
func (o observerList) Observe(r yuccarelay.Record) {
	for _, observer := range o {
		observer.Observe(r)
	}
}

// goalObserver counts requests as good or bad by the service goals of the current
// rules, for the burn rates of the error budgets.
type goalObserver struct {
	syncer  *yuccasync.Syncer
	windows *yuccaburn.Windows
}

// Observe implements yuccarelay.Observer.
func (g goalObserver) Observe(r yuccarelay.Record) {
	rules := g.syncer.Snapshot().Rules
	goal, ok := rules.GoalOf(r.Service)
	if !ok {
		return
	}
	key := yuccaburn.Key{Service: r.Service, OriginRegion: r.OriginRegion}
	g.windows.Record(r.ArrivedAt.Add(r.TimeToHeader), key, yuccaburn.Classify(r.Kind, r.Status, r.TimeToHeader, goal.Latency), rules.HasTrafficMove(r.Service))
}

// memberNames returns a function that lists the names of the entries that are not
// leaving.
func memberNames(syncer *yuccasync.Syncer) func() []string {
	return func() []string {
		var names []string
		for _, e := range syncer.Snapshot().View.Entries() {
			if !e.Leaving {
				names = append(names, e.Name)
			}
		}
		return names
	}
}
