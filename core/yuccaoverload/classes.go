// Package yuccaoverload decides which requests of a service are rejected while its
// servers have queues, and when their callers should come back.
//
// An entry (a proxy instance of the system) has one Classes for each service. The
// queue of a server is first come, first served, so that a less urgent request that
// waits there delays every urgent one behind it. Classes therefore lets less urgent
// requests wait for a shorter time than the more urgent ones that share the service
// with them, and rejects them at once when they would wait longer:
//
//	if wait > classes.MaxWait(req.Priority, req.LatencyBudget) {
//		classes.Add(now, req.Priority, false, slack)
//		return rejected
//	}
//	classes.Add(now, req.Priority, true, slack)
package yuccaoverload

import (
	"math"
	"slices"
	"time"
)

const (
	// window is the time constant with which requests lose their weight.
	window = 4 * time.Second
	// minShare is the part of a service's recent requests below which a class does not
	// restrict less urgent ones, since it is too small to be delayed by them.
	minShare = 0.02
	// fairShare is the placed part of a class, relative to that of all, below which the
	// class is treated like the most urgent one, so that it is never starved.
	fairShare = 0.4
	// waitShare is the part of the slack of a more urgent class that less urgent requests
	// may wait. The more urgent ones behind them then still wait for as long again.
	waitShare = 0.5
	// minCount is the decayed number of requests below which a class is forgotten.
	minCount = 0.05
	// slackWeight is the weight of one request in the moving average of the slack.
	slackWeight = 0.1
)

// Classes holds the recent requests of one service by priority. The zero value has
// none. It addresses overload in which requests of several priorities together need more
// slots than there are.
type Classes struct {
	// classes are sorted by priority, the most urgent first.
	classes []class
	// at is when the counts last decayed.
	at time.Time
}

// class holds the recent requests of one priority.
type class struct {
	priority int
	// arrived is the decayed number of requests.
	arrived float64
	// placed is the decayed number of those that got a server.
	placed float64
	// slack is the moving average of the time that the requests could wait for a slot
	// and still be in time.
	slack time.Duration
}

// placedShare returns the part of the requests that got a server, 1 if there are none.
func (c class) placedShare() float64 {
	if c.arrived <= 0 {
		return 1
	}
	return c.placed / c.arrived
}

// MaxWait returns how long a request may wait for a slot, given the time that it may
// wait if it is the most urgent one. A less urgent request waits no longer than lets the
// more urgent ones be in time, unless its class gets less than fairShare. It does not wait
// at all while a more urgent class is late without a wait.
func (k *Classes) MaxWait(priority int, own time.Duration) time.Duration {
	if len(k.classes) < 2 || k.classes[0].priority >= priority {
		return own
	}
	var all class
	for _, c := range k.classes {
		all.arrived += c.arrived
		all.placed += c.placed
	}
	limit := own
	for _, c := range k.classes {
		switch {
		case c.priority == priority && c.placedShare() < fairShare*all.placedShare():
			return own
		case c.priority < priority && c.arrived >= minShare*all.arrived:
			limit = min(limit, time.Duration(waitShare*float64(c.slack)))
		}
	}
	return max(0, limit)
}

// Add records a request, whether it got a server, and how long it could have waited for
// a slot to be in time.
func (k *Classes) Add(now time.Time, priority int, placed bool, slack time.Duration) {
	k.decay(now)
	i, ok := slices.BinarySearchFunc(k.classes, priority, func(c class, p int) int { return c.priority - p })
	if !ok {
		k.classes = slices.Insert(k.classes, i, class{priority: priority, slack: slack})
	}
	c := &k.classes[i]
	c.arrived++
	if placed {
		c.placed++
	}
	c.slack += time.Duration(slackWeight * float64(slack-c.slack))
}

// decay reduces the counts for the time that has passed and drops classes without
// requests.
func (k *Classes) decay(now time.Time) {
	passed := max(0, now.Sub(k.at))
	if k.at.IsZero() || passed == 0 {
		k.at = now
		return
	}
	k.at = now
	weight := math.Exp(-float64(passed) / float64(window))
	for i := range k.classes {
		k.classes[i].arrived *= weight
		k.classes[i].placed *= weight
	}
	k.classes = slices.DeleteFunc(k.classes, func(c class) bool { return c.arrived < minCount })
}
