package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// gate is a switch.
type gate struct{ on atomic.Bool }

func (g *gate) open() bool  { return g.on.Load() }
func (g *gate) set(on bool) { g.on.Store(on) }

// counts holds a number for each server.
type counts struct {
	mu sync.Mutex
	by map[string]int
}

func (c *counts) add(server string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[server] += n
}

// most returns the server with the highest number, that number, and the sum of the others.
func (c *counts) most() (server string, n, others int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, v := range c.by {
		others += v
		if v > n {
			server, n = s, v
		}
	}
	return server, n, others - n
}

// sleepUnlessGone works on a request for a time, or until its server crashes.
func sleepUnlessGone(r run, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.gone:
	}
}

// zoneNames are the zones in the order in which servers and entries are placed.
var zoneNames = []string{"pa-monreale", "ct-acireale", "ag-sciacca", "pa-cefalu", "ct-paterno", "ag-licata"}

func zoneOf(i int) string { return zoneNames[i%len(zoneNames)] }
