package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// background holds the goroutines that outlive a function.
var background sync.WaitGroup

// readyTimeout bounds the start of an entry.
const readyTimeout = 15 * time.Second

// coldTime is cold_s.
const coldTime = 3 * time.Second

// settleTime is the time between the start of the entries and that of the traffic.
const settleTime = 4 * time.Second

// route is a route of the operator's config.
type route struct {
	name, prefix, kind, service string
	timeoutMS                   int
	maxAttempts                 int
	affinity                    bool
	// homes are the home regions, none for any region.
	homes []string
}

// world is a small deployment: a store, backend servers and entries.
type world struct {
	root, dir string
	rec       *record
	store     *store
	backends  []*backend
	entries   []*entry
}

func newWorld(root string, rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, rec: rec, store: s}, nil
}

// addBackend starts a backend server and registers it.
func (w *world) addBackend(id, service, zone string, slots int, work func(run) answer) (*backend, error) {
	b, err := newBackend(id, w.rec, work)
	if err != nil {
		return nil, err
	}
	w.backends = append(w.backends, b)
	w.register(b, service, zone, slots)
	return b, nil
}

// register writes the registration of a backend server that has just started.
func (w *world) register(b *backend, service, zone string, slots int) {
	b.service, b.zone, b.slots = service, zone, slots
	w.writeRegistration(b, 0)
}

// registerAgain writes the registration of a backend server that has started again during
// traffic, and is cold.
func (w *world) registerAgain(b *backend) { w.writeRegistration(b, coldTime) }

func (w *world) writeRegistration(b *backend, coldLeft time.Duration) {
	w.store.put("servers", b.id, map[string]any{
		"service": b.service, "address": b.addr, "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": "ready", "cold_left_ms": coldLeft.Milliseconds(), "seq": 1, "born": time.Now().UnixMilli(),
	})
}

// configure writes a version of the config.
func (w *world) configure(version int, routes ...route) {
	var resources []any
	services := map[string]bool{}
	for _, r := range routes {
		resources = append(resources, map[string]any{
			"resource_kind": "routes", "metadata": map[string]any{"name": r.name},
			"spec": map[string]any{
				"host": host, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": 500,
				"priority": 1, "service": r.service, "max_attempts": r.maxAttempts, "affinity": r.affinity, "home_regions": append([]string{}, r.homes...),
			},
		})
		services[r.service] = true
	}
	for name := range services {
		resources = append(resources, map[string]any{
			"resource_kind": "services", "metadata": map[string]any{"name": name},
			"spec": map[string]any{"health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 19.0},
		})
	}
	resources = append(resources, map[string]any{
		"resource_kind": "limits", "metadata": map[string]any{},
		"spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.store.put("config", "main", map[string]any{"version": fmt.Sprint("r", version), "resources": resources})
}

// host is the host name of all routes.
const host = "jepu9.example"

// addEntry starts an entry and waits until it is ready.
func (w *world) addEntry(name, zone string) (*entry, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/256%250, pid%256, 1+len(w.entries))
	e, err := startEntry(w.root, w.dir, name, ip, zone, w.store.addr())
	if err != nil {
		return nil, err
	}
	w.entries = append(w.entries, e)
	return e, e.waitReady(readyTimeout)
}

// addRawBackend starts a backend server whose connections are served by a function.
func (w *world) addRawBackend(id string, serve func(net.Conn)) (*backend, error) {
	b := &backend{id: id, rec: w.rec, addr: "127.0.0.1:0", raw: serve}
	if err := b.start(); err != nil {
		return nil, err
	}
	w.backends = append(w.backends, b)
	return b, nil
}

// addEntries starts entries in different zones and waits until they have been ready for
// long enough to know one another.
func (w *world) addEntries(n int) error {
	for i := range n {
		if _, err := w.addEntry(fmt.Sprint("edge-", i+1), zoneOf(i)); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// restart stops an entry as the platform does and starts it again.
func (w *world) restart(e *entry) error {
	w.rec.add("SIGTERM to %s", e.name)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(graceTime):
		w.rec.add("%s is killed", e.name)
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		<-e.exited
	}
	if err := e.start(w.root); err != nil {
		return err
	}
	w.rec.add("%s starts again", e.name)
	return e.waitReady(readyTimeout)
}

// killEntries ends the processes of the entries.
func (w *world) killEntries() {
	for _, e := range w.entries {
		e.kill()
	}
}

// close ends everything that the world has started.
func (w *world) close() {
	w.killEntries()
	for _, b := range w.backends {
		b.crash()
	}
	w.store.close()
	for _, b := range w.backends {
		b.group.Wait()
	}
	background.Wait()
	_ = os.RemoveAll(w.dir)
}
