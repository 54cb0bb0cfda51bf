package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	lookupsFor      = 20 * time.Second
	lookupInterval  = 100 * time.Millisecond
	deadAfter       = stableWindow + 3*time.Second
	survivingOne    = 4
	maxStaleAnswers = 3
)

// lookup is one answer of the directory.
type lookup struct {
	at          time.Time
	zone        string
	alive, dead int
	status      int
	served      bool
}

// directoryCase kills all machines but one for good. The directory of the one that is left
// must name none of the dead ones from 6 s on.
func directoryCase(w *world) (int, error) {
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
	time.Sleep(4 * time.Second)
	left := w.fleet.machines[survivingOne]
	dead := map[string]bool{}
	killedAt := time.Now()
	if w.trouble {
		for _, m := range w.fleet.machines {
			if m != left {
				w.rec.note("SIGKILL to the process of %s, which is lost for good", m.name)
				m.kill(true)
				dead[m.front()] = true
			}
		}
	}
	var mu sync.Mutex
	var all []lookup
	var group sync.WaitGroup
	for n := 0; time.Since(killedAt) < lookupsFor; n++ {
		z := zones[n%len(zones)]
		group.Go(func() {
			l := w.ask(left, z, dead)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, l)
		})
		time.Sleep(lookupInterval)
	}
	group.Wait()
	return judgeLookups(w, all, killedAt), nil
}

// ask is a client of a zone that looks up where to connect, at a machine that is left, and
// sends a request to the first address that accepts a connection.
func (w *world) ask(left *machine, z [2]string, dead map[string]bool) lookup {
	l := lookup{at: time.Now(), zone: z[0]}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s?name=%s&region=%s&zone=%s", left.ip, directoryPort, wire["resolution"], host, z[1], z[0]))
	if err != nil {
		w.rec.note("lookup from %s: %v", z[0], err)
		return l
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	l.status = resp.StatusCode
	if l.status == http.StatusOK && json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return l
	}
	for _, addr := range answer.Addresses {
		if dead[addr] {
			l.dead++
		} else {
			l.alive++
		}
	}
	slices.Sort(answer.Addresses)
	w.rec.note("lookup from %s: status %d, %v", z[0], l.status, answer.Addresses)
	for _, addr := range answer.Addresses {
		q := request{id: newID(), method: http.MethodGet, host: host, target: "/lepu270/read", remaining: 1200 * time.Millisecond}
		r := sendWhole(addr, q)
		w.rec.note("%s from %s at %s: %v", q.id, z[0], addr, r)
		if r.status != 0 {
			l.served = r.status == http.StatusOK
			break
		}
	}
	return l
}

// judgeLookups applies the rule: no more than three answers name, beside a running machine,
// one that has been dead for longer than the stable window and 3 s.
func judgeLookups(w *world, all []lookup, killedAt time.Time) int {
	stale, onlyDead, late, unserved := 0, 0, 0, 0
	for _, l := range all {
		if l.at.Before(killedAt.Add(deadAfter)) {
			continue
		}
		late++
		if !l.served {
			unserved++
		}
		if l.dead > 0 && l.alive > 0 {
			stale++
		}
		if l.dead > 0 && l.alive == 0 {
			onlyDead++
		}
	}
	w.rec.say("%d answers of the directory later than %v after the kill: %d name dead machines beside a running one, %d name dead ones only", late, deadAfter, stale, onlyDead)
	w.rec.say("%d of these callers were not served at any address of the answer", unserved)
	if stale > maxStaleAnswers {
		return broken
	}
	return held
}
