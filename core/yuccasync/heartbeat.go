package yuccasync

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccamembership"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccasleep"
)

// Topics of the messages between Syncers.
const (
	// topicHeartbeat carries an entry's heartbeats to its failure domain.
	topicHeartbeat = "beat"
	// topicSummary carries a gateway's summary of its failure domain to the
	// other failure domains.
	topicSummary = "sum"
	// topicRules requests the rules document of a peer.
	topicRules = "rules"
	// topicPlan requests the plan of a peer.
	topicPlan = "plan"
	// topicList requests the instance list of a peer.
	topicList = "list"
	// topicReports requests a peer's reports on all entries.
	topicReports = "reports"
)

// minIntervalDivisor limits the rate of heartbeats: the time between two of them
// is at least the heartbeat interval divided by this number, however many changes
// there are.
const minIntervalDivisor = 8

// heartbeatInterval returns the longest time between two heartbeats. It
// increases with the number of peers so that the bytes per second do not.
func (f *Syncer) heartbeatInterval() time.Duration {
	return yuccapeer.HeartbeatInterval(yuccapeer.DefaultHeartbeatInterval, len(f.bus.Connected()))
}

// heartbeatLoop sends a heartbeat at every interval and after every change,
// until ctx ends.
func (f *Syncer) heartbeatLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		f.Refresh()
		f.updateRole(time.Now())
		f.setRateLimit()
		f.queueMissing()
		interval := f.heartbeatInterval()
		f.sendHeartbeat(time.Now(), interval)
		yuccasleep.For(ctx, interval/minIntervalDivisor)
		f.waitForChange(ctx, interval-interval/minIntervalDivisor)
	}
	return nil
}

// waitForChange returns when something has changed, when d has passed or when
// ctx ends. Meanwhile it refreshes the view every second, to detect silent
// entries.
func (f *Syncer) waitForChange(ctx context.Context, d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case <-f.changes:
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

// triggerHeartbeat makes heartbeatLoop send the next heartbeat early.
func (f *Syncer) triggerHeartbeat() {
	select {
	case f.changes <- struct{}{}:
	default:
	}
}

// sendHeartbeat sends the heartbeat to the entry's failure domain. A gateway
// also sends a summary to the other failure domains.
func (f *Syncer) sendHeartbeat(now time.Time, interval time.Duration) {
	f.mu.Lock()
	own := f.ownHeartbeat(now, interval)
	f.members.ObserveHeartbeat(own)
	var summary *Summary
	if f.bus.IsGateway() {
		summary = f.buildSummary(own, now)
	}
	f.mu.Unlock()
	f.publish(f.bus.PublishToDomain, topicHeartbeat, encodeHeartbeat(own))
	if summary != nil {
		f.publish(f.bus.PublishToGateways, topicSummary, summary)
	}
}

// ownHeartbeat returns the entry's heartbeat. The caller holds mu.
func (f *Syncer) ownHeartbeat(now time.Time, interval time.Duration) yuccamembership.Heartbeat {
	s := f.state.snapshot
	return yuccamembership.Heartbeat{
		Name: f.settings.Name, Incarnation: f.settings.Incarnation, At: now, MaxInterval: interval,
		Rules: s.Document.Version, Plan: s.Plan.Version, Epoch: s.Plan.Epoch,
		ListHash: uint64(f.listHash), ReadsPlatform: f.hasRecentRead(now), Leaving: f.leaving,
	}
}

// buildSummary lists only the members whose state differs from the entry's own,
// so that the summary stays small in a healthy domain of any size. The caller
// holds mu.
func (f *Syncer) buildSummary(own yuccamembership.Heartbeat, now time.Time) *Summary {
	state := f.members.DomainState(f.settings.Domain, now)
	summary := &Summary{Domain: f.settings.Domain, Common: encodeHeartbeat(own), Members: state.Hash}
	for _, b := range state.Heartbeats {
		if b.Silent(now) || b.Leaving != own.Leaving || b.Rules != own.Rules || b.Plan != own.Plan || b.Epoch != own.Epoch {
			age := min(now.Sub(b.At)/time.Millisecond, math.MaxUint32)
			summary.Exceptions = append(summary.Exceptions, &MemberState{Name: b.Name, Heartbeat: encodeHeartbeat(b), Age: uint32(age)})
		}
	}
	return summary
}

// handleHeartbeat processes a heartbeat from a member of the entry's failure
// domain.
func (f *Syncer) handleHeartbeat(_ context.Context, from string, body []byte) ([]byte, error) {
	var m Heartbeat
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "cannot decode the heartbeat from %s: %w", from, err)
	}
	b := decodeHeartbeat(from, &m, time.Now())
	f.mu.Lock()
	old, known := f.members.LastHeartbeat(from)
	f.members.ObserveHeartbeat(b)
	changed := !known || old.Rules != b.Rules || old.Plan != b.Plan
	f.mu.Unlock()
	if known && old.Leaving != b.Leaving || known && old.Incarnation != b.Incarnation {
		f.Refresh()
	}
	if changed && f.bus.IsGateway() {
		f.triggerHeartbeat()
	}
	f.queueFetches(b)
	return nil, nil
}

// handleSummary processes the summary of another failure domain.
func (f *Syncer) handleSummary(_ context.Context, from string, body []byte) ([]byte, error) {
	var m Summary
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "cannot decode the summary from %s: %w", from, err)
	}
	if m.Domain == f.settings.Domain {
		return nil, nil
	}
	now := time.Now()
	common := decodeHeartbeat(from, m.Common, now)
	exceptions := make([]yuccamembership.Heartbeat, 0, len(m.Exceptions))
	for _, r := range m.Exceptions {
		exceptions = append(exceptions, decodeHeartbeat(r.Name, r.Heartbeat, now.Add(-time.Duration(r.Age)*time.Millisecond)))
	}
	memberState := common
	memberState.Incarnation = 0
	f.mu.Lock()
	f.members.ApplySummary(m.Domain, m.Members, memberState, exceptions)
	f.mu.Unlock()
	if len(exceptions) > 0 {
		f.Refresh()
	}
	common.ReadsPlatform = false
	f.queueFetches(common)
	return nil, nil
}

func encodeHeartbeat(b yuccamembership.Heartbeat) *Heartbeat {
	return &Heartbeat{
		Incarnation: b.Incarnation, Rules: b.Rules, Plan: b.Plan, Epoch: b.Epoch, List: uint32(b.ListHash),
		MaxIntervalMs: uint32(b.MaxInterval / time.Millisecond), ReadsPlatform: b.ReadsPlatform, Leaving: b.Leaving,
	}
}

func decodeHeartbeat(name string, m *Heartbeat, at time.Time) yuccamembership.Heartbeat {
	return yuccamembership.Heartbeat{
		Name: name, Incarnation: m.GetIncarnation(), At: at, MaxInterval: time.Duration(m.GetMaxIntervalMs()) * time.Millisecond,
		Rules: m.GetRules(), Plan: m.GetPlan(), Epoch: m.GetEpoch(), ListHash: uint64(m.GetList()),
		ReadsPlatform: m.GetReadsPlatform(), Leaving: m.GetLeaving(),
	}
}

// publish sends a message. One that cannot be encoded is logged and not sent.
func (f *Syncer) publish(send func(topic string, body []byte), topic string, m proto.Message) {
	body, err := proto.Marshal(m)
	if err != nil {
		f.log.Error().Err(err).Str("topic", topic).Msg("heartbeat_not_encoded")
		return
	}
	send(topic, body)
}
