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
	"yuccawell.example/core/yuccameter"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccapoison"
	"yuccawell.example/core/yuccarelay"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccasync"
)

// firstRate is how many calls a second the entry makes to the platform until it
// knows how many entries there are.
const firstRate = 20

// probeTimeout bounds the question whether a server died.
const probeTimeout = 250 * time.Millisecond

// run serves until ctx ends and then stops without cutting a request.
func run(ctx context.Context, set settings, log zerolog.Logger) error {
	log = log.With().Str("entry", set.Name).Logger()
	platform := yuccastore.NewHTTP(set.Store)
	defer platform.Close()
	store := yuccastore.NewRateLimited(platform, firstRate)
	start := uint64(time.Now().UnixNano())
	meter := yuccameter.New()
	peers := yuccapeer.New(yuccapeer.Settings{
		Name:        set.Name,
		Domain:      set.Domain,
		Addr:        set.Peer,
		Incarnation: start,
		Seeds:       set.Seeds,
	}, log)
	feed := yuccasync.New(yuccasync.Settings{Name: set.Name, Region: set.Region, Domain: set.Domain, Incarnation: start}, store, peers, log)
	picker := yuccaadmission.New(set.Name)
	feed.Subscribe(func(s yuccasync.Snapshot) { picker.Update(s.Plan, s.Rules, s.View) })
	feed.Subscribe(func(s yuccasync.Snapshot) { peers.Update(s.View.Entries()) })
	sharer := yuccaadmission.NewSlotExchange(picker, peers)
	keeper := yuccalease.New(set.Name, start, store, feed, log)
	demand := yuccademand.New(set.Name, peers, members(feed), keeper, picker.InFlight, log)
	burn := yuccaburn.New(set.Name, peers, members(feed), log)
	claims := yuccaidempotency.New(yuccaidempotency.Options{
		Store:   platform,
		Bus:     peers,
		Self:    set.Name,
		Members: members(feed),
		Log:     log,
		Expiry:  time.Duration(set.IdempotencyTTL),
	})
	poison := yuccapoison.New(yuccapoison.Options{Bus: peers, Self: set.Name, Members: members(feed), Alive: alive(feed), Log: log})
	relay := yuccarelay.New(yuccarelay.Options{
		Region:     set.Region,
		Picker:     picker,
		Source:     feed,
		Observer:   observers{meter, demand, goals{feed, burn.Windows()}},
		Claims:     claims,
		Quarantine: poison,
		Log:        log,
	})
	defer relay.Close()
	front := yuccafront.New(yuccafront.Settings{
		Addr:       set.Addr,
		TTL:        time.Duration(set.LookupTTL),
		DrainDelay: time.Duration(set.DrainTime),
		Full:       picker.Full,
	}, feed, relay.Serve, log)

	pages := map[string]yuccaadmin.Page{
		"/status": status(set, feed, front, picker),
		"/burn":   func() (any, error) { return yuccaburn.ExportSnapshots(burn.Snapshots()) },
	}
	planner := yuccasync.NewPlanner(feed, store, keeper, plannerInput(feed, demand), log)

	kernel := yuccakernel.New(log)
	kernel.Add("admin", yuccaadmin.New(set.Admin, meter.Registry(), probe(feed, front), pages))
	kernel.Add("peer", peers)
	kernel.Add("burn", burn)
	kernel.Add("demand", demand)
	kernel.Add("pick", sharer)
	kernel.Add("claims", claims)
	kernel.Add("feed", feed)
	kernel.Add("front", front)
	kernel.Add("lease", keeper)
	kernel.Add("plan", planner)
	kernel.Add("leave", newLeave(set.Name, start, store, feed, log))
	return kernel.Run(ctx)
}

// alive asks a backend server for a connection.
func alive(feed *yuccasync.Syncer) func(string) bool {
	return yuccapoison.DialCheck(func(server string) string {
		for _, s := range feed.Snapshot().View.Servers() {
			if s.Name == server {
				return s.Addr
			}
		}
		return ""
	}, probeTimeout)
}

// plannerInput returns the planner's decision from what the entry knows and
// from what all entries report.
func plannerInput(feed *yuccasync.Syncer, demand *yuccademand.Collector) yuccasync.PlanFunc {
	return func(now time.Time, s yuccasync.Snapshot, epoch uint64, last yuccaplan.Plan) yuccaplan.Plan {
		return yuccaplan.Make(yuccaplan.Input{
			Now:     now,
			Rules:   s.Rules,
			Version: s.Document.Version,
			Epoch:   epoch,
			View:    s.View,
			Last:    last,
			Load:    demand.Demands(now),
			Acks:    acks(feed),
		})
	}
}

// acks returns which plan each entry that was heard of has in force.
func acks(feed *yuccasync.Syncer) []yuccaplan.Ack {
	var all []yuccaplan.Ack
	for _, r := range feed.Reports(context.Background()) {
		if r.Plan > 0 {
			all = append(all, yuccaplan.Ack{Entry: r.Name, Version: r.Plan, Age: time.Duration(r.Age * float64(time.Second))})
		}
	}
	return all
}

func probe(feed *yuccasync.Syncer, front *yuccafront.Listener) yuccaadmin.Probe {
	return func() (bool, string) {
		switch {
		case front.Leaving():
			return false, "leaving"
		case !feed.Snapshot().Ready():
			return false, "no rules yet: neither the platform nor a peer has given any"
		}
		return true, ""
	}
}

// status returns what /status shows.
func status(set settings, feed *yuccasync.Syncer, front *yuccafront.Listener, picker *yuccaadmission.Picker) yuccaadmin.Page {
	return func() (any, error) {
		s := feed.Snapshot()
		return yuccasync.Status{
			Name:    set.Name,
			Region:  set.Region,
			Domain:  set.Domain,
			Ready:   s.Ready() && !front.Leaving(),
			Leaving: front.Leaving(),
			Rules:   s.Document.Version,
			Plan:    s.Plan.Version,
			Epoch:   s.Plan.Epoch,
			Made:    s.Plan.Made,
			Ramps:   s.Plan.Ramps,
			Entries: len(s.View.Entries()),
			Servers: len(s.View.Servers()),
			Use:     yuccasync.BudgetUsageOf(s.Plan, set.Name, picker.InFlight),
			All:     feed.Reports(context.Background()),
		}, nil
	}
}
