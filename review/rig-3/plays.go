package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// clientTimeout is the time limit of the clients.
	clientTimeout = 1200 * time.Millisecond
	// crashInterval is the pause between two retries of the request that crashes servers.
	crashInterval = 750 * time.Millisecond
	// otherInterval is the pause between two other requests.
	otherInterval = 50 * time.Millisecond
	// sameInterval is the pause between two requests of other callers that are the same.
	sameInterval = 20 * time.Millisecond
	// rollGap is the pause after the restart of a machine.
	rollGap = 9500 * time.Millisecond
	// firstCrashes is how long the request comes before anything else happens.
	firstCrashes = 8 * time.Second
)

// play is a case. With trouble the disruption happens. With alone, no other caller sends the
// request that crashes servers.
type play func(r *rig, trouble, alone bool)

// plays are the cases by name.
var plays = map[string]play{"restarts": playRestarts, "callers": playCallers, "midway": playMidway, "pipeline": playPipeline}

// setCrashes sets which requests crash the servers that run them.
func (r *rig) setCrashes(crashes func(*http.Request) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = crashes
}

// otherPath returns the path of a request that crashes nothing.
func otherPath() string { return fmt.Sprintf("%s%d", quietPath, rand.IntN(100)) }

// playRestarts lets a client repeat a request that crashes servers. The trouble is that all
// machines are then stopped and started in turn.
func playRestarts(r *rig, trouble, _ bool) {
	r.setCrashes(func(q *http.Request) bool { return q.URL.Path == poisonPath })
	r.repeat(otherInterval, func() request { return request{method: "GET", path: otherPath(), timeout: clientTimeout} })
	r.repeat(crashInterval, func() request {
		return request{method: "GET", path: poisonPath, timeout: clientTimeout, label: "client"}
	})
	r.sleep(firstCrashes)
	for _, e := range r.entries {
		if trouble {
			e.stop()
			if err := e.start(); err != nil {
				r.record("machine %s does not start: %v", e.name, err)
			}
		}
		r.sleep(rollGap)
	}
	r.sleep(crashInterval)
}

// playCallers lets a tenant repeat a request that crashes servers, the trouble, while other
// tenants send the same method, path and body, which crash nothing.
func playCallers(r *rig, trouble, alone bool) {
	r.setCrashes(func(q *http.Request) bool {
		return trouble && q.URL.Path == poisonPath && q.Header.Get(field("Tenant-Name")) == tenantNames[0]
	})
	r.repeat(sameInterval, func() request {
		q := request{method: "POST", path: poisonPath, key: keyOf(tenantNames[1+rand.IntN(len(tenantNames)-1)]), timeout: clientTimeout}
		if alone {
			q.path = otherPath()
		}
		return q
	})
	r.repeat(crashInterval, func() request {
		return request{method: "POST", path: poisonPath, key: keyOf(tenantNames[0]), timeout: clientTimeout, label: tenantNames[0]}
	})
	r.sleep(30 * time.Second)
}

// playMidway lets a client repeat a download that crashes servers, the trouble, after they
// have sent a part of the answer.
func playMidway(r *rig, trouble, _ bool) {
	r.setCrashes(func(q *http.Request) bool { return trouble && q.URL.Path == poisonPath })
	r.repeat(otherInterval, func() request { return request{method: "GET", path: otherPath(), timeout: clientTimeout} })
	r.repeat(crashInterval, func() request {
		return request{method: "GET", path: poisonPath, timeout: clientTimeout, label: "client"}
	})
	r.sleep(25 * time.Second)
}
