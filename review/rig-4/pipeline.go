package main

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { scenarios["lost-pipeline"] = lostPipeline }

const (
	pipelineEntries = 4
	pipelineServers = 12
	pipelineClients = 16
	// pipelineDepth is how many requests a client sends before it reads the first answer.
	pipelineDepth = 6
	// pipelineTime is how long the clients send, and garbleTime how long servers are faulty,
	// from garbleStart on.
	pipelineTime = 16 * time.Second
	garbleStart  = 4 * time.Second
	garbleTime   = 5500 * time.Millisecond
	// faultyServers is how many servers are faulty, a third.
	faultyServers = pipelineServers / 3
	pageTime      = 60 * time.Millisecond
	// pageBytes is the length of each answer, and cutAt where a faulty server breaks one off.
	pageBytes, cutAt = 200 << 10, 120 << 10
	// garbleShare is the part of their answers that the faulty servers break off.
	garbleShare = 0.02
	// maxLost is how many requests may be lost.
	maxLost = 3
)

// lostPipeline has clients that send further idempotent requests before the first has been
// answered, and servers of which a third break off a small part of their answers for a while.
func lostPipeline(w *world) int {
	services := []string{"ledger"}
	var garbling atomic.Bool
	for n := range pipelineServers {
		faulty := w.trouble && n < faultyServers
		w.addServer("ledger", n, 6, func(r *http.Request, _ []byte) work {
			todo := work{takes: pageTime, bytes: pageBytes}
			if faulty && garbling.Load() && rand.Float64() < garbleShare {
				todo.cutAt = cutAt
			}
			return todo
		})
	}
	sound := map[string]bool{}
	for n, s := range w.servers {
		if n >= faultyServers {
			sound[s.id] = true
		}
	}
	w.configure(3, services, route("ledger", "idempotent", "/ledger/", clientLimit, services...))
	for n := range pipelineEntries {
		w.addEntry(n)
	}
	w.waitReady()
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), pipelineTime)
	defer cancel()
	lost, cut := make(chan string, 10_000), make(chan string, 10_000)
	done := make(chan struct{}, pipelineClients)
	for n := range pipelineClients {
		w.group.Go(func() {
			defer func() { done <- struct{}{} }()
			for ctx.Err() == nil {
				w.keepConnection(ctx, w.entries[n%len(w.entries)], lost, cut)
			}
		})
	}
	time.Sleep(garbleStart)
	garbling.Store(true)
	w.recorder.note("%d of %d servers break off part of their answers, if there is trouble", faultyServers, pipelineServers)
	time.Sleep(garbleTime)
	garbling.Store(false)
	w.recorder.note("all servers are sound again")
	for range pipelineClients {
		<-done
	}
	close(lost)
	close(cut)
	count := 0
	for id := range lost {
		runs := w.recorder.runsOf(func(x run) bool { return x.attempt == id })
		if len(runs) > 0 && sound[runs[len(runs)-1].server] {
			count++
			w.recorder.note("%s was passed on to the sound server %s, and its connection was closed without an answer", id, runs[len(runs)-1].server)
		}
	}
	w.recorder.note("%d answers were broken off; %d requests that were passed on to sound servers got no answer on their connection, %d are allowed", len(cut), count, maxLost)
	if count > maxLost {
		w.recorder.note("broken: LOST")
		return broken
	}
	return held
}

// keepConnection sends one batch of requests after the other on a connection, until that ends.
func (w *world) keepConnection(ctx context.Context, e *entry, lost, cut chan<- string) {
	c, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		w.recorder.note("no connection to %s: %v", e.name, err)
		time.Sleep(pageTime)
		return
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for ctx.Err() == nil && w.pipeline(c, r, e, lost, cut) {
		time.Sleep(20 * time.Millisecond)
	}
}

// pipeline sends a batch of requests ahead, and reads the answers in their order. It passes on
// the id of the request whose answer was broken off, and those of the requests behind it that
// got none, and then reports false.
func (w *world) pipeline(c net.Conn, r *bufio.Reader, e *entry, lost, cut chan<- string) bool {
	_ = c.SetDeadline(time.Now().Add(clientLimit))
	var ids []string
	var text strings.Builder
	for range pipelineDepth {
		id := w.newID()
		ids = append(ids, id)
		_, _ = fmt.Fprintf(&text, "GET /ledger/%d HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n\r\n", hashOf(id)%1000, wire.Attempt, id, wire.Remaining, clientLimit.Milliseconds())
	}
	w.recorder.note("a client sends %s ahead to %s", strings.Join(ids, ", "), e.name)
	if _, err := io.WriteString(c, text.String()); err != nil {
		return false
	}
	for n, id := range ids {
		status, err := readAnswer(r, id)
		w.recorder.note("%s is answered %d, error %v", id, status, err)
		if err == nil {
			continue
		}
		if status != 0 {
			cut <- id
			n++
		}
		for _, behind := range ids[n:] {
			lost <- behind
		}
		return false
	}
	return true
}

// readAnswer reads one answer. The status is 0 if there is none.
func readAnswer(r *bufio.Reader, id string) (status int, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && string(text) != answerOf(id, pageBytes) {
		err = fmt.Errorf("the answer to %s is not its own", id)
	}
	return resp.StatusCode, err
}

func hashOf(text string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, text)
	return h.Sum32()
}
