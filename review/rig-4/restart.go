package main

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

func init() { scenarios["poison-restart"] = poisonRestart }

const (
	restartEntries = 7
	restartServers = 12
	// restartReturns is how often the caller sends its order before the first and after
	// each end of all processes.
	restartReturns  = 4
	restartInterval = 1500 * time.Millisecond
	// restartDelay is the time until a killed process starts again.
	restartDelay = 500 * time.Millisecond
	kills        = 2
)

// poisonRestart has one caller whose order crashes each server that begins to run it, and ends
// all processes at the same moment, twice.
func poisonRestart(w *world) int {
	services := []string{"orders"}
	poison := []byte(`{"order":"the one that crashes"}`)
	do := func(r *http.Request, body []byte) work {
		return work{takes: orderTime, crash: w.trouble && bytes.Equal(body, poison)}
	}
	for n := range restartServers {
		w.addServer("orders", n, 4, do)
	}
	w.configure(3, services, route("orders", "non_idempotent", "/orders/", clientLimit, services...))
	for n := range restartEntries {
		w.addEntry(n)
	}
	w.waitReady()
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 3 {
		w.group.Go(func() { w.sendOrders(ctx) })
	}
	sentAt := map[string]time.Time{}
	served := true
	for round := range kills + 1 {
		for n := range restartReturns {
			id := w.newID()
			e := w.entries[(round+n)%len(w.entries)]
			sentAt[id] = time.Now()
			w.recorder.note("the caller sends its order as %s to %s", id, e.name)
			a := w.send(ctx, e, http.MethodPost, "/orders/7/remembrance", id, poison, clientLimit)
			w.recorder.note("the caller's order %s is answered %d, error %v", id, a.status, a.err)
			served = served && a.status == http.StatusOK
			time.Sleep(restartInterval)
		}
		if round == kills {
			break
		}
		if w.trouble {
			w.killAll()
		}
		// The machines are in touch again after the stable window.
		time.Sleep(stableWindow + 2*time.Second)
	}
	if !w.trouble && !served {
		w.recorder.note("broken: a sound order is not served")
		return broken
	}
	return w.judgePoison(sentAt)
}

// killAll ends all processes at the same moment and starts them again.
func (w *world) killAll() {
	w.recorder.note("all processes are killed")
	for _, e := range w.entries {
		e.signalKill()
	}
	for _, e := range w.entries {
		e.kill()
	}
	time.Sleep(restartDelay)
	for _, e := range w.entries {
		must(e.run())
	}
	w.waitReady()
	w.recorder.note("all processes run and are ready again")
}
