package yuccasim

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// clock runs events in the order of their time.
type clock struct {
	now  time.Duration
	seq  uint64
	todo queue
}

// epoch is the moment at which virtual time starts.
var epoch = time.Unix(1_800_000_000, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.todo, event{c.now + d, c.seq, run})
}

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

// run carries events out until none is left.
func (c *clock) run() {
	for len(c.todo) > 0 {
		e := heap.Pop(&c.todo).(event)
		c.now = e.at
		e.run()
	}
}
