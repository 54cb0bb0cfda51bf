package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { scenarios["poison-split"] = poisonSplit }

const (
	poisonEntries  = 7
	poisonServers  = 8
	poisonReturns  = 24
	poisonInterval = 3200 * time.Millisecond
	// maxLateRetries is how many retries of a request that has crashed three servers may
	// reach a server.
	maxLateRetries = 3
	orderTime      = 100 * time.Millisecond
	clientLimit    = 3 * time.Second
)

// poisonSplit has a route that is split between three services, and one caller whose order
// crashes each server that begins to run it. The caller sends it again, with the same path
// and body, at any machine.
func poisonSplit(w *world) int {
	services := []string{"orders-a", "orders-b", "orders-c"}
	poison := []byte(`{"order":"the one that crashes"}`)
	do := func(r *http.Request, body []byte) work {
		return work{takes: orderTime, crash: w.trouble && bytes.Equal(body, poison)}
	}
	for _, service := range services {
		for n := range poisonServers {
			w.addServer(service, n, 4, do)
		}
	}
	w.configure(3, services, route("orders", "non_idempotent", "/orders/", clientLimit, services...))
	for n := range poisonEntries {
		w.addEntry(n)
	}
	w.waitReady()
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 4 {
		w.group.Go(func() { w.sendOrders(ctx) })
	}
	time.Sleep(time.Second)

	sentAt := map[string]time.Time{}
	for n := range poisonReturns {
		id := w.newID()
		e := w.entries[n%len(w.entries)]
		sentAt[id] = time.Now()
		w.recorder.note("the caller sends its order as %s to %s", id, e.name)
		a := w.send(ctx, e, http.MethodPost, "/orders/7/remembrance", id, poison, clientLimit)
		w.recorder.note("the caller's order %s is answered %d, error %v", id, a.status, a.err)
		if !w.trouble && a.status != http.StatusOK {
			w.recorder.note("broken: a sound order is not served")
			return broken
		}
		time.Sleep(poisonInterval)
	}
	return w.judgePoison(sentAt)
}

// sendOrders sends sound orders, each with a body of its own.
func (w *world) sendOrders(ctx context.Context) {
	for ctx.Err() == nil {
		id := w.newID()
		e := w.entries[rand.IntN(len(w.entries))]
		a := w.send(ctx, e, http.MethodPost, "/orders/7/remembrance", id, []byte(`{"order":"`+id+`"}`), clientLimit)
		w.recorder.note("order %s at %s is answered %d", id, e.name, a.status)
		time.Sleep(50 * time.Millisecond)
	}
}

// judgePoison counts the retries that reached a server and were sent later than the stable
// window after the third crash.
func (w *world) judgePoison(sentAt map[string]time.Time) int {
	crashes := w.recorder.runsOf(func(x run) bool { _, ok := sentAt[x.attempt]; return ok && x.crash })
	if len(crashes) < maxLateRetries {
		w.recorder.note("held: the order has crashed %d servers", len(crashes))
		return held
	}
	third := crashes[2].at
	late := map[string]bool{}
	for _, x := range crashes {
		if sentAt[x.attempt].After(third.Add(stableWindow)) {
			late[x.attempt] = true
		}
	}
	w.recorder.note("the order has crashed %d servers; the third crash was at %.3f; %d retries sent more than %v later reached a server, %d are allowed", len(crashes), third.Sub(w.start).Seconds(), len(late), stableWindow, maxLateRetries)
	if len(late) > maxLateRetries {
		w.recorder.note("broken: BUDGET")
		return broken
	}
	return held
}
