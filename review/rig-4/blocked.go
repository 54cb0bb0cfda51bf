package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["blocked-path"] = blockedPath }

const (
	blockedEntries = 7
	blockedServers = 12
	blockedCallers = 6
	// blockedReturns is how often the caller sends the request that crashes servers.
	blockedReturns  = 4
	blockedInterval = time.Second
	// steadyDelay is the time from the last of them until the others are counted: the servers
	// are back and the machines have long been in touch.
	steadyDelay = 10 * time.Second
	steadyTime  = 20 * time.Second
	// minLater is the number of requests on later routes from which they are judged, and
	// minLaterShare how often they have to be served, as a part of how often the first are.
	minLater, minLaterShare = 20, 0.25
)

// tally counts the requests on a route.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if served {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// blockedPath adds a route for a page. The first caller's request for it crashes each server
// that begins to run it. Later, in a calm time, others ask for the same page, and for one of
// the first route. Their requests are sound.
func blockedPath(w *world) int {
	const poisonObject = "17"
	services := []string{"search", "vigil"}
	do := func(r *http.Request, _ []byte) work {
		poison := strings.HasSuffix(r.Header.Get("Cookie"), "="+poisonObject)
		return work{takes: searchTime, crash: w.trouble && poison}
	}
	for _, service := range services {
		for n := range blockedServers {
			w.addServer(service, n, 6, do)
		}
	}
	first := route("search", "idempotent", "/search/", clientLimit, "search")
	w.configure(3, services, first)
	for n := range blockedEntries {
		w.addEntry(n)
	}
	w.waitReady()
	time.Sleep(8 * time.Second)
	w.configure(5, services, first, route("vigil", "idempotent", "/vigil/", clientLimit, "vigil"))
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	caller := w.clientAt(0)
	for n := range blockedReturns {
		id := w.newID()
		e := w.entries[n%len(w.entries)]
		w.recorder.note("the first caller sends its request as %s to %s", id, e.name)
		a := w.sendWith(ctx, caller, poisonObject, e, http.MethodGet, "/vigil/live", id, nil, clientLimit)
		w.recorder.note("the first caller's request %s is answered %d, error %v", id, a.status, a.err)
		time.Sleep(blockedInterval)
	}
	time.Sleep(steadyDelay)
	w.recorder.note("the calm time begins")
	var firstRoute, laterRoute tally
	calm, end := context.WithTimeout(ctx, steadyTime)
	defer end()
	var callers sync.WaitGroup
	for n := range blockedCallers {
		callers.Go(func() { w.ask(calm, w.clientAt(1+n), strconv.Itoa(100+n), "/search/today", &firstRoute) })
		callers.Go(func() { w.ask(calm, w.clientAt(10+n), strconv.Itoa(200+n), "/vigil/live", &laterRoute) })
	}
	callers.Wait()
	w.recorder.note("in %v, %d of %d requests on the first route and %d of %d on the later one were served", steadyTime, firstRoute.served, firstRoute.sent, laterRoute.served, laterRoute.sent)
	if laterRoute.sent >= minLater && laterRoute.share() < minLaterShare*firstRoute.share() {
		w.recorder.note("broken: CONFIG")
		return broken
	}
	return held
}

// ask sends requests of one caller for a page and counts them.
func (w *world) ask(ctx context.Context, caller *http.Client, object, path string, count *tally) {
	for ctx.Err() == nil {
		id := w.newID()
		e := w.entries[rand.IntN(len(w.entries))]
		a := w.sendWith(context.Background(), caller, object, e, http.MethodGet, path, id, nil, clientLimit)
		count.add(a.status == http.StatusOK && a.sealed)
		w.recorder.note("request %s for %s of the caller of object %s at %s is answered %d", id, path, object, e.name, a.status)
		time.Sleep(200 * time.Millisecond)
	}
}
