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
	pullTimeout = 2 * time.Second
	maxPulls    = 64
)

// pull is something to fetch from a peer.
type pull struct {
	from, topic string
	// beat is the peer's heartbeat that made the entry want it.
	beat yuccamembership.Heartbeat
}

// wantFrom queues what a peer has and this entry lacks.
func (f *Syncer) wantFrom(b yuccamembership.Heartbeat) {
	for _, topic := range []string{topicRules, topicPlan, topicList} {
		if p := (pull{b.Name, topic, b}); f.lacks(p) {
			f.want(p)
		}
	}
}

func (f *Syncer) want(p pull) {
	select {
	case f.pulls <- p:
	default:
	}
}

// lacks reports whether the peer still has what this entry has not.
func (f *Syncer) lacks(p pull) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.state.now
	switch p.topic {
	case topicRules:
		return p.beat.Rules > now.Document.Version
	case topicPlan:
		return newer(p.beat.Epoch, p.beat.Plan, now.Plan)
	case topicList:
		return p.beat.ReadsPlatform && !f.reading.Load() && uint32(p.beat.List) != f.listSum
	}
	return false
}

// catchUp asks every connected peer while the entry knows no rules or no
// instances, as after a start with the platform down.
func (f *Syncer) catchUp() {
	f.mu.Lock()
	noRules, noList := !f.state.now.Ready(), f.listSum == 0
	f.mu.Unlock()
	if !noRules && !noList {
		return
	}
	for _, name := range f.bus.Connected() {
		peer := yuccamembership.Heartbeat{Name: name, Rules: 1, Epoch: 1, Plan: 1, ReadsPlatform: noList, List: 1}
		if noRules {
			f.want(pull{name, topicRules, peer})
			f.want(pull{name, topicPlan, peer})
		}
		if noList {
			f.want(pull{name, topicList, peer})
		}
	}
}

// pulling fetches what is queued, one after the other.
func (f *Syncer) pulling(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-f.pulls:
			if !f.lacks(p) && p.topic != topicList {
				continue
			}
			if err := f.fetch(ctx, p); err != nil && ctx.Err() == nil {
				f.log.Debug().Err(err).Str("peer", p.from).Str("topic", p.topic).Msg("fetch_failed")
			}
		}
	}
}

func (f *Syncer) fetch(ctx context.Context, p pull) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	body, err := f.bus.Call(ctx, p.from, p.topic, nil)
	if err != nil {
		return err
	}
	switch p.topic {
	case topicRules:
		d, rules, err := yuccarule.DecodeDocument(body)
		if err != nil {
			return err
		}
		f.Learn(RulesUpdate{d, rules})
	case topicPlan:
		var plan yuccaplan.Plan
		if err := json.Unmarshal(body, &plan); err != nil {
			return yuccaerror.Wrap(yuccaerror.Protocol, err)
		}
		f.Learn(PlanUpdate{plan})
	case topicList:
		return f.takeList(body)
	}
	return nil
}

// listReply is the platform's list as a peer passes it on. Addresses hold for
// one region only.
type listReply struct {
	Region    string                `json:"region"`
	Instances []yuccastore.Instance `json:"instances"`
}

func (f *Syncer) takeList(body []byte) error {
	var list listReply
	if err := json.Unmarshal(body, &list); err != nil {
		return yuccaerror.Wrap(yuccaerror.Protocol, err)
	}
	if list.Region == f.set.Region && !f.fed(time.Now()) {
		f.learnList(list.Instances)
	}
	return nil
}

func (f *Syncer) giveRules(context.Context, string, []byte) ([]byte, error) {
	s := f.Snapshot()
	if !s.Ready() {
		return nil, yuccaerror.New(yuccaerror.Unready, "no rules")
	}
	return s.Document.Encode()
}

func (f *Syncer) givePlan(context.Context, string, []byte) ([]byte, error) {
	s := f.Snapshot()
	if s.Plan.Epoch == 0 {
		return nil, yuccaerror.New(yuccaerror.Unready, "no plan")
	}
	return json.Marshal(s.Plan)
}

func (f *Syncer) giveList(context.Context, string, []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listSum == 0 {
		return nil, yuccaerror.New(yuccaerror.Unready, "no list")
	}
	return json.Marshal(listReply{f.set.Region, f.list})
}
