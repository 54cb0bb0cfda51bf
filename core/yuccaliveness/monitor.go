package yuccaliveness

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccacapacity"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccalog"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccareplica"
)

// Topic is the bus topic that heartbeats are published on.
const Topic = "beat.entry"

// statusLogInterval is the time between two log entries of the load balancing
// status.
const statusLogInterval = 2 * time.Second

// meanInFlightWeight is the weight of the latest interval in the EWMA of the
// number of requests in flight, in (0, 1].
const meanInFlightWeight = 0.4

// Bus is the part of the message bus between entries that heartbeats need.
type Bus interface {
	// Handle registers the handler of the messages on a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Publish sends a message to all other entries.
	Publish(topic string, body []byte)
}

// Balancer is the load balancer that distributes requests by the demand in the
// heartbeats.
type Balancer interface {
	// MeanInFlight returns the mean number of requests in flight by service since
	// the last call.
	MeanInFlight(now time.Time) map[string]float64
	// Rebalance moves the traffic split of each service toward the demand. The
	// longer the elapsed time since the last call, the larger the step.
	Rebalance(demand map[string]yuccabalancer.Demand, elapsed time.Duration)
	// StatusAndReset returns the status of each service and resets its counters.
	StatusAndReset() []yuccabalancer.Status
}

// Replica shares the platform's objects among the entries. Heartbeats carry its
// announcements.
type Replica interface {
	// Announcement returns what the next heartbeat announces.
	Announcement() yuccareplica.Announcement
	// Observe records the announcement of another entry.
	Observe(from string, a yuccareplica.Announcement)
}

// Local tells the state of this entry.
type Local interface {
	// Utilization returns the utilization at now. It is called once per Interval.
	Utilization(now time.Time) yuccacapacity.Utilization
	// Ready reports whether the entry can serve requests.
	Ready() bool
	// LinksWorkSince reports whether the entry's links to the platform and to backend
	// servers are known to have worked later than t. It may wait for a response of the
	// platform.
	LinksWorkSince(t time.Time) bool
}

// Prober finds out whether the process of a silent entry runs.
type Prober interface {
	// Accepts reports whether a process accepts connections at an address.
	Accepts(ctx context.Context, addr string) bool
}

// Monitor is the service that publishes this entry's heartbeats and tracks those
// of the other entries. Create one with New.
type Monitor struct {
	*yuccakernel.Worker

	bus      Bus
	balancer Balancer
	replica  Replica
	local    Local
	prober   Prober
	log      zerolog.Logger
	// changes is the logger of changes to the entries that lookups name.
	changes zerolog.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// state combines the platform's list with the heartbeats.
	state *State
	// meanInFlight is the EWMA of this entry's requests in flight by service.
	meanInFlight map[string]float64
	// regions holds the entries that lookups name by region.
	regions map[string]*regionChoice
	// changeCount is how often the named entries of a region have changed.
	changeCount uint64
}

// New returns the monitor of the entry self and registers its heartbeat handler on
// the bus.
func New(self Entry, bus Bus, balancer Balancer, replica Replica, local Local, prober Prober, log zerolog.Logger) *Monitor {
	s := &Monitor{
		bus:          bus,
		balancer:     balancer,
		replica:      replica,
		local:        local,
		prober:       prober,
		log:          log,
		changes:      log.Sample(yuccalog.NewRateSampler(changeLinesPerSecond)),
		state:        NewState(self, time.Now()),
		meanInFlight: map[string]float64{},
		regions:      map[string]*regionChoice{},
	}
	s.state.SetReady(false)
	s.Worker = yuccakernel.NewWorker(s.run)
	bus.Handle(Topic, s.handleHeartbeat)
	return s
}

// UpdateList replaces the platform's list of entries.
func (s *Monitor) UpdateList(entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.UpdateList(time.Now(), entries)
	s.expireChoices()
}

// Alive returns the entries that accept new clients, sorted by name. State.Alive
// has the rules.
func (s *Monitor) Alive() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Alive(time.Now())
}

// DomainPeers returns the names of the other alive entries of this entry's failure
// domain, sorted.
func (s *Monitor) DomainPeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.DomainPeers(time.Now())
}

// Names returns the sorted names of the entries that may be sending requests to backend
// servers. State.Names has the rules.
func (s *Monitor) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Names(time.Now())
}

// LargeNames returns the sorted names of the listed entries that callers mostly use.
// State.LargeNames has the rules.
func (s *Monitor) LargeNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.LargeNames()
}

// StrongNames returns the sorted names of the listed entries that can work for the others of
// their failure domain. State.StrongNames has the rules.
func (s *Monitor) StrongNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.StrongNames()
}

// ToDeregister returns the names of the silent entries that this entry has to
// remove from the platform's list.
func (s *Monitor) ToDeregister() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ToDeregister(time.Now())
}

// TunnelPeers returns the other entries that may carry connections of this one to
// backend servers. State.TunnelPeers has the rules.
func (s *Monitor) TunnelPeers() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.TunnelPeers(time.Now())
}

// SetCutOff marks whether this entry itself reaches no backend server, and announces it
// with a heartbeat at once.
func (s *Monitor) SetCutOff(cutOff bool) {
	s.mu.Lock()
	s.state.SetCutOff(cutOff)
	s.mu.Unlock()
	s.publishHeartbeat()
}

