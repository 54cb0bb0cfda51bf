package main

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"yuccawell.example/core/yuccaadmin"
	"yuccawell.example/core/yuccaadmission"
	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccademand"
	"yuccawell.example/core/yuccafront"
	"yuccawell.example/core/yuccaidempotency"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccalease"
	"yuccawell.example/core/yuccametrics"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccapoison"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// platformCallRate limits the entry's calls to the platform, in calls per second,
// until the Syncer knows how many entries there are and sets the entry's share.
const platformCallRate = 20

// aliveDialTimeout is the longest time that isAlive waits for a connection.
const aliveDialTimeout = 250 * time.Millisecond

// run serves requests until ctx ends. It then drains: it lets the requests in flight
// finish before it returns.
func run(ctx context.Context, cfg settings, log zerolog.Logger) error {
	log = log.With().Str("entry", cfg.Name).Logger()
	platform := yuccastore.NewHTTP(cfg.Store)
	defer platform.Close()
	store := yuccastore.NewRateLimited(platform, platformCallRate)
	incarnation := uint64(time.Now().UnixNano())
	metrics := yuccametrics.New()
	peers := yuccapeer.New(yuccapeer.Settings{
		Name:        cfg.Name,
		Domain:      cfg.Domain,
		Addr:        cfg.Peer,
		Incarnation: incarnation,
		Seeds:       cfg.Seeds,
	}, log)
	syncer := yuccasync.New(yuccasync.Settings{Name: cfg.Name, Region: cfg.Region, Domain: cfg.Domain, Incarnation: incarnation}, store, peers, log)
	picker := yuccaadmission.New(cfg.Name)
	syncer.Subscribe(func(s yuccasync.Snapshot) { picker.Update(s.Plan, s.Rules, s.View) })
	syncer.Subscribe(func(s yuccasync.Snapshot) { peers.Update(s.View.Entries()) })
	slotExchange := yuccaadmission.NewSlotExchange(picker, peers, log)
	elector := yuccalease.New(cfg.Name, incarnation, store, syncer, log)
	demand := yuccademand.New(cfg.Name, peers, memberNames(syncer), elector, picker.InFlight, log)
	burnRates := yuccaburn.New(cfg.Name, peers, memberNames(syncer), log)
	deduplicator := yuccaidempotency.New(yuccaidempotency.Options{
		// Claims decide whether requests may run, so they have their own limit: one write
		// per shard and MinWriteInterval.
		Store:   platform,
		Bus:     peers,
		Self:    cfg.Name,
		Members: memberNames(syncer),
		Log:     log,
		Expiry:  time.Duration(cfg.IdempotencyTTL),
	})
	guard := yuccapoison.New(yuccapoison.Options{Bus: peers, Self: cfg.Name, Members: memberNames(syncer), Alive: isAlive(syncer), Log: log})
	relay := yuccarelay.New(yuccarelay.Options{
		Region:     cfg.Region,
		Picker:     picker,
		Source:     syncer,
		Observer:   observerList{metrics, demand, goalObserver{syncer, burnRates.Windows()}},
		Claims:     deduplicator,
		Quarantine: guard,
		Log:        log,
	})
	defer relay.Close()
	listener := yuccafront.New(yuccafront.Settings{
		Addr:        cfg.Addr,
		LookupTTL:   time.Duration(cfg.LookupTTL),
		DrainDelay:  time.Duration(cfg.DrainTime),
		Full:        picker.HasQueued,
		Concurrency: relay.Concurrency,
	}, syncer, relay.Serve, log)

	pages := map[string]yuccaadmin.Page{
		"/status": statusPage(cfg, syncer, listener, picker),
		"/burn":   func() (any, error) { return yuccaburn.ExportSnapshots(burnRates.Snapshots()) },
	}
	planner := yuccasync.NewPlanner(syncer, store, elector, planFunc(syncer, demand), log)

	kernel := yuccakernel.New(log)
	kernel.Add("admin", yuccaadmin.New(cfg.Admin, metrics.Registry(), readiness(syncer, listener), pages, log))
	kernel.Add("peer", peers)
	kernel.Add("burn", burnRates)
	kernel.Add("demand", demand)
	kernel.Add("pick", slotExchange)
	kernel.Add("claims", deduplicator)
	kernel.Add("feed", syncer)
	kernel.Add("front", listener)
	kernel.Add("lease", elector)
	kernel.Add("plan", planner)
	kernel.Add("leave", newLeaveService(cfg.Name, incarnation, store, syncer, log))
	return kernel.Run(ctx)
}

// isAlive returns a function that reports whether the backend server of a name
// accepts connections.
func isAlive(syncer *yuccasync.Syncer) func(string) bool {
	return yuccapoison.DialCheck(func(server string) string {
		for _, s := range syncer.Snapshot().View.Servers() {
			if s.Name == server {
				return s.Addr
			}
		}
		return ""
	}, aliveDialTimeout)
}

// planFunc returns the function that makes the next plan from the entry's
// snapshot and from the demand and the acknowledgements that all entries report.
func planFunc(syncer *yuccasync.Syncer, demand *yuccademand.Collector) yuccasync.PlanFunc {
	return func(now time.Time, s yuccasync.Snapshot, epoch uint64, last yuccaplan.Plan) yuccaplan.Plan {
		return yuccaplan.Make(yuccaplan.Input{
			Now:          now,
			Rules:        s.Rules,
			RulesVersion: s.Document.Version,
			Epoch:        epoch,
			View:         s.View,
			Last:         last,
			Demands:      demand.Demands(now),
			Acks:         planAcks(syncer),
		})
	}
}

// planAcks returns the version of the plan that each known entry uses, with the
// age of the report. Entries without a plan are left out.
func planAcks(syncer *yuccasync.Syncer) []yuccaplan.Ack {
	var acks []yuccaplan.Ack
	for _, r := range syncer.Reports(context.Background()) {
		if r.Plan > 0 {
			acks = append(acks, yuccaplan.Ack{Entry: r.Name, Version: r.Plan, Age: time.Duration(r.Age * float64(time.Second))})
		}
	}
	return acks
}

// readiness returns the probe for /ready. The entry is ready when it has rules and
// is not leaving.
func readiness(syncer *yuccasync.Syncer, listener *yuccafront.Listener) yuccaadmin.Probe {
	return func() (bool, string) {
		switch {
		case listener.Leaving():
			return false, "leaving"
		case !syncer.Snapshot().Ready():
			return false, "no rules yet: neither the platform nor a peer has given any"
		}
		return true, ""
	}
}

// statusPage returns the page served at /status.
func statusPage(cfg settings, syncer *yuccasync.Syncer, listener *yuccafront.Listener, picker *yuccaadmission.Picker) yuccaadmin.Page {
	return func() (any, error) {
		s := syncer.Snapshot()
		return yuccasync.Status{
			Name:      cfg.Name,
			Region:    cfg.Region,
			Domain:    cfg.Domain,
			Ready:     s.Ready() && !listener.Leaving(),
			Leaving:   listener.Leaving(),
			Rules:     s.Document.Version,
			Plan:      s.Plan.Version,
			Epoch:     s.Plan.Epoch,
			PlannedAt: s.Plan.CreatedAt,
			Ramps:     s.Plan.Ramps,
			Entries:   len(s.View.Entries()),
			Servers:   len(s.View.Servers()),
			Use:       yuccasync.BudgetUsageOf(s.Plan, cfg.Name, picker.InFlight),
			All:       syncer.Reports(context.Background()),
		}, nil
	}
}
