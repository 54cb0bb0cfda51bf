package yuccasync

import (
	"context"
	"encoding/json"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarule"
	"yuccawell.example/core/yuccastore"
)

const (
	// fetchTimeout bounds one call to a peer.
	fetchTimeout = 2 * time.Second
	// maxQueuedFetches bounds the queue. When it is full, new requests are
	// dropped.
	maxQueuedFetches = 64
)

// fetchRequest asks for the rules, the plan or the instance list of a peer.
type fetchRequest struct {
	// from is the name of the peer.
	from string
	// topic names what to fetch.
	topic string
	// heartbeat holds the versions that the peer has.
	heartbeat yuccamembership.Heartbeat
}

// queueFetches queues fetches of everything that is newer at the sender of a
// heartbeat.
func (f *Syncer) queueFetches(b yuccamembership.Heartbeat) {
	for _, topic := range []string{topicRules, topicPlan, topicList} {
		if request := (fetchRequest{b.Name, topic, b}); f.needs(request) {
			f.queueFetch(request)
		}
	}
}

// queueFetch queues a fetch, or drops it if the queue is full.
func (f *Syncer) queueFetch(request fetchRequest) {
	select {
	case f.fetches <- request:
	default:
	}
}

// needs reports whether the entry still needs what the peer has: newer rules, a
// newer plan, or a different instance list if the peer reads the platform and
// this entry is not a watcher.
func (f *Syncer) needs(request fetchRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.state.snapshot
	switch request.topic {
	case topicRules:
		return request.heartbeat.Rules > now.Document.Version
	case topicPlan:
		return newer(request.heartbeat.Epoch, request.heartbeat.Plan, now.Plan)
	case topicList:
		return request.heartbeat.ReadsPlatform && !f.watching.Load() && uint32(request.heartbeat.ListHash) != f.listHash
	}
	return false
}

// queueMissing queues fetches from every connected peer while the entry has no
// rules or no instance list, as after a start during a platform outage. It does
// not know the versions of the peers, so it assumes the lowest ones.
func (f *Syncer) queueMissing() {
	f.mu.Lock()
	noRules, noList := !f.state.snapshot.Ready(), f.listHash == 0
	f.mu.Unlock()
	if !noRules && !noList {
		return
	}
	for _, name := range f.bus.Connected() {
		peer := yuccamembership.Heartbeat{Name: name, Rules: 1, Epoch: 1, Plan: 1, ReadsPlatform: noList, ListHash: 1}
		if noRules {
			f.queueFetch(fetchRequest{name, topicRules, peer})
			f.queueFetch(fetchRequest{name, topicPlan, peer})
		}
		if noList {
			f.queueFetch(fetchRequest{name, topicList, peer})
		}
	}
}

// fetchLoop performs the queued fetches one after the other until ctx ends.
func (f *Syncer) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-f.fetches:
			if !f.needs(request) && request.topic != topicList {
				continue
			}
			if err := f.fetch(ctx, request); err != nil && ctx.Err() == nil {
				f.log.Debug().Err(err).Str("peer", request.from).Str("topic", request.topic).Msg("fetch_failed")
			}
		}
	}
}

// fetch gets the requested data from the peer and applies it.
func (f *Syncer) fetch(ctx context.Context, request fetchRequest) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	body, err := f.bus.Call(ctx, request.from, request.topic, nil)
	if err != nil {
		return err
	}
	switch request.topic {
	case topicRules:
		d, rules, err := yuccarule.DecodeDocument(body)
		if err != nil {
			return err
		}
		f.Apply(RulesUpdate{d, rules})
	case topicPlan:
		var plan yuccaplan.Plan
		if err := json.Unmarshal(body, &plan); err != nil {
			return yuccaerror.Wrap(yuccaerror.Protocol, err)
		}
		f.Apply(PlanUpdate{plan})
	case topicList:
		return f.applyListReply(body)
	}
	return nil
}

// listReply is the instance list in a peer's response. The addresses in it are
// valid in one region only.
type listReply struct {
	// Region is the region that the addresses are valid in.
	Region string `json:"region"`
	// Instances is the list as the platform returned it.
	Instances []yuccastore.Instance `json:"instances"`
}

// applyListReply applies a peer's instance list unless it is from another
// region or this entry reads the platform itself.
func (f *Syncer) applyListReply(body []byte) error {
	var list listReply
	if err := json.Unmarshal(body, &list); err != nil {
		return yuccaerror.Wrap(yuccaerror.Protocol, err)
	}
	if list.Region == f.settings.Region && !f.hasRecentRead(time.Now()) {
		f.updateList(list.Instances)
	}
	return nil
}

// serveRules answers a call on topicRules with the rules document in force.
func (f *Syncer) serveRules(context.Context, string, []byte) ([]byte, error) {
	s := f.Snapshot()
	if !s.Ready() {
		return nil, yuccaerror.New(yuccaerror.Unready, "this entry has no rules yet")
	}
	return s.Document.Encode()
}

// servePlan answers a call on topicPlan with the plan in force, unless that is the bootstrap plan.
func (f *Syncer) servePlan(context.Context, string, []byte) ([]byte, error) {
	s := f.Snapshot()
	if s.Plan.Epoch == 0 {
		return nil, yuccaerror.New(yuccaerror.Unready, "this entry has no plan of a lease holder yet")
	}
	return json.Marshal(s.Plan)
}

// serveList answers a call on topicList with the latest instance list.
func (f *Syncer) serveList(context.Context, string, []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listHash == 0 {
		return nil, yuccaerror.New(yuccaerror.Unready, "this entry has no instance list yet")
	}
	return json.Marshal(listReply{f.settings.Region, f.list})
}