// SetCapacity replaces the capacity of this entry.
func (s *Monitor) SetCapacity(c yuccacapacity.Capacity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetCapacity(c)
}

// Leave marks this entry as draining and announces it with a heartbeat at once.
func (s *Monitor) Leave() {
	s.mu.Lock()
	s.state.Leave()
	s.expireChoices()
	s.mu.Unlock()
	s.publishHeartbeat()
}

func (s *Monitor) run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	lastRebalance, lastLog := time.Now(), time.Now()
	var probes errgroup.Group
	// One round of probes at a time.
	probes.SetLimit(1)
	for {
		select {
		case now := <-tick.C:
			s.updateMeanInFlight(now)
			s.updateLocal(now)
			s.publishHeartbeat()
			probes.TryGo(func() error { s.probeSilent(ctx); return nil })
			s.balancer.Rebalance(s.demand(now), min(now.Sub(lastRebalance), 2*Interval))
			lastRebalance = now
			if now.Sub(lastLog) >= statusLogInterval {
				lastLog = now
				s.logStatus()
			}
		case <-ctx.Done():
			_ = probes.Wait()
			return
		}
	}
}

// logStatus logs the load balancing status of each service.
func (s *Monitor) logStatus() {
	for _, v := range s.balancer.StatusAndReset() {
		s.log.Info().
			Str("service", v.Service).
			Stringer("shares", v.Common).
			Stringer("near", v.Near).
			Int("busy", v.InFlight).
			Dur("pace", v.MeanLatency).
			Dur("warm", v.WarmLatency).
			Dur("cold", v.ColdLatency).
			Interface("chosen", v.Chosen).
			Interface("late", v.Late).
			Msg("placement")
	}
}

// updateMeanInFlight adds this entry's requests in flight to the EWMA.
func (s *Monitor) updateMeanInFlight(now time.Time) {
	inFlight := s.balancer.MeanInFlight(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, v := range inFlight {
		s.meanInFlight[service] += (v - s.meanInFlight[service]) * meanInFlightWeight
	}
}

// updateLocal records the state of this entry for its heartbeats. It also renews the choice
// for this entry's region, so that its log lines do not depend on lookups.
func (s *Monitor) updateLocal(now time.Time) {
	u, ready := s.local.Utilization(now), s.local.Ready()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetUtilization(u)
	s.state.SetReady(ready)
	s.choose(now, s.state.Self().Region, ready)
}

// demand returns the demand for each service by region.
func (s *Monitor) demand(now time.Time) map[string]yuccabalancer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Demand(now, s.meanInFlight)
}

func (s *Monitor) publishHeartbeat() {
	announcement := s.replica.Announcement()
	s.mu.Lock()
	self := s.state.Self()
	heartbeat := &Heartbeat{
		Region:      self.Region,
		Domain:      self.Domain,
		ClientAddr:  self.ClientAddr,
		Leaving:     self.Leaving,
		Incarnation: self.Incarnation,
		InFlight:    map[string]float32{},
		Changed:     announcement.Changed,
		ContactMs:   uint32(announcement.Contact.Milliseconds()),
		TunnelAddr:  self.TunnelAddr,
		CutOff:      self.CutOff,
		Config:      announcement.Config,
		Capacity:    encodeCapacity(self.Capacity),
		Utilization: encodeUtilization(self.Utilization),
		Starting:    self.Starting,
	}
	for service, v := range s.meanInFlight {
		heartbeat.InFlight[service] = float32(v)
	}
	s.mu.Unlock()
	body, err := proto.Marshal(heartbeat)
	if err != nil {
		s.log.Error().Err(err).Msg("beat_not_encoded")
		return
	}
	s.bus.Publish(Topic, body)
}

// handleHeartbeat records the heartbeat in body of the entry named from. It
// returns an error of kind Protocol when the body cannot be decoded.
func (s *Monitor) handleHeartbeat(_ context.Context, from string, body []byte) ([]byte, error) {
	var heartbeat Heartbeat
	if err := proto.Unmarshal(body, &heartbeat); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode heartbeat of entry %s: %w", from, err)
	}
	e := Entry{
		Name:        from,
		Region:      heartbeat.GetRegion(),
		Domain:      heartbeat.GetDomain(),
		ClientAddr:  heartbeat.GetClientAddr(),
		TunnelAddr:  heartbeat.GetTunnelAddr(),
		CutOff:      heartbeat.GetCutOff(),
		Incarnation: heartbeat.GetIncarnation(),
		Leaving:     heartbeat.GetLeaving(),
		Starting:    heartbeat.GetStarting(),
		Capacity:    decodeCapacity(heartbeat.GetCapacity()),
		Utilization: decodeUtilization(heartbeat.GetUtilization()),
	}
	s.replica.Observe(from, yuccareplica.Announcement{
		Changed: heartbeat.GetChanged(),
		Contact: time.Duration(heartbeat.GetContactMs()) * time.Millisecond,
		Config:  heartbeat.GetConfig(),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.RecordHeartbeat(time.Now(), e, heartbeat.GetInFlight())
	if e.Leaving {
		s.expireChoices()
	}
	return nil, nil
}
