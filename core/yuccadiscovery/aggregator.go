package yuccadiscovery

import (
	"context"
	"maps"
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

// tickInterval is how often the aggregator checks for changes that no event
// reports: the end of a grace period and changes in the list of entries.
const tickInterval = 100 * time.Millisecond

// Aggregator combines the backend servers, the evacuated failure domains, the
// routes and the list of entries into one topology. It passes the topology to the
// load balancer whenever it changes. Create one with NewAggregator.
type Aggregator struct {
	*yuccakernel.Worker

	servers     *ServerSet
	evacuations *EvacuationSet
	// names tells which entries may be sending requests.
	names EntryNames
	// onChange receives each new topology. It is called with mu held.
	onChange func(yuccabalancer.Topology)
	log      zerolog.Logger
	// onConfig receives the table of each config that comes into force, nil for none. It
	// is called with mu held.
	onConfig func(*yuccaroute.Table)
	// configuring is held while a config is put in force. It is acquired before mu.
	configuring sync.Mutex
	// routes is the table of the routes in force, nil before the first.
	routes atomic.Pointer[yuccaroute.Table]

	// mu guards servers, evacuations and the fields below.
	mu sync.Mutex
	// evacuated holds the failure domains that get no new requests.
	evacuated map[string]bool
	// entries and large are the last results of names.
	entries, large []string
	// applied are the servers in the last topology, and appliedVersion their version.
	applied        []yuccabalancer.Server
	appliedVersion uint64
	// dirty is set when something other than servers has changed since the last
	// topology.
	dirty bool
	// lastUpdate is when the last event other than Unreachable arrived.
	lastUpdate time.Time
}

// EntryNames tells which entries there are.
type EntryNames interface {
	// Names returns the names of all entries that may be sending requests.
	Names() []string
	// LargeNames returns the names of the listed ones that callers mostly use, all listed
	// ones if that is not known.
	LargeNames() []string
}

// NewAggregator returns an aggregator that passes each new topology to onChange.
func NewAggregator(servers *ServerSet, evacuations *EvacuationSet, names EntryNames, onChange func(yuccabalancer.Topology), log zerolog.Logger) *Aggregator {
	k := &Aggregator{servers: servers, evacuations: evacuations, names: names, onChange: onChange, log: log}
	k.Worker = yuccakernel.NewWorker(k.run)
	return k
}

// Routes returns the routes in force. It returns nil until the first Configure
// succeeds.
func (k *Aggregator) Routes() *yuccaroute.Table { return k.routes.Load() }

// Ready reports whether the entry has routes and a first list of backend servers.
func (k *Aggregator) Ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.routes.Load() != nil && k.servers.Listed()
}

// ServerCount returns the number of known backend servers, draining ones included.
func (k *Aggregator) ServerCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.servers.Servers())
}

// DataAge returns the time since the last update of the backend servers from the
// platform. It returns zero before the first.
func (k *Aggregator) DataAge(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lastUpdate.IsZero() {
		return 0
	}
	return now.Sub(k.lastUpdate)
}

// UpdateServers applies an event about backend servers.
func (k *Aggregator) UpdateServers(event yuccawatch.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, unreachable := event.(yuccawatch.Unreachable); !unreachable {
		k.lastUpdate = time.Now()
	}
	k.servers.Update(event)
	k.apply()
}

// UpdateEvacuations applies an event about evacuated failure domains.
func (k *Aggregator) UpdateEvacuations(event yuccawatch.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evacuations.Update(event)
	k.applyEvacuations()
	k.apply()
}

// applyEvacuations takes the evacuated failure domains over if they have changed. The
// caller holds mu.
func (k *Aggregator) applyEvacuations() {
	domains := k.evacuations.Domains()
	if maps.Equal(domains, k.evacuated) {
		return
	}
	k.evacuated, k.dirty = domains, true
	k.log.Info().Strs("domains", sortedKeys(domains)).Msg("evacuation_changed")
}

func sortedKeys(m map[string]bool) []string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Configure puts the routes of c in force. It ignores a version that is not newer
// than the one in force and returns an error for an invalid config.
func (k *Aggregator) Configure(c yuccaroute.Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	k.configuring.Lock()
	defer k.configuring.Unlock()
	current := k.routes.Load()
	if current != nil && current.Version() >= c.Version {
		return nil
	}
	// A table with many accounts takes long to build, during which mu stays free.
	table := yuccaroute.NewAfter(current, c)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.routes.Store(table)
	k.dirty = true
	k.log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("accounts", len(c.Accounts)).Msg("routes_in_force")
	if k.onConfig != nil {
		k.onConfig(table)
	}
	k.apply()
	return nil
}

// OnConfig sets a function that receives the table of each config that comes into force.
// Call it before Start.
func (k *Aggregator) OnConfig(f func(*yuccaroute.Table)) { k.onConfig = f }

// apply passes the topology to onChange if it has changed and routes are in force.
// The caller holds mu.
func (k *Aggregator) apply() {
	names, large := k.names.Names(), k.names.LargeNames()
	if !slices.Equal(names, k.entries) || !slices.Equal(large, k.large) {
		k.entries, k.large, k.dirty = names, large, true
	}
	routes := k.routes.Load()
	if routes == nil || !k.dirty && k.appliedVersion == k.servers.Version() {
		return
	}
	if version := k.servers.Version(); k.applied == nil || k.appliedVersion != version {
		k.applied, k.appliedVersion = k.servers.Servers(), version
	}
	k.dirty = false
	slowStartRates := map[string]float64{}
	for _, s := range k.applied {
		if service, ok := routes.Service(s.Service); ok {
			slowStartRates[s.Service] = service.SlowStartRate
		}
	}
	k.log.Info().Int("servers", len(k.applied)).Int("entries", len(names)).Int("large", len(large)).Uint64("routes", routes.Version()).Msg("topology_changed")
	k.onChange(yuccabalancer.Topology{Servers: k.applied, Version: k.appliedVersion, Evacuated: k.evacuated, SlowStartRates: slowStartRates, Entries: names, Large: large})
}

func (k *Aggregator) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			k.mu.Lock()
			k.servers.Tick(now)
			k.evacuations.Tick(now)
			k.applyEvacuations()
			k.apply()
			k.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
