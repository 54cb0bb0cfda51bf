package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { scenarios["poison-shared"] = poisonShared }

const (
	sharedEntries  = 7
	sharedServers  = 24
	sharedCallers  = 6
	sharedReturns  = 14
	sharedInterval = 3200 * time.Millisecond
	searchTime     = 60 * time.Millisecond
)

// poisonShared has callers that all ask for the same path, without a body. The request of one
// of them, which has an address and a cookie of its own, crashes each server that begins to
// run it. Those of the others are sound.
func poisonShared(w *world) int {
	const poisonObject = "17"
	services := []string{"search"}
	do := func(r *http.Request, _ []byte) work {
		poison := strings.HasSuffix(r.Header.Get("Cookie"), "="+poisonObject)
		return work{takes: searchTime, crash: w.trouble && poison}
	}
	for n := range sharedServers {
		w.addServer("search", n, 6, do)
	}
	w.configure(3, services, route("search", "idempotent", "/search/", clientLimit, services...))
	for n := range sharedEntries {
		w.addEntry(n)
	}
	w.waitReady()
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range sharedCallers {
		w.group.Go(func() { w.search(ctx, w.clientAt(1+n), strconv.Itoa(100+n)) })
	}
	time.Sleep(time.Second)
	caller := w.clientAt(0)
	sentAt := map[string]time.Time{}
	for n := range sharedReturns {
		id := w.newID()
		e := w.entries[n%len(w.entries)]
		sentAt[id] = time.Now()
		w.recorder.note("the caller sends its request as %s to %s", id, e.name)
		a := w.sendWith(ctx, caller, poisonObject, e, http.MethodGet, "/search/today", id, nil, clientLimit)
		w.recorder.note("the caller's request %s is answered %d, error %v", id, a.status, a.err)
		if !w.trouble && a.status != http.StatusOK {
			w.recorder.note("broken: a sound request is not served")
			return broken
		}
		time.Sleep(sharedInterval)
	}
	return w.judgePoison(sentAt)
}

// search sends sound requests of one caller.
func (w *world) search(ctx context.Context, caller *http.Client, object string) {
	for ctx.Err() == nil {
		id := w.newID()
		e := w.entries[rand.IntN(len(w.entries))]
		a := w.sendWith(ctx, caller, object, e, http.MethodGet, "/search/today", id, nil, clientLimit)
		w.recorder.note("request %s of the caller of object %s at %s is answered %d", id, object, e.name, a.status)
		time.Sleep(100 * time.Millisecond)
	}
}
