package yuccasync

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccapause"
	"yuccawell.example/core/yuccapeer"
)

// The topics between the feeds of entries.
const (
	topicBeat    = "beat"
	topicSummary = "sum"
	topicRules   = "rules"
	topicPlan    = "plan"
	topicList    = "list"
	topicReports = "reports"
)

// newsShare is which part of the interval lies at least between two heartbeats,
// however much news there is.
const newsShare = 8

// interval is how often the entry sends a heartbeat; it grows with the number
// of peers so that the bytes per second do not.
func (f *Syncer) interval() time.Duration {
	return yuccapeer.HeartbeatInterval(yuccapeer.DefaultInterval, len(f.bus.Connected()))
}

// beats sends heartbeats at intervals and whenever there is news.
func (f *Syncer) beats(ctx context.Context) error {
	for ctx.Err() == nil {
		f.Refresh()
		f.decideRole(time.Now())
		f.pace()
		f.catchUp()
		interval := f.interval()
		f.tell(time.Now(), interval)
		yuccapause.For(ctx, interval/newsShare)
		f.awaitNews(ctx, interval-interval/newsShare)
	}
	return nil
}

// awaitNews returns when there is news or d has passed. Silence of others is
// looked for every second meanwhile.
func (f *Syncer) awaitNews(ctx context.Context, d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case <-f.news:
			return
		case <-end.C:
			return
		case <-ctx.Done():
			return
		case <-second.C:
			f.Refresh()
		}
	}
}

// wake makes the next heartbeat leave soon.
func (f *Syncer) wake() {
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// tell sends the heartbeat to the entry's failure domain and, from a
// summarizer, the summary to the others.
func (f *Syncer) tell(now time.Time, next time.Duration) {
	f.mu.Lock()
	own := f.ownBeat(now, next)
	f.members.ObserveHeartbeat(own)
	var summary *Summary
	if f.bus.IsGateway() {
		summary = f.summary(own, now)
	}
	f.mu.Unlock()
	f.bus.PublishToDomain(topicBeat, marshal(encodeBeat(own)))
	if summary != nil {
		f.bus.PublishToGateways(topicSummary, marshal(summary))
	}
}

func (f *Syncer) ownBeat(now time.Time, next time.Duration) yuccamembership.Heartbeat {
	s := f.state.now
	return yuccamembership.Heartbeat{
		Name: f.set.Name, Incarnation: f.set.Incarnation, At: now, Next: next,
		Rules: s.Document.Version, Plan: s.Plan.Version, Epoch: s.Plan.Epoch,
		List: uint64(f.listSum), ReadsPlatform: f.fed(now), Leaving: f.leaving,
	}
}

// summary names only the members whose state differs from the entry's own, so
// that its size does not grow with the domain while all is well.
func (f *Syncer) summary(own yuccamembership.Heartbeat, now time.Time) *Summary {
	covered := f.members.DomainState(f.set.Domain, now)
	sum := &Summary{Domain: f.set.Domain, Common: encodeBeat(own), Members: covered.Hash}
	for _, b := range covered.Beats {
		if b.Silent(now) || b.Leaving != own.Leaving || b.Rules != own.Rules || b.Plan != own.Plan || b.Epoch != own.Epoch {
			age := min(now.Sub(b.At)/time.Millisecond, math.MaxUint32)
			sum.Exceptions = append(sum.Exceptions, &MemberState{Name: b.Name, Heartbeat: encodeBeat(b), Age: uint32(age)})
		}
	}
	return sum
}

// heard takes a heartbeat from a member of the entry's failure domain.
func (f *Syncer) heard(_ context.Context, from string, body []byte) ([]byte, error) {
	var m Heartbeat
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "heartbeat of %s: %w", from, err)
	}
	b := decodeBeat(from, &m, time.Now())
	f.mu.Lock()
	old, known := f.members.Heard(from)
	f.members.ObserveHeartbeat(b)
	changed := !known || old.Rules != b.Rules || old.Plan != b.Plan
	f.mu.Unlock()
	if known && old.Leaving != b.Leaving || known && old.Incarnation != b.Incarnation {
		f.Refresh()
	}
	if changed && f.bus.IsGateway() {
		f.wake()
	}
	f.wantFrom(b)
	return nil, nil
}

// heardSummary takes the summary of another failure domain.
func (f *Syncer) heardSummary(_ context.Context, from string, body []byte) ([]byte, error) {
	var m Summary
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "summary of %s: %w", from, err)
	}
	if m.Domain == f.set.Domain {
		return nil, nil
	}
	now := time.Now()
	most := decodeBeat(from, m.Common, now)
	odd := make([]yuccamembership.Heartbeat, 0, len(m.Exceptions))
	for _, r := range m.Exceptions {
		odd = append(odd, decodeBeat(r.Name, r.Heartbeat, now.Add(-time.Duration(r.Age)*time.Millisecond)))
	}
	anyone := most
	anyone.Incarnation = 0
	f.mu.Lock()
	f.members.ApplySummary(m.Domain, m.Members, anyone, odd)
	f.mu.Unlock()
	if len(odd) > 0 {
		f.Refresh()
	}
	most.ReadsPlatform = false
	f.wantFrom(most)
	return nil, nil
}

func encodeBeat(b yuccamembership.Heartbeat) *Heartbeat {
	return &Heartbeat{
		Incarnation: b.Incarnation, Rules: b.Rules, Plan: b.Plan, Epoch: b.Epoch, List: uint32(b.List),
		MaxIntervalMs: uint32(b.Next / time.Millisecond), ReadsPlatform: b.ReadsPlatform, Leaving: b.Leaving,
	}
}

func decodeBeat(name string, m *Heartbeat, at time.Time) yuccamembership.Heartbeat {
	return yuccamembership.Heartbeat{
		Name: name, Incarnation: m.GetIncarnation(), At: at, Next: time.Duration(m.GetMaxIntervalMs()) * time.Millisecond,
		Rules: m.GetRules(), Plan: m.GetPlan(), Epoch: m.GetEpoch(), List: uint64(m.GetList()),
		ReadsPlatform: m.GetReadsPlatform(), Leaving: m.GetLeaving(),
	}
}

func marshal(m proto.Message) []byte {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return body
}
