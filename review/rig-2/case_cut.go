package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// garbleServers is the number of the 12 servers that break answers off, and garbleEvery
	// how many of their answers make one that is broken off: share 0.33, x 0.02.
	garbleServers, garbleEvery = 4, 50
	// manifestBytes is the length of a manifest, and statusBytes that of a status.
	manifestBytes, statusBytes = 200_000, 1500
	// behind is the number of requests that a client sends behind each manifest.
	behind = 3
	// maxLost is how many requests may be passed on and have no answer.
	maxLost = 3
)

// The times of the script. The servers garble for as long as the site's garble lasts.
const (
	cutLength  = 14 * time.Second
	garbleFrom = 4 * time.Second
	garbleFor  = 5500 * time.Millisecond
	// desks is the number of clients, and deskPause the pause of each.
	desks     = 60
	deskPause = 50 * time.Millisecond
	// manifestWork and statusWork are how long a server works.
	manifestWork = 50 * time.Millisecond
	statusWork   = 60 * time.Millisecond
)

// caseCut lets clients ask for a manifest and send further idempotent requests behind it.
// Some servers break off a few of their answers. The rule is broken if more than three
// requests were passed on to a sound server, and their connection closed without an answer.
func caseCut(w *world, trouble bool) error {
	var mu sync.Mutex
	answers := map[string]int{}
	garbling := &gate{}
	work := func(garbles bool) func(run) answer {
		return func(r run) answer {
			if strings.HasPrefix(r.target, "/status/") {
				sleepUnlessGone(r, statusWork)
				return whole(statusBytes)
			}
			sleepUnlessGone(r, manifestWork)
			a := whole(manifestBytes)
			mu.Lock()
			defer mu.Unlock()
			answers[r.server]++
			if garbles && garbling.open() && answers[r.server]%garbleEvery == 0 {
				a.sent = manifestBytes / 2
			}
			return a
		}
	}
	sound := map[string]bool{}
	for i := range 12 {
		b, err := w.addBackend(fmt.Sprint("i-", i), "manifest-hub", zoneOf(i), 6, work(i < garbleServers))
		if err != nil {
			return err
		}
		sound[b.id] = i >= garbleServers
	}
	w.configure(3,
		route{"r-1", "/manifest/", "download", "manifest-hub", 3000, 2, true, nil},
		route{"r-2", "/status/", "idempotent", "manifest-hub", 3000, 2, true, nil})
	if err := w.addEntries(2); err != nil {
		return err
	}
	if trouble {
		background.Go(func() {
			time.Sleep(garbleFrom)
			w.rec.add("%d of 12 servers break off one answer in %d", garbleServers, garbleEvery)
			garbling.set(true)
			time.Sleep(garbleFor)
			garbling.set(false)
			w.rec.add("no server breaks off answers any longer")
		})
	}
	var wg sync.WaitGroup
	lost := map[string]string{}
	asked, answered := 0, 0
	end := time.Now().Add(cutLength)
	for k := range desks {
		wg.Go(func() {
			kept := &keeper{addr: w.entries[k%len(w.entries)].front()}
			defer kept.close()
			for n := 0; time.Now().Before(end); n++ {
				ids, results, carried := manifestWithStatuses(kept, k, n)
				mu.Lock()
				for i, v := range results {
					asked++
					if v.status != 0 {
						answered++
						continue
					}
					if carried > 0 {
						lost[ids[i]] = fmt.Sprintf("%v; its connection had carried %d answers", v, carried)
					}
				}
				mu.Unlock()
				time.Sleep(deskPause)
			}
		})
	}
	wg.Wait()
	return judgeCut(w, sound, lost, asked, answered)
}

// manifestWithStatuses sends a manifest request and those behind it on the connection that is
// kept and reads the answers. It returns how many answers that connection had carried before.
func manifestWithStatuses(kept *keeper, desk, n int) (ids []string, results []result, carried int) {
	c, err := kept.conn()
	if err != nil {
		return nil, nil, 0
	}
	carried = c.answers
	var all []request
	var text strings.Builder
	for j := range 1 + behind {
		r := request{method: http.MethodGet, path: fmt.Sprintf("/status/%d", (desk+j)%40), id: fmt.Sprintf("d%02d-%04d-%d", desk, n, j), limit: 4 * time.Second}
		if j == 0 {
			r.path = fmt.Sprintf("/manifest/%d", n%51)
		}
		r.extra = fmt.Sprintf("Cookie: %s=%s\r\n", names["affinity"], r.path)
		all, ids = append(all, r), append(ids, r.id)
		text.WriteString(r.text())
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		c.ended = true
		return nil, nil, 0
	}
	deadline := time.Now().Add(4 * time.Second)
	for _, r := range all {
		results = append(results, c.read(r, deadline))
	}
	return ids, results, carried
}

func judgeCut(w *world, sound map[string]bool, lost map[string]string, asked, answered int) error {
	passed := 0
	for _, b := range w.backends {
		for _, r := range b.all() {
			what, isLost := lost[r.id]
			if !isLost || !sound[b.id] {
				continue
			}
			passed++
			w.rec.add("LOST: %s was passed on to %s, which is sound: %s", r.id, b.id, what)
		}
	}
	w.rec.add("%d requests, %d answered, %d without an answer, %d of these passed on to a sound server", asked, answered, len(lost), passed)
	switch {
	case answered < asked*9/10:
		return fmt.Errorf("only %d of %d requests were answered", answered, asked)
	case passed > maxLost:
		return fmt.Errorf("%w: LOST: %d requests were passed on to sound servers, and their connections closed without an answer", errBroken, passed)
	}
	return nil
}
