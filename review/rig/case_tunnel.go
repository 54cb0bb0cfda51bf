package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	downloadBytes  = 200_000
	downloadPieces = 100
	downloadTime   = 1500 * time.Millisecond
	downloadLimit  = 2500 * time.Millisecond
	downloads      = 24
	cutSettleLimit = 4 * time.Second
	// maxCut is the longest cut with resets on the pages.
	maxCut        = 8 * time.Second
	killAfter     = 700 * time.Millisecond
	cutOffMachine = 0
	// carrierMachine is the other machine of the same zone, through which the connections to
	// the nearest servers go.
	carrierMachine  = 1
	downloadsBefore = 12
)

// tunnelCase cuts one machine off from the backend servers and then kills the process of
// the machine through which its connections go. The answers of the servers have no length
// and end with their connections. A download that the kill cuts short must not look
// complete.
func tunnelCase(w *world) (int, error) {
	var cut atomic.Bool
	handle := func(k *call) bool {
		k.began()
		_, _ = io.Copy(io.Discard, k.req.Body)
		_, _ = fmt.Fprintf(k.conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sConnection: close\r\n\r\n", wire["attempt"], k.id, k.sealed())
		sent := 0
		for range downloadPieces {
			n, err := k.conn.Write([]byte(strings.Repeat("r", downloadBytes/downloadPieces)))
			if sent += n; err != nil {
				w.rec.note("server %s: %s broken off after %d bytes: %v", k.server.id, k.id, sent, err)
				return false
			}
			time.Sleep(downloadTime / downloadPieces)
		}
		w.rec.note("server %s sent all %d bytes of %s", k.server.id, sent, k.id)
		return false
	}
	if err := w.addServers("nastroteca", 12, 3, []int{0, 3, 2, 0, 3, 5, 0, 3, 1, 4, 2, 5}, handle); err != nil {
		return 0, err
	}
	w.configure(route{"/fiti832/", "download", "nastroteca", 2500})
	var err error
	if w.fleet, err = newFleet(w.rec, w.store.addr(), []int{0, 0, 1, 2, 3, 4, 5}, false); err != nil {
		return 0, err
	}
	ok, took := checkOwnsConn()
	w.rec.note("the owner of a connection is found: %v, in %v", ok, took)
	if !ok {
		return 0, fmt.Errorf("the owner of a connection can't be found here")
	}
	machine, carrier := w.fleet.machines[cutOffMachine], w.fleet.machines[carrierMachine]
	isCutOff := func(c net.Conn) bool { return ownsConn(machine.pid(), c) }
	for _, s := range w.servers {
		s.admit = func(c *net.TCPConn) bool { return !cut.Load() || !isCutOff(c) }
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var replies []reply
	download := func() reply {
		q := request{id: newID(), method: http.MethodGet, host: host, target: "/fiti832/" + fmt.Sprint(requestCount.Load()), remaining: downloadLimit}
		w.rec.note("send %s to %s", q.id, machine.name)
		r := sendWhole(machine.front(), q)
		w.rec.note("answer %s: %v", q.id, r)
		mu.Lock()
		defer mu.Unlock()
		replies = append(replies, r)
		return r
	}
	downloadMany := func(n int) *sync.WaitGroup {
		var group sync.WaitGroup
		for range n {
			group.Go(func() { download() })
			time.Sleep(20 * time.Millisecond)
		}
		return &group
	}
	downloadMany(downloadsBefore).Wait()
	var cutAt time.Time
	if w.trouble {
		cut.Store(true)
		cutAt = time.Now()
		w.rec.note("%s is cut off from the servers", machine.name)
		for _, s := range w.servers {
			s.resetConns(isCutOff)
		}
		if !awaitServed(download) {
			return 0, fmt.Errorf("%s serves nothing while it is cut off", machine.name)
		}
	}
	group := downloadMany(downloads)
	time.Sleep(killAfter - downloads*20*time.Millisecond + 100*time.Millisecond)
	if w.trouble {
		w.rec.note("SIGKILL to the process of %s", carrier.name)
		carrier.kill(false)
	}
	group.Wait()
	if w.trouble {
		length := time.Since(cutAt)
		w.rec.note("the cut lasted %v", length)
		if length > maxCut {
			return 0, fmt.Errorf("the cut lasted %v, more than %v", length, maxCut)
		}
	}
	wrong := 0
	for _, r := range replies {
		if r.status/100 == 2 && r.complete && r.length != downloadBytes {
			wrong++
		}
	}
	w.rec.say("%d downloads; %d answers look complete and lack a part of the server's body", len(replies), wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// awaitServed sends requests one at a time until one is served.
func awaitServed(download func() reply) bool {
	for end := time.Now().Add(cutSettleLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r := download(); r.status == http.StatusOK && r.complete {
			return true
		}
	}
	return false
}

// sendWhole is send for a request without a body. It closes the connection only after the
// answer.
func sendWhole(addr string, q request) reply {
	start := time.Now()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(q.remaining + time.Second))
	if err := q.write(c); err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	r := readReply(bufio.NewReader(c), q.method)
	r.took = time.Since(start)
	return r
}
