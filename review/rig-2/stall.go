package main

import (
	"sync/atomic"
	"time"
)

const (
	// stallCheckInterval is the time between two looks at the clock.
	stallCheckInterval = 50 * time.Millisecond
	// maxStall is the longest time for which this process may stand still. After a longer
	// one, as on a machine that is suspended, late answers say nothing about the system.
	maxStall = 300 * time.Millisecond
)

// stallWatch notices when the whole machine stands still.
type stallWatch struct {
	longest atomic.Int64
	done    chan struct{}
}

func newStallWatch() *stallWatch {
	w := &stallWatch{done: make(chan struct{})}
	background.Go(func() {
		tick := time.NewTicker(stallCheckInterval)
		defer tick.Stop()
		last := time.Now()
		for {
			select {
			case <-tick.C:
				now := time.Now()
				w.longest.Store(max(w.longest.Load(), int64(now.Sub(last))))
				last = now
			case <-w.done:
				return
			}
		}
	})
	return w
}

// stalled reports whether the machine stood still for longer than maxStall.
func (w *stallWatch) stalled() bool { return time.Duration(w.longest.Load()) > maxStall }

func (w *stallWatch) stop() { close(w.done) }
