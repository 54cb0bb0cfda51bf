package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploadBytes     = 8 << 20
	uploads         = 640
	uploadClients   = 12
	uploadLimit     = 4 * time.Second
	uploadTimeoutMS = 1000
	// readsOnAfter is how long a server that has answered early waits before it reads the
	// rest of the body.
	readsOnAfter = 3 * time.Second
	// earlyServers and earlyShare are the dose: half of the servers, 5 in 100 requests.
	earlyServers = 0.5
	earlyShare   = 0.05
	// earlyFor is how long servers reject early, less than the longest on the pages.
	earlyFor = 6 * time.Second
	// minLate keeps a single slow answer on a busy machine from counting.
	minLate      = 4
	serverWindow = 64 << 10
)

// uploadCase sends long bodies. Some servers reject one in 20 of them before it is in, as
// the pages allow, and read on later. The answer is ready at once, and has to reach the
// client by half a second after the route's timeout.
func uploadCase(w *world) (int, error) {
	var mu sync.Mutex
	random := rand.New(rand.NewSource(1))
	early := map[string]time.Time{}
	var earlyUntil time.Time
	handle := func(k *call) bool {
		// A peer that does not read blocks the writer: windows are small.
		_ = k.conn.(*net.TCPConn).SetReadBuffer(serverWindow)
		mu.Lock()
		rejects := w.trouble && time.Now().Before(earlyUntil) && isEarly(k.server.id) && random.Float64() < earlyShare
		if rejects {
			early[k.id] = time.Now()
		}
		mu.Unlock()
		if rejects {
			w.rec.note("server %s rejects %s before its body is in", k.server.id, k.id)
			k.decline()
			time.Sleep(readsOnAfter)
			_, err := io.Copy(io.Discard, k.req.Body)
			return err == nil
		}
		k.began()
		n, err := io.Copy(io.Discard, k.req.Body)
		if err != nil || n != uploadBytes {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		k.respond(http.StatusOK, k.sealed(), "stored")
		return true
	}
	if err := w.addServers("ordini", 12, 4, []int{0, 1, 2, 3, 4, 5}, handle); err != nil {
		return 0, err
	}
	w.configure(route{"/xapu221/", "non_idempotent", "ordini", uploadTimeoutMS})
	var err error
	if w.fleet, err = newFleet(w.rec, w.store.addr(), []int{0, 0, 1, 2, 3, 4, 5}, false); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	earlyUntil = time.Now().Add(earlyFor)
	mu.Unlock()
	replies := map[string]reply{}
	var next int
	var group sync.WaitGroup
	for range uploadClients {
		group.Go(func() {
			for {
				mu.Lock()
				n := next
				next++
				mu.Unlock()
				if n >= uploads {
					return
				}
				m := w.fleet.machines[n%len(w.fleet.machines)]
				q := request{id: newID(), method: http.MethodPost, host: host, target: fmt.Sprintf("/xapu221/%d", n), remaining: uploadLimit, bodyLength: uploadBytes, cookie: fmt.Sprint(n % 48)}
				w.rec.note("send %s to %s", q.id, m.name)
				r := send(m.front(), q)
				w.rec.note("answer %s: %v", q.id, r)
				mu.Lock()
				replies[q.id] = r
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return judgeUploads(w, replies, early), nil
}

func isEarly(id string) bool {
	var n int
	_, _ = fmt.Sscanf(id, "i-ordini-%d", &n)
	return n <= int(12*earlyServers)
}

// judgeUploads applies the rule: of the requests that are unanswered at the route's timeout,
// no more than half may have no answer half a second later.
func judgeUploads(w *world, replies map[string]reply, early map[string]time.Time) int {
	timeout := uploadTimeoutMS * time.Millisecond
	unanswered, late, lateEarly := 0, 0, 0
	statuses := map[int]int{}
	for id, r := range replies {
		statuses[r.status]++
		if r.status != 0 && r.took <= timeout {
			continue
		}
		if r.status == 0 && !isTimeout(r.err) {
			// A closed connection is an end.
			if r.took <= timeout {
				continue
			}
		}
		unanswered++
		if r.took > timeout+500*time.Millisecond {
			late++
			if _, ok := early[id]; ok {
				lateEarly++
			}
			w.rec.note("late: %s: %v", id, r)
		}
	}
	w.rec.say("%d uploads, answers by status %v; %d were rejected early by a server", len(replies), statuses, len(early))
	w.rec.say("unanswered at the timeout: %d; of these without an answer half a second later: %d (%d of them already answered by the server)", unanswered, late, lateEarly)
	if late >= minLate && late*2 > unanswered {
		return broken
	}
	return held
}
