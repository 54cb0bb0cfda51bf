package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// rounds is how often the disruption comes, with poisons new requests each time.
	rounds        = 6
	poisons       = 2
	shedShare     = 0.55
	shedFor       = 8500 * time.Millisecond
	poisonPause   = 600 * time.Millisecond
	poisonFor     = 10500 * time.Millisecond
	roundPause    = time.Second
	crashFor      = 2 * time.Second
	stableWindow  = 3 * time.Second
	orderInterval = 20 * time.Millisecond
)

// poisonCase sends requests that crash each server which begins to run them, again and
// again, while all servers of the service reject a part of their requests as not run.
func poisonCase(w *world) (int, error) {
	var mu sync.Mutex
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	var shedUntil time.Time
	crashes := map[string][]time.Time{}
	handle := func(k *call) bool {
		_, _ = io.Copy(io.Discard, k.req.Body)
		mu.Lock()
		sheds := time.Now().Before(shedUntil) && random.Float64() < shedShare
		mu.Unlock()
		if sheds {
			k.decline()
			return true
		}
		k.began()
		if strings.Contains(k.req.RequestURI, "/poison-") {
			w.rec.note("%s (%s) crashes server %s", k.req.RequestURI, k.id, k.server.id)
			mu.Lock()
			crashes[k.req.RequestURI] = append(crashes[k.req.RequestURI], time.Now())
			mu.Unlock()
			k.server.crash(crashFor)
			return false
		}
		time.Sleep(60 * time.Millisecond)
		k.respond(http.StatusOK, k.sealed(), "done "+k.id)
		return true
	}
	if err := w.addServers("glaze-catalogue", 24, 9, []int{0, 1, 2, 3, 4, 5}, handle); err != nil {
		return 0, err
	}
	w.configure(route{"/lepu270/", "idempotent", "glaze-catalogue", 1000})
	var err error
	if w.fleet, err = newFleet(w.rec, w.store.addr(), []int{0, 0, 1, 2, 3, 4, 5}, false); err != nil {
		return 0, err
	}
	time.Sleep(3500 * time.Millisecond)
	var group sync.WaitGroup
	pick := func() *machine { return w.fleet.machines[rand.Intn(len(w.fleet.machines))] }
	lost, sent := 0, 0
	for round := range rounds {
		if w.trouble {
			mu.Lock()
			shedUntil = time.Now().Add(shedFor)
			mu.Unlock()
			w.rec.note("all servers reject %.0f in 100 requests for %v", shedShare*100, shedFor)
		}
		end := time.Now().Add(poisonFor)
		for p := range poisons {
			target := fmt.Sprintf("/lepu270/poison-%d-%d", round, p)
			group.Go(func() {
				time.Sleep(time.Duration(p) * 200 * time.Millisecond)
				for time.Now().Before(end) {
					m := pick()
					q := request{id: newID(), method: http.MethodGet, host: host, target: target, remaining: 1200 * time.Millisecond, cookie: target}
					r := sendWhole(m.front(), q)
					w.rec.note("%s (%s) at %s: %v", q.target, q.id, m.name, r)
					time.Sleep(poisonPause)
				}
			})
		}
		for time.Now().Before(end.Add(roundPause)) {
			sent++
			group.Go(func() {
				q := request{id: newID(), method: http.MethodGet, host: host, target: "/lepu270/read", remaining: 1200 * time.Millisecond, cookie: fmt.Sprint(rand.Intn(129))}
				r := sendWhole(pick().front(), q)
				if r.status == http.StatusBadGateway || r.status == 0 {
					mu.Lock()
					defer mu.Unlock()
					lost++
					w.rec.note("%s: %v", q.id, r)
				}
			})
			time.Sleep(orderInterval)
		}
	}
	group.Wait()
	return judgePoison(w, crashes, sent, lost), nil
}

// judgePoison applies the rule: a request reaches servers in no more than three retries
// later than the stable window after it has crashed the third.
func judgePoison(w *world, crashes map[string][]time.Time, sent, lost int) int {
	code := held
	for target, at := range crashes {
		late, total := 0, 0
		for _, a := range w.log.arrivals {
			if a.target != target {
				continue
			}
			total++
			if len(at) >= 3 && a.at.After(at[2].Add(stableWindow)) {
				late++
			}
		}
		w.rec.say("%s reached servers %d times and crashed %d; %d times later than %v after the third crash", target, total, len(at), late, stableWindow)
		if late > 3 {
			code = broken
		}
	}
	w.rec.say("%d other requests, %d of them answered 502 or not at all", sent, lost)
	return code
}
