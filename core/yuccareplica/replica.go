// Package yuccareplica lets a few entries read the platform's objects for all of
// them. An entry is a proxy instance of the system.
//
// In each failure domain one entry, the reader, calls the platform and passes the
// changes on to the others of the domain. Every heartbeat of an entry announces the
// sequence number of the last change that it knows under each prefix, so that an
// entry that misses a change notices within a heartbeat and fetches it from one
// that has it. This also serves entries that cannot reach the platform. An entry
// calls the platform itself until another one is in settled contact with it, and
// again as soon as none is.
//
// Replica is the service around the decisions, which have no clock and do no I/O:
// replicaCopy holds the objects under a prefix, contact tracks whether the platform
// responds, and fleet decides who calls and who fetches. Sequence numbers never go
// back in one run of an entry, whichever way changes arrive.
//
//	replica := yuccareplica.New(name, domain, peers, liveNames, log)
//	watcher := replica.Watch(yuccawatch.Settings{Prefix: "servers/"}, store, handle)
package yuccareplica

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccastore"
	"yuccawell.example/core/yuccawatch"
)

const (
	// topicChanges is the topic on which readers pass on changes.
	topicChanges = "replica.changes"
	// topicFetch is the topic of calls for missing changes.
	topicFetch = "replica.fetch"
	// fetchTimeout bounds a call for missing changes.
	fetchTimeout = 500 * time.Millisecond
	// firstListDelay is how long an entry that starts waits for the platform before it
	// asks others for the first lists.
	firstListDelay = time.Second
	// tickInterval is the time between two decisions.
	tickInterval = 100 * time.Millisecond
)

// Bus is the part of the message bus between entries that a Replica needs.
type Bus interface {
	// Handle registers the handler of the messages on a topic.
	Handle(topic string, h yuccapeer.Handler)
	// PublishToDomain sends a message to the entries of the same failure domain.
	PublishToDomain(topic string, body []byte)
	// Call sends a message to one entry and waits for its reply.
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// Replica shares the platform's objects among the entries. It is a service and the
// gate of its watchers. Create one with New.
type Replica struct {
	*yuccakernel.Worker

	bus Bus
	// live returns the names of the other live entries of the failure domain.
	live func() []string
	log  zerolog.Logger
	// startedAt is when the replica was created.
	startedAt time.Time
	// watched holds the prefixes, sorted. It does not change after Start.
	watched []*watched

	// mu guards the fields below and the copies.
	mu      sync.Mutex
	fleet   *fleet
	contact contact
	// near are the other live entries of the failure domain.
	near []string
	// calling is set while this entry calls the platform itself.
	calling bool
	// open is closed while calling is set.
	open chan struct{}
}

// watched is a prefix with its watcher and its copy.
type watched struct {
	prefix string
	// durable is Settings.Durable of the watcher.
	durable bool
	watcher *yuccawatch.Watcher
	copy    *replicaCopy
}

// New returns the replica of the named entry. The function live returns the names
// of the other live entries of the same failure domain.
func New(name, domain string, bus Bus, live func() []string, log zerolog.Logger) *Replica {
	r := &Replica{bus: bus, live: live, log: log, startedAt: time.Now(), fleet: newFleet(name, domain), calling: true, open: make(chan struct{})}
	close(r.open)
	r.Worker = yuccakernel.NewWorker(r.run)
	bus.Handle(topicChanges, r.handleChanges)
	bus.Handle(topicFetch, r.handleFetch)
	return r
}

// Watch returns a watcher that reports its events to handle and takes part in the
// sharing. All entries watch the same prefixes. Call it before Start.
func (r *Replica) Watch(settings yuccawatch.Settings, store yuccawatch.Lister, handle func(yuccawatch.Event)) *yuccawatch.Watcher {
	w := &watched{prefix: settings.Prefix, durable: settings.Durable, copy: newCopy()}
	settings.Gate = r
	w.watcher = yuccawatch.New(settings, store, func(event yuccawatch.Event) {
		r.record(w, event)
		handle(event)
	}, r.log)
	r.watched = append(r.watched, w)
	slices.SortFunc(r.watched, func(a, b *watched) int { return strings.Compare(a.prefix, b.prefix) })
	return w.watcher
}

// Wait implements yuccawatch.Gate. It returns when this entry calls the platform
// itself.
func (r *Replica) Wait(ctx context.Context) bool {
	r.mu.Lock()
	open, calling := r.open, r.calling
	r.mu.Unlock()
	if calling {
		return false
	}
	select {
	case <-open:
	case <-ctx.Done():
	}
	return true
}

// Calling reports whether this entry calls the platform itself.
func (r *Replica) Calling() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calling
}

// Announcement returns what this entry tells the others in its next heartbeat.
func (r *Replica) Announcement() Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := Announcement{Contact: r.contactDuration(time.Now())}
	for _, w := range r.watched {
		a.Changed = append(a.Changed, w.copy.changed)
	}
	return a
}

