package yuccasim

import (
	"container/heap"
	"time"
)

// event is a function call scheduled at a point in virtual time.
type event struct {
	// at is the virtual time since the start of the run.
	at time.Duration
	// seq is the scheduling order; it breaks ties between events at the same time,
	// so that runs are repeatable.
	seq uint64
	run func()
}

// eventQueue is a min-heap of events, ordered by time and then by seq.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// clock is a discrete-event scheduler on virtual time.
type clock struct {
	// now is the virtual time since the start of the run.
	now time.Duration
	// seq is the seq of the last scheduled event.
	seq     uint64
	pending eventQueue
}

// virtualStart is the wall-clock time at which virtual time starts.
var virtualStart = time.Unix(1_800_000_000, 0)

// time returns the current virtual time as a wall-clock time.
func (c *clock) time() time.Time { return virtualStart.Add(c.now) }

// after schedules a call of run d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.pending, event{c.now + d, c.seq, run})
}

// every schedules calls of run at intervals of d: the first one d from now, further
// ones as long as they come before the virtual time until.
func (c *clock) every(d time.Duration, until time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		if c.now+d < until {
			c.after(d, again)
		}
	}
	c.after(d, again)
}

// run executes the pending events until none is left.
func (c *clock) run() {
	for len(c.pending) > 0 {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.run()
	}
}
