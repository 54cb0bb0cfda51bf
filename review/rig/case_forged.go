package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

const (
	// nesting is the depth of the value that another writer leaves. It is valid JSON.
	nesting        = 12_000
	calmFor        = 4 * time.Second
	forgedFor      = 4 * time.Second
	recovery       = 15 * time.Second
	measuredFor    = 8 * time.Second
	readInterval   = 20 * time.Millisecond
	servedQuarters = 4
)

// forgedCase has another writer leave an entry among the servers whose bytes can't be read,
// and kills all processes at the end, as the pages say of some days. A quarter of the
// requests at least has to be served later than the recovery time after that.
func forgedCase(w *world) (int, error) {
	handle := func(k *call) bool {
		_, _ = io.Copy(io.Discard, k.req.Body)
		k.began()
		time.Sleep(60 * time.Millisecond)
		k.respond(http.StatusOK, k.sealed(), "done "+k.id)
		return true
	}
	if err := w.addServers("catalogo", 16, 6, []int{0, 1, 2, 3, 4, 5}, handle); err != nil {
		return 0, err
	}
	w.configure(route{"/lepu270/", "idempotent", "catalogo", 1000})
	var err error
	if w.fleet, err = newFleet(w.rec, w.store.addr(), []int{0, 0, 1, 2, 3, 4, 5}, false); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	before := w.read(calmFor)
	w.rec.say("before: %d of %d requests served", before.served, before.sent)
	if w.trouble {
		value := append(bytes.Repeat([]byte("["), nesting), bytes.Repeat([]byte("]"), nesting)...)
		w.store.putBytes("servers", "i-forged", value)
		w.rec.note("another writer leaves an entry of %d bytes among the servers", len(value))
	}
	between := w.read(forgedFor)
	w.rec.say("before the final fault: %d of %d requests served", between.served, between.sent)
	w.rec.note("SIGKILL to all processes")
	for _, m := range w.fleet.machines {
		m.kill(false)
	}
	during := w.read(restartDelay + recovery)
	w.rec.say("in the recovery time: %d of %d requests served", during.served, during.sent)
	after := w.read(measuredFor)
	ready := 0
	for _, m := range w.fleet.machines {
		if m.ready() {
			ready++
		}
	}
	w.rec.say("later than %v after the machines are back: %d of %d requests served, %d of %d machines ready", recovery, after.served, after.sent, ready, len(w.fleet.machines))
	if between.served*servedQuarters >= between.sent && after.served*servedQuarters < after.sent {
		return broken, nil
	}
	return held, nil
}

// tally counts requests.
type tally struct{ sent, served int }

// read sends requests to all machines for a while.
func (w *world) read(length time.Duration) tally {
	var mu sync.Mutex
	var t tally
	var group sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(readInterval) {
		t.sent++
		m := w.fleet.machines[t.sent%len(w.fleet.machines)]
		group.Go(func() {
			q := request{id: newID(), method: http.MethodGet, host: host, target: "/lepu270/read", remaining: 1200 * time.Millisecond, cookie: fmt.Sprint(rand.Intn(129))}
			r := sendWhole(m.front(), q)
			w.rec.note("%s at %s: %v", q.id, m.name, r)
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK && r.complete {
				t.served++
			}
		})
	}
	group.Wait()
	return t
}
