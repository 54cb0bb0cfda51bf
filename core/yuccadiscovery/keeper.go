package yuccadiscovery

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccaroute"
	"yuccawell.example/core/yuccawatch"
)

// tickInterval is how often the keeper looks at what time alone changes.
const tickInterval = 100 * time.Millisecond

// Aggregator holds what choices rest on and hands it on when it changes. Make one
// with NewAggregator.
type Aggregator struct {
	*yuccakernel.Worker

	fleet *ServerSet
	// names returns the entries that may be sending requests.
	names func() []string
	place func(yuccabalancer.Topology)
	log   zerolog.Logger
	table atomic.Pointer[yuccaroute.Table]

	mu        sync.Mutex
	evacuated map[string]bool
	entries   []string
	applied   uint64
	dirty     bool
	heard     time.Time
}

// NewAggregator returns a keeper that hands each new world to place.
func NewAggregator(fleet *ServerSet, names func() []string, place func(yuccabalancer.Topology), log zerolog.Logger) *Aggregator {
	k := &Aggregator{fleet: fleet, names: names, place: place, log: log}
	k.Worker = yuccakernel.NewWorker(k.run)
	return k
}

// Routes returns the routes in force, nil before any are known.
func (k *Aggregator) Routes() *yuccaroute.Table { return k.table.Load() }

// Ready reports whether the entry knows enough to serve.
func (k *Aggregator) Ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Load() != nil && k.fleet.Listed()
}

// ServerCount returns how many servers are known.
func (k *Aggregator) ServerCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.fleet.Servers())
}

// DataAge returns how long ago the platform last told anything of the servers, and
// zero before it did.
func (k *Aggregator) DataAge(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.heard.IsZero() {
		return 0
	}
	return now.Sub(k.heard)
}

// UpdateServers takes what became known of backend servers.
func (k *Aggregator) UpdateServers(m yuccawatch.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, lost := m.(yuccawatch.Unreachable); !lost {
		k.heard = time.Now()
	}
	k.fleet.Update(m)
	k.apply()
}

// Evacuate takes the failure domains that get no new requests.
func (k *Aggregator) Evacuate(domains map[string]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(domains) == len(k.evacuated) && !slices.ContainsFunc(keys(domains), func(d string) bool { return !k.evacuated[d] }) {
		return
	}
	k.evacuated = domains
	k.dirty = true
	k.log.Info().Strs("domains", keys(domains)).Msg("evacuation_changed")
	k.apply()
}

func keys(m map[string]bool) []string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Configure puts routes in force unless they are faulty or not newer than those
// in force.
func (k *Aggregator) Configure(c yuccaroute.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.table.Load(); now != nil && now.Version() >= c.Version {
		return nil
	}
	k.table.Store(yuccaroute.New(c))
	k.dirty = true
	k.log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Msg("routes_in_force")
	k.apply()
	return nil
}

// apply hands the world on when it has changed. The caller holds mu.
func (k *Aggregator) apply() {
	names := k.names()
	if !slices.Equal(names, k.entries) {
		k.entries, k.dirty = names, true
	}
	table := k.table.Load()
	if table == nil || !k.dirty && k.applied == k.fleet.Version() {
		return
	}
	k.dirty, k.applied = false, k.fleet.Version()
	servers := k.fleet.Servers()
	rates := map[string]float64{}
	for _, s := range servers {
		if service, ok := table.Service(s.Service); ok {
			rates[s.Service] = service.ColdRate
		}
	}
	k.log.Info().Int("servers", len(servers)).Int("entries", len(names)).Uint64("routes", table.Version()).Msg("world_changed")
	k.place(yuccabalancer.Topology{Servers: servers, Evacuated: k.evacuated, SlowStartRates: rates, Entries: names})
}

func (k *Aggregator) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			k.mu.Lock()
			k.fleet.Tick(now)
			k.apply()
			k.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
