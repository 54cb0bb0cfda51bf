package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
	// crasherPath is the path of the request that crashes the servers that run it.
	crasherPath = "/xapu221/crasher"
	// crasherInterval is the time between two times that it comes again.
	crasherInterval = time.Second
	// crasherDown is how long a server is down after it has crashed.
	crasherDown = 2 * time.Second
	// maxRetries is how many retries may reach a server after the third crash.
	maxRetries = 3
	// triesPerEntry is how often the request comes to an entry after it has been restarted.
	triesPerEntry = 5
	// graceTime is grace_s.
	graceTime = 6 * time.Second
)

// caseCrasher sends a request again that crashes each server that runs it. When the
// system has stopped it, its entries are restarted one after the other. The rule is broken
// if the request reaches servers in more than three retries, sent by entries in touch later
// than stableWindow after it has crashed the third server.
func caseCrasher(w *world, trouble bool) error {
	var mu sync.Mutex
	var crashes []time.Time
	backends := map[string]*backend{}
	work := func(r run) answer {
		if r.target != crasherPath {
			sleepUnlessGone(r, orderWork)
			return whole(1500)
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		b := backends[r.server]
		n := len(crashes)
		mu.Unlock()
		w.rec.add("crash %d: server %s crashes with %s", n, r.server, r.id)
		b.crash()
		background.Go(func() {
			time.Sleep(crasherDown)
			if err := b.start(); err != nil {
				w.rec.add("server %s does not start again: %v", b.id, err)
				return
			}
			w.registerAgain(b)
		})
		return answer{none: true}
	}
	for i := range 12 {
		b, err := w.addBackend(fmt.Sprint("i-", i), "ordini", zoneOf(i), 4, work)
		if err != nil {
			return err
		}
		mu.Lock()
		backends[b.id] = b
		mu.Unlock()
	}
	w.configure(3, route{"r-1", "/xapu221/", "non_idempotent", "ordini", 1000, 2, false, nil})
	if err := w.addEntries(3); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(crashes)
	}
	n := 0
	send := func(e *entry) {
		r := request{method: http.MethodPost, path: crasherPath, id: fmt.Sprintf("x%03d", n), body: "the same body", limit: 1500 * time.Millisecond, extra: "Cookie: caller=9\r\n"}
		n++
		w.rec.add("%s to %s: %v", r.id, e.name, once(e.front(), r))
		time.Sleep(crasherInterval)
	}
	for i := 0; count() < 3 && i < 30; i++ {
		send(w.entries[i%len(w.entries)])
	}
	if count() < 3 {
		return fmt.Errorf("the request crashed only %d servers", count())
	}
	time.Sleep(stableWindow)
	before := count()
	w.rec.add("%d servers have crashed, and %v have passed since the third", before, stableWindow)
	for _, e := range w.entries {
		if trouble {
			if err := w.restart(e); err != nil {
				return err
			}
			// From here on the machine is in touch again.
			time.Sleep(stableWindow + 500*time.Millisecond)
		}
		for range triesPerEntry {
			send(e)
		}
	}
	retries := count() - before
	served := 0
	for i := range 20 {
		r := request{method: http.MethodPost, path: "/xapu221/other", id: fmt.Sprintf("y%03d", i), body: fmt.Sprint("order ", i), limit: 1500 * time.Millisecond}
		if v := once(w.entries[i%len(w.entries)].front(), r); v.served(r.id) {
			served++
		}
	}
	w.rec.add("%d retries reached a server later than %v after the third crash; %d of 20 other orders are served", retries, stableWindow, served)
	switch {
	case served < 15:
		return fmt.Errorf("only %d of 20 other orders were served", served)
	case retries > maxRetries:
		return fmt.Errorf("%w: BUDGET: the request reached servers in %d retries after the third crash", errBroken, retries)
	}
	return nil
}
