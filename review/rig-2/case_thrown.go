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
	// jobWork is how long a server works on a job, and jobBytes the length of its answer.
	jobWork  = 60 * time.Millisecond
	jobBytes = 400
	// firstBytes is how much of a manifest a garbling server sends before it breaks off.
	firstBytes = 1000
)

// job is a job that a client has sent, with what became of it.
type job struct {
	id string
	// carried is the number of answers that had come on its connection before.
	carried int
	result  result
}

// caseThrown lets clients book a job and ask for a manifest behind it. Some servers of the
// manifests break off a few of them. The rule is broken if more than three jobs were passed on
// to a server, all of which are sound, and their connection closed without an answer.
func caseThrown(w *world, trouble bool) error {
	var mu sync.Mutex
	manifests := map[string]int{}
	garbling := &gate{}
	book := func(r run) answer {
		sleepUnlessGone(r, jobWork)
		return whole(jobBytes)
	}
	manifest := func(garbles bool) func(run) answer {
		return func(r run) answer {
			sleepUnlessGone(r, manifestWork)
			a := whole(manifestBytes)
			mu.Lock()
			defer mu.Unlock()
			manifests[r.server]++
			if garbles && garbling.open() && manifests[r.server]%garbleEvery == 0 {
				a.sent = firstBytes
			}
			return a
		}
	}
	var sound []*backend
	for i := range 12 {
		b, err := w.addBackend(fmt.Sprint("d-", i), "dispatch-core", zoneOf(i), 6, book)
		if err != nil {
			return err
		}
		sound = append(sound, b)
		if _, err := w.addBackend(fmt.Sprint("m-", i), "manifest-hub", zoneOf(i), 6, manifest(i < garbleServers)); err != nil {
			return err
		}
	}
	w.configure(3,
		route{"r-1", "/jobs/", "non_idempotent", "dispatch-core", 3000, 2, true, nil},
		route{"r-2", "/manifest/", "download", "manifest-hub", 4000, 2, true, nil})
	if err := w.addEntries(2); err != nil {
		return err
	}
	if trouble {
		background.Go(func() {
			time.Sleep(garbleFrom)
			w.rec.add("%d of 12 servers break off one manifest in %d", garbleServers, garbleEvery)
			garbling.set(true)
			time.Sleep(garbleFor)
			garbling.set(false)
			w.rec.add("no server breaks off manifests any longer")
		})
	}
	var jobs []job
	var wg sync.WaitGroup
	end := time.Now().Add(cutLength)
	for k := range desks {
		wg.Go(func() {
			kept := &keeper{addr: w.entries[k%len(w.entries)].front()}
			defer kept.close()
			for n := 0; time.Now().Before(end); n++ {
				j, ok := bookWithManifest(kept, k, n)
				if ok {
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
				}
				time.Sleep(deskPause)
			}
		})
	}
	wg.Wait()
	return judgeThrown(w, sound, jobs)
}

// bookWithManifest sends a job and a manifest request on the connection that is kept and reads
// the answers. It returns false if they could not be sent.
func bookWithManifest(kept *keeper, desk, n int) (job, bool) {
	c, err := kept.conn()
	if err != nil {
		return job{}, false
	}
	carried := c.answers
	id := fmt.Sprintf("d%02d-%04d", desk, n)
	thing := fmt.Sprintf("Cookie: %s=%d\r\n", names["affinity"], (desk+n)%118)
	all := []request{
		{method: http.MethodPost, path: "/jobs/rider", id: id + "-job", body: "parcel=" + id, limit: 6 * time.Second, extra: thing},
		{method: http.MethodGet, path: fmt.Sprintf("/manifest/%d", n%51), id: id + "-manifest", limit: 4 * time.Second, extra: thing},
	}
	var text strings.Builder
	for _, r := range all {
		text.WriteString(r.text())
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		c.ended = true
		return job{}, false
	}
	now := time.Now()
	booked := job{all[0].id, carried, c.read(all[0], now.Add(all[0].limit))}
	if booked.result.status != 0 {
		c.read(all[1], now.Add(all[1].limit))
	}
	return booked, true
}

func judgeThrown(w *world, sound []*backend, jobs []job) error {
	ranAt := map[string]string{}
	for _, b := range sound {
		for _, r := range b.all() {
			ranAt[r.id] = b.id
		}
	}
	answered, lost := 0, 0
	for _, j := range jobs {
		if j.result.status != 0 {
			answered++
			continue
		}
		if server, ran := ranAt[j.id]; ran && j.carried > 0 {
			lost++
			w.rec.add("LOST: job %s ran at %s, which has answered it: %s; its connection had carried %d answers", j.id, server, j.result, j.carried)
		}
	}
	w.rec.add("%d jobs, %d answered, %d ran and have no answer", len(jobs), answered, lost)
	switch {
	case len(jobs) == 0 || answered < len(jobs)*9/10:
		return fmt.Errorf("only %d of %d jobs were answered", answered, len(jobs))
	case lost > maxLost:
		return fmt.Errorf("%w: LOST: %d jobs were passed on to sound servers, and their connections closed without an answer", errBroken, lost)
	}
	return nil
}
