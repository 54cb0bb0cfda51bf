package main

import (
	"bytes"
	"context"
	"net/http"
	"time"
)

func init() { scenarios["gone-upload"] = goneUpload }

const (
	goneEntries = 4
	goneServers = 16
	goneUploads = 60
	// goneInterval is the time between two uploads, so that all clients leave within 5 s.
	goneInterval = 80 * time.Millisecond
	// uploadBytes is the length of each body.
	uploadBytes = 96 << 10
	uploadTime  = 4 * time.Second
	uploadLimit = 8 * time.Second
	// leaveAfter is when a client leaves: the body has long arrived, and the server works.
	leaveAfter = 800 * time.Millisecond
	// goneDelay is how long a server may go on after the client has left.
	goneDelay = 500 * time.Millisecond
	// maxGoneShare is the share of the requests at which servers may go on for longer.
	maxGoneShare = 0.25
)

// leaves reports whether the client of an upload leaves, as three in ten do.
func leaves(n int) bool { return n%10 < 3 }

// goneUpload has clients of which three in ten leave before their time limit, after they have
// sent the whole body of an idempotent request.
func goneUpload(w *world) int {
	services := []string{"archive"}
	for n := range goneServers {
		w.addServer("archive", n, 6, func(*http.Request, []byte) work { return work{takes: uploadTime} })
	}
	w.configure(3, services, route("uploads", "idempotent", "/uploads/", uploadLimit, services...))
	for n := range goneEntries {
		w.addEntry(n)
	}
	w.waitReady()
	time.Sleep(8 * time.Second)
	body := bytes.Repeat([]byte("recording "), uploadBytes/10)
	left := make([]time.Time, goneUploads)
	ids := make([]string, goneUploads)
	answers := make([]answer, goneUploads)
	done := make(chan struct{}, goneUploads)
	for n := range goneUploads {
		ids[n] = w.newID()
		w.group.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if w.trouble && leaves(n) {
				leave := time.AfterFunc(leaveAfter, func() {
					left[n] = time.Now()
					cancel()
					w.recorder.note("the client of %s leaves", ids[n])
				})
				defer leave.Stop()
			}
			w.recorder.note("a client sends %s to %s", ids[n], w.entries[n%goneEntries].name)
			answers[n] = w.send(ctx, w.entries[n%goneEntries], http.MethodPut, "/uploads/7", ids[n], body, uploadLimit)
			w.recorder.note("%s is answered %d", ids[n], answers[n].status)
			done <- struct{}{}
		})
		time.Sleep(goneInterval)
	}
	for range goneUploads {
		<-done
	}
	time.Sleep(uploadTime + time.Second)
	counted, late := 0, 0
	for n, id := range ids {
		if !w.trouble || !leaves(n) {
			if answers[n].status != http.StatusOK {
				w.recorder.note("broken: %s is not served", id)
				return broken
			}
			continue
		}
		runs := w.recorder.runsOf(func(x run) bool { return x.attempt == id })
		if len(runs) == 0 || !runs[0].at.Add(uploadTime).After(left[n].Add(goneDelay)) {
			continue
		}
		counted++
		if end, ok := w.recorder.endOf(id); !ok || end.After(left[n].Add(goneDelay)) {
			late++
		}
	}
	w.recorder.note("servers were at work on %d requests whose client had left; on %d of them for more than %v longer", counted, late, goneDelay)
	if w.trouble && float64(late) > maxGoneShare*float64(counted) {
		w.recorder.note("broken: GONE")
		return broken
	}
	return held
}
