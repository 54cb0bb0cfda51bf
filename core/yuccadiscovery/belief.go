package yuccadiscovery

import (
	"time"

	"yuccawell.example/core/yuccabalancer"
)

// Status is what an entry takes for true, as it shows operators.
type Status struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Routes is the version of the routes in force, zero before any.
	Routes uint64 `json:"routes"`
	// Servers counts the backend servers that are known.
	Servers int `json:"servers"`
	// Age is how long ago the platform last told anything of the servers, in
	// nanoseconds in JSON.
	Age time.Duration `json:"age_ns"`
	// Evacuated are the failure domains that get no new requests.
	Evacuated []string `json:"evacuated"`
	// Entries are the entries that may be sending requests, this one included.
	Entries []string `json:"entries"`
	// Services tell where the requests of each service go.
	Services []yuccabalancer.Status `json:"services"`
}

// Status returns what the keeper holds at the given time. Whoever asks adds the
// rest, readiness included, which does not rest on the keeper alone.
func (k *Aggregator) Status(now time.Time) Status {
	b := Status{Servers: k.ServerCount(), Age: k.DataAge(now)}
	if table := k.table.Load(); table != nil {
		b.Routes = table.Version()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	b.Evacuated, b.Entries = keys(k.evacuated), k.entries
	return b
}
