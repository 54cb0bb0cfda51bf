package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// callers keep a connection each and send a request in every callerInterval, which is
	// less than four fifths of the idle timeout. Together they send 800 requests a second.
	callers        = 8800
	callerInterval = 11 * time.Second
	callerLimit    = 1200 * time.Millisecond
	survivors      = 2
	calmTime       = 12 * time.Second
	troubleTime    = 90 * time.Second
	// ownFDs is what the rig itself needs.
	ownFDs = callers + 2000
)

// descriptorsCase kills all machines but two under the usual traffic. The callers that kept
// their connections to the others connect to the two that are left. These must go on.
func descriptorsCase(w *world) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < ownFDs {
		return 0, fmt.Errorf("the rig needs %d descriptors and may have %d (%v)", ownFDs, limit.Cur, err)
	}
	handle := func(k *call) bool {
		_, _ = io.Copy(io.Discard, k.req.Body)
		k.began()
		time.Sleep(60 * time.Millisecond)
		k.respond(http.StatusOK, k.sealed(), "done "+k.id)
		return true
	}
	if err := w.addServers("catalogo", 24, 9, []int{0, 1, 2, 3, 4, 5}, handle); err != nil {
		return 0, err
	}
	w.configure(route{"/lepu270/", "idempotent", "catalogo", 1000})
	var err error
	if w.fleet, err = newFleet(w.rec, w.store.addr(), []int{0, 0, 1, 2, 3, 4, 5}, true); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var served, failed, connected atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { newCaller(w, &served, &failed, &connected).run(stop) })
	}
	report := func(d time.Duration) (int64, int64) {
		s, f := served.Load(), failed.Load()
		time.Sleep(d)
		return served.Load() - s, failed.Load() - f
	}
	s, f := report(calmTime)
	w.rec.say("calm: %d served, %d failed, %d callers connected", s, f, connected.Load())
	if w.trouble {
		for _, m := range w.fleet.machines[:len(w.fleet.machines)-survivors] {
			w.rec.note("SIGKILL to the process of %s, which is lost for good", m.name)
			m.kill(true)
		}
	}
	for range int(troubleTime / (5 * time.Second)) {
		s, f = report(5 * time.Second)
		w.rec.say("%d served, %d failed, %d callers connected", s, f, connected.Load())
	}
	close(stop)
	group.Wait()
	ended := 0
	for _, m := range w.fleet.machines {
		w.rec.say("machine %s: %d processes ended by themselves", m.name, m.ends())
		if m.ends() >= 3 {
			ended++
		}
	}
	if ended >= 2 {
		return broken, nil
	}
	return held, nil
}

// caller is a client that keeps one connection.
type caller struct {
	w                         *world
	served, failed, connected *atomic.Int64
	conn                      net.Conn
	reader                    *bufio.Reader
	addrs                     []string
	askedAt                   time.Time
}

func newCaller(w *world, served, failed, connected *atomic.Int64) *caller {
	return &caller{w: w, served: served, failed: failed, connected: connected}
}

func (c *caller) run(stop chan struct{}) {
	wait := time.Duration(rand.Int63n(int64(callerInterval)))
	for {
		select {
		case <-stop:
			c.drop()
			return
		case <-time.After(wait):
		}
		start := time.Now()
		if !c.request() && !c.request() {
			c.failed.Add(1)
		} else {
			c.served.Add(1)
		}
		wait = max(0, callerInterval-time.Since(start))
	}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
		c.connected.Add(-1)
	}
}

// request sends one request on the kept connection, or on a new one.
func (c *caller) request() bool {
	if c.conn == nil && !c.connect() {
		return false
	}
	q := request{id: newID(), method: http.MethodGet, host: host, target: "/lepu270/read", remaining: callerLimit, cookie: fmt.Sprint(rand.Intn(129))}
	_ = c.conn.SetDeadline(time.Now().Add(callerLimit))
	if q.write(c.conn) != nil {
		c.drop()
		return false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.drop()
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.Close {
		c.drop()
	}
	return err == nil && resp.StatusCode == http.StatusOK
}

// connect asks the directory where to connect, as the pages say, and connects.
func (c *caller) connect() bool {
	if time.Since(c.askedAt) > time.Second && !c.ask() {
		return false
	}
	if len(c.addrs) == 0 {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.addrs[rand.Intn(len(c.addrs))], time.Second)
	if err != nil {
		c.askedAt = time.Time{}
		return false
	}
	c.conn, c.reader = conn, bufio.NewReaderSize(conn, 1024)
	c.connected.Add(1)
	return true
}

func (c *caller) ask() bool {
	order := rand.Perm(len(c.w.fleet.machines))
	for _, i := range order[:3] {
		m := c.w.fleet.machines[i]
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s?name=%s&region=%s&zone=%s", m.ip, directoryPort, wire["resolution"], host, m.region, m.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addrs, c.askedAt = answer.Addresses, time.Now()
			return true
		}
	}
	return false
}
