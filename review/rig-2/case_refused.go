package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The times of the script.
const (
	refusedLength = 80 * time.Second
	// crashFrom is when the server may crash, and crashFor how long it is down.
	crashFrom = 8 * time.Second
	crashFor  = 4500 * time.Millisecond
)

const (
	// orderInterval and searchInterval are the mean times between two orders and between
	// two searches.
	orderInterval  = 110 * time.Millisecond
	searchInterval = 40 * time.Millisecond
	// orderWork and searchWork are how long they work.
	orderWork  = 312 * time.Millisecond
	searchWork = 240 * time.Millisecond
	// minAlike is the number of orders in work at the server when it crashes.
	minAlike = 3
)

// tally counts the requests of a kind.
type tally struct{ asked, served, refused int }

// share returns the share of the requests that were served.
func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.asked)) }

// caseRefused lets many clients order the same copy while others search. One of 12 servers
// crashes, once, for another reason than the orders. The rule is broken if the orders are
// served less than a quarter as often as all requests.
func caseRefused(w *world, trouble bool) error {
	inWork := &counts{by: map[string]int{}}
	order := func(r run) answer {
		inWork.add(r.server, 1)
		defer inWork.add(r.server, -1)
		sleepUnlessGone(r, orderWork)
		return whole(1500)
	}
	search := func(r run) answer {
		sleepUnlessGone(r, searchWork)
		return whole(5000)
	}
	orders := map[string]*backend{}
	for i := range 12 {
		b, err := w.addBackend(fmt.Sprint("o-", i), "ordini", zoneOf(i), 4, order)
		if err != nil {
			return err
		}
		orders[b.id] = b
		if _, err := w.addBackend(fmt.Sprint("s-", i), "catalogo", zoneOf(i), 6, search); err != nil {
			return err
		}
	}
	w.configure(3,
		route{"r-1", "/xapu221/", "non_idempotent", "ordini", 1000, 2, true, []string{"palermo"}},
		route{"r-2", "/lepu270/", "idempotent", "catalogo", 1000, 2, true, nil})
	if err := w.addEntries(3); err != nil {
		return err
	}
	start := time.Now()
	end := start.Add(refusedLength)
	if trouble {
		background.Go(func() { crashOnce(w, orders, inWork, start.Add(crashFrom), end) })
	}
	var mu sync.Mutex
	ordered, searched := tally{}, tally{}
	var wg sync.WaitGroup
	wg.Go(func() {
		each(end, orderInterval, &wg, func(n int) {
			// Each client orders the same copy; the client is named in a header.
			r := request{method: http.MethodPost, path: "/xapu221/copy-17", id: fmt.Sprintf("o%05d", n), body: "copies=1", limit: 1500 * time.Millisecond,
				extra: fmt.Sprintf("Cookie: %s=17; family=%d\r\n", names["affinity"], n)}
			v := once(w.entries[n%len(w.entries)].front(), r)
			w.rec.add("order %s: %v", r.id, v)
			mu.Lock()
			defer mu.Unlock()
			ordered.count(v.served(r.id))
		})
	})
	wg.Go(func() {
		each(end, searchInterval, &wg, func(n int) {
			r := request{method: http.MethodGet, path: fmt.Sprintf("/lepu270/%d", n%200), id: fmt.Sprintf("s%05d", n), limit: 1200 * time.Millisecond,
				extra: fmt.Sprintf("Cookie: %s=%d\r\n", names["affinity"], n%200)}
			v := once(w.entries[n%len(w.entries)].front(), r)
			mu.Lock()
			defer mu.Unlock()
			searched.count(v.served(r.id))
		})
	})
	wg.Wait()
	all := tally{asked: ordered.asked + searched.asked, served: ordered.served + searched.served}
	w.rec.add("orders: %d asked, %d served (%.3f); searches: %d asked, %d served (%.3f); all %.3f", ordered.asked, ordered.served, ordered.share(), searched.asked, searched.served, searched.share(), all.share())
	switch {
	case searched.share() < 0.8 || ordered.asked < 100:
		return fmt.Errorf("the searches were not served: %.3f", searched.share())
	case ordered.share() < all.share()/4:
		return fmt.Errorf("%w: Starved: %.3f of the orders were served, and %.3f of all requests", errBroken, ordered.share(), all.share())
	}
	return nil
}

func (t *tally) count(served bool) {
	t.asked++
	if served {
		t.served++
	}
}

// each calls f for each request until a time, at random intervals with a mean.
func each(end time.Time, mean time.Duration, wg *sync.WaitGroup, f func(n int)) {
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() { f(n) })
		time.Sleep(time.Duration(rand.Float64() * 2 * float64(mean)))
	}
}

// crashOnce crashes, after a time, the first server that has minAlike orders in work while
// no other has any, and starts it again.
func crashOnce(w *world, servers map[string]*backend, inWork *counts, from, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		id, n, others := inWork.most()
		if time.Now().Before(from) || n < minAlike || others > 0 {
			continue
		}
		b := servers[id]
		w.rec.add("server %s crashes with %d orders in work", id, n)
		b.crash()
		time.Sleep(crashFor)
		if err := b.start(); err != nil {
			w.rec.add("server %s does not start again: %v", id, err)
			return
		}
		w.registerAgain(b)
		w.rec.add("server %s is back", id)
		return
	}
	w.rec.add("no server crashed")
}