// RespondedSince reports whether this entry is in contact with the platform itself and has
// had a response of it later than t.
func (r *Replica) RespondedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contact.respondedSince(time.Now(), t)
}

// Observe records the announcement in a heartbeat of another entry.
func (r *Replica) Observe(from string, a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.observe(time.Now(), from, a)
}

// contactDuration returns how long this entry has been in contact with the platform,
// zero while it leaves the calls to others. The caller holds mu.
func (r *Replica) contactDuration(now time.Time) time.Duration {
	if !r.calling {
		return 0
	}
	return r.contact.duration(now)
}

// record applies an event of a watcher to its copy. A settled reader passes changes
// on to its failure domain, any reader those of durable objects.
func (r *Replica) record(w *watched, event yuccawatch.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	after := w.copy.vouchedFrom()
	switch event := event.(type) {
	case yuccawatch.Listed:
		w.copy.replace(event.Page)
		if event.Offered {
			return
		}
		r.contact.responded(now)
	case yuccawatch.Changed:
		w.copy.merge(event.Page)
		if event.Offered {
			return
		}
		r.contact.responded(now)
	case yuccawatch.Unchanged:
		w.copy.advance(event.Seq)
		r.contact.responded(now)
	case yuccawatch.Unreachable, yuccawatch.Recovered:
		r.contact.lost()
	}
	r.passOn(w, after, now)
}

// passOn publishes the changes after a sequence number to the failure domain, if
// this entry is in settled contact with the platform. Long changes are left to be
// fetched. Durable objects are published as a list, which has no gaps, and at any time.
func (r *Replica) passOn(w *watched, after uint64, now time.Time) {
	page, ok := w.copy.since(after)
	if after == 0 || !ok || page.Seq < w.copy.seq {
		return
	}
	var changes *Changes
	switch {
	case w.durable:
		changes = w.list()
	case r.contactDuration(now) >= settleTime:
		changes = encodeChanges(w.prefix, after, page)
	}
	if changes == nil {
		return
	}
	body, err := proto.Marshal(changes)
	if err != nil {
		r.log.Error().Err(err).Str("prefix", w.prefix).Msg("changes_not_encoded")
		return
	}
	r.bus.PublishToDomain(topicChanges, body)
}

// handleChanges applies changes that the reader of the failure domain passed on.
func (r *Replica) handleChanges(_ context.Context, from string, body []byte) ([]byte, error) {
	var changes Changes
	if err := proto.Unmarshal(body, &changes); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode changes from entry %s: %w", from, err)
	}
	r.offer(&changes)
	return nil, nil
}

// offer passes changes, or a first list, to the watcher of their prefix.
func (r *Replica) offer(changes *Changes) {
	for _, w := range r.watched {
		switch {
		case w.prefix != changes.GetPrefix():
		case changes.GetList():
			w.watcher.OfferList(decodePage(changes))
		default:
			w.watcher.Offer(changes.GetAfter(), decodePage(changes))
		}
	}
}

func (r *Replica) run(ctx context.Context) {
	var group errgroup.Group
	// One fetch at a time.
	group.SetLimit(1)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.decide(now)
			if from := r.fetchFrom(now); from != "" {
				group.TryGo(func() error {
					r.fetch(ctx, from)
					return nil
				})
			}
		case <-ctx.Done():
			_ = group.Wait()
			return
		}
	}
}

// decide updates whether this entry calls the platform itself.
func (r *Replica) decide(now time.Time) {
	live := r.live()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.near = live
	r.fleet.forget(now)
	calling := r.fleet.calls(now, live)
	if calling == r.calling {
		return
	}
	r.calling = calling
	// Responses to calls from before the change say nothing of the time since.
	r.contact.lost()
	if calling {
		close(r.open)
	} else {
		r.open = make(chan struct{})
	}
	r.log.Info().Bool("calling", calling).Int("live", len(live)).Int("announced", len(r.fleet.received)).Msg("reader_changed")
}

func encodeChanges(prefix string, after uint64, page yuccastore.Page) *Changes {
	changes := &Changes{Prefix: prefix, After: after, Seq: page.Seq}
	for _, o := range page.Objects {
		changes.Objects = append(changes.Objects, &Object{Key: o.Key, Value: o.Value, Seq: o.Seq, Deleted: o.Deleted})
	}
	return changes
}

func decodePage(changes *Changes) yuccastore.Page {
	page := yuccastore.Page{Seq: changes.GetSeq()}
	for _, o := range changes.GetObjects() {
		page.Objects = append(page.Objects, yuccastore.Object{Key: o.GetKey(), Value: o.GetValue(), Seq: o.GetSeq(), Deleted: o.GetDeleted()})
	}
	return page
}
