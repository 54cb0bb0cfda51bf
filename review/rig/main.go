// Command rig runs the cases of the review. It starts entries (the project's own program)
// as separate processes on loopback addresses, with stand-ins for the platform's store, the
// backend servers and the clients that are written here.
//
//	rig CASE RECORD
//
// RECORD is the file for what was sent, answered and run. The environment variable TROUBLE
// switches the disruption off if it is 0. The exit code is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	held       = 0
	broken     = 1
	couldNot   = 2
	totalLimit = 115 * time.Second
)

// requestGroup holds the goroutines of clients.
var requestGroup sync.WaitGroup

// world is what a case works with.
type world struct {
	rec     *recorder
	trouble bool
	store   *store
	log     *runLog
	servers []*server
	fleet   *fleet
}

var cases = map[string]func(w *world) (int, error){
	"upload":      uploadCase,
	"tunnel":      tunnelCase,
	"poison":      poisonCase,
	"descriptors": descriptorsCase,
	"directory":   directoryCase,
	"forged":      forgedCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0", log: &runLog{}}
	defer w.close()
	watchdog(w)
	if w.store, err = newStore(); err != nil {
		rec.say("no store: %v", err)
		return couldNot
	}
	rec.note("case %s, trouble %v", name, w.trouble)
	code, err := cases[name](w)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return couldNot
	}
	rec.say("exit %d", code)
	return code
}

// watchdog ends the entries when the rig is stopped or takes too long.
func watchdog(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	requestWatch.Go(func() {
		select {
		case <-signals:
		case <-time.After(totalLimit):
			w.rec.say("time is up")
		case <-watchEnd:
			return
		}
		if w.fleet != nil {
			for _, m := range w.fleet.machines {
				m.kill(true)
			}
		}
		os.Exit(couldNot)
	})
}

var (
	requestWatch sync.WaitGroup
	watchEnd     = make(chan struct{})
)

func (w *world) close() {
	if w.fleet != nil {
		w.fleet.close()
	}
	for _, s := range w.servers {
		s.close()
	}
	if w.store != nil {
		w.store.close()
	}
	close(watchEnd)
	requestWatch.Wait()
}

// addServers starts n servers of a service, spread over the given zones.
func (w *world) addServers(service string, n, slots int, inZones []int, handle func(c *call) bool) error {
	for i := range n {
		s := &server{rec: w.rec, log: w.log, store: w.store, service: service, zone: zones[inZones[i%len(inZones)]][0], id: fmt.Sprintf("i-%s-%d", service, i+1), slots: slots, handle: handle}
		if err := s.start(); err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	return nil
}

// route is a route of the config.
type route struct {
	prefix, kind, service string
	timeoutMS             int
}

// configure writes the config. Every route belongs to host.
func (w *world) configure(routes ...route) {
	type table map[string]any
	var resources []table
	services := map[string]bool{}
	for i, r := range routes {
		resources = append(resources, table{"resource_kind": "routes", "metadata": table{"name": fmt.Sprintf("r-%d", i+1)}, "spec": table{
			"host": host, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": 600, "priority": 1,
			"service": r.service, "max_attempts": 2, "affinity": true, "home_regions": []string{},
		}})
		services[r.service] = true
	}
	for name := range services {
		resources = append(resources, table{"resource_kind": "services", "metadata": table{"name": name}, "spec": table{
			"health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false, "cold_s": 3.0, "cold_per_s": 19.0,
		}})
	}
	resources = append(resources, table{"resource_kind": "limits", "metadata": table{}, "spec": table{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	w.store.put("config", "main", table{"version": "r7", "resources": resources})
}

// host is the host name of all routes.
const host = "jepu9.example"
