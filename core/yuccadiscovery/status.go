package yuccadiscovery

import (
	"time"

	"yuccawell.example/core/yuccabalancer"
)

// Status is an entry's view of the system as it reports it to operators.
type Status struct {
	// Name is the name of the entry.
	Name string `json:"name"`
	// Region is the region that the entry runs in.
	Region string `json:"region"`
	// Domain is the failure domain that the entry runs in.
	Domain string `json:"domain"`
	// Ready reports whether the entry is ready to serve requests.
	Ready bool `json:"ready"`
	// Leaving reports whether the entry is draining.
	Leaving bool `json:"leaving"`
	// Routes is the version of the routes in force. Zero means no routes.
	Routes uint64 `json:"routes"`
	// Off lists the mechanisms that are switched off, sorted.
	Off []string `json:"off"`
	// Servers is the number of known backend servers, draining ones included.
	Servers int `json:"servers"`
	// Age is the time since the last update of the backend servers from the
	// platform. In JSON it is in nanoseconds.
	Age time.Duration `json:"age_ns"`
	// Evacuated lists the failure domains that get no new requests, sorted.
	Evacuated []string `json:"evacuated"`
	// Entries lists the entries that may be sending requests, this one included.
	Entries []string `json:"entries"`
	// Services holds the load balancing status of each service.
	Services []yuccabalancer.Status `json:"services"`
}

// Status returns the aggregator's part of the status at the given time: Routes,
// Servers, Age, Evacuated and Entries. The caller fills in the rest. Readiness is
// among it, since it depends on more than the aggregator.
func (k *Aggregator) Status(now time.Time) Status {
	status := Status{Servers: k.ServerCount(), Age: k.DataAge(now)}
	if routes := k.routes.Load(); routes != nil {
		status.Routes = routes.Version()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	status.Evacuated, status.Entries = sortedKeys(k.evacuated), k.entries
	return status
}
