package yuccaliveness

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccabalancer"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccapeer"
)

// Topic is the bus topic of beats.
const Topic = "beat.entry"

// statusInterval is the time between two log lines of what choices rest on.
const statusInterval = 2 * time.Second

// meanWeight is the weight of one interval in the mean of the demand.
const meanWeight = 0.4

// Bus is the part of a bus that beats need.
type Bus interface {
	Handle(topic string, h yuccapeer.Handler)
	Publish(topic string, body []byte)
}

// Placer chooses servers by what the beats tell.
type Placer interface {
	MeanInFlight(now time.Time) map[string]float64
	Rebalance(demand map[string]yuccabalancer.Demand, elapsed time.Duration)
	StatusAndReset() []yuccabalancer.Status
}

// Monitor sends and takes beats. Make one with New.
type Monitor struct {
	*yuccakernel.Worker

	bus    Bus
	placer Placer
	log    zerolog.Logger

	mu    sync.Mutex
	state *State
	mean  map[string]float64
}

// New returns a service for the entry self.
func New(self Entry, bus Bus, placer Placer, log zerolog.Logger) *Monitor {
	s := &Monitor{
		bus:    bus,
		placer: placer,
		log:    log,
		state:  NewState(self, time.Now()),
		mean:   map[string]float64{},
	}
	s.Worker = yuccakernel.NewWorker(s.run)
	bus.Handle(Topic, s.hear)
	return s
}

// List takes the platform's list of entries.
func (s *Monitor) List(entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.List(time.Now(), entries)
}

// Alive returns the entries that take new callers.
func (s *Monitor) Alive() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Alive(time.Now())
}

// Names returns the names of all entries that may be sending requests.
func (s *Monitor) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Names()
}

// ToDeregister returns the listed entries that this one has to take off the list.
func (s *Monitor) ToDeregister() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ToDeregister(time.Now())
}

// Leave tells the others that the entry takes no new callers.
func (s *Monitor) Leave() {
	s.mu.Lock()
	s.state.Leave()
	s.mu.Unlock()
	s.send()
}

func (s *Monitor) run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	last, told := time.Now(), time.Now()
	for {
		select {
		case now := <-tick.C:
			s.measure(now)
			s.send()
			s.placer.Rebalance(s.demand(now), min(now.Sub(last), 2*Interval))
			last = now
			if now.Sub(told) >= statusInterval {
				told = now
				s.logStatus()
			}
		case <-ctx.Done():
			return
		}
	}
}

// logStatus tells what the choices of servers rest on.
func (s *Monitor) logStatus() {
	for _, v := range s.placer.StatusAndReset() {
		s.log.Info().
			Str("service", v.Service).
			Stringer("shares", v.Shares).
			Int("busy", v.Busy).
			Dur("pace", v.MeanLatency).
			Dur("warm", v.WarmLatency).
			Dur("cold", v.ColdLatency).
			Interface("chosen", v.Chosen).
			Interface("late", v.Late).
			Msg("placement")
	}
}

// measure takes what the entry's own callers ask for into the mean.
func (s *Monitor) measure(now time.Time) {
	busy := s.placer.MeanInFlight(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, v := range busy {
		s.mean[service] += (v - s.mean[service]) * meanWeight
	}
}

func (s *Monitor) demand(now time.Time) map[string]yuccabalancer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Demand(now, s.mean)
}

func (s *Monitor) send() {
	s.mu.Lock()
	self := s.state.Self()
	beat := &Heartbeat{
		Region:      self.Region,
		Domain:      self.Domain,
		ClientAddr:  self.ClientAddr,
		Leaving:     self.Leaving,
		Incarnation: self.Incarnation,
		InFlight:    map[string]float32{},
	}
	for service, v := range s.mean {
		beat.InFlight[service] = float32(v)
	}
	s.mu.Unlock()
	body, err := proto.Marshal(beat)
	if err != nil {
		s.log.Error().Err(err).Msg("beat_not_encoded")
		return
	}
	s.bus.Publish(Topic, body)
}

func (s *Monitor) hear(_ context.Context, from string, body []byte) ([]byte, error) {
	var b Heartbeat
	if err := proto.Unmarshal(body, &b); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "beat of %s: %w", from, err)
	}
	busy := map[string]float64{}
	for service, v := range b.GetInFlight() {
		busy[service] = float64(v)
	}
	e := Entry{Name: from, Region: b.GetRegion(), Domain: b.GetDomain(), ClientAddr: b.GetClientAddr(), Incarnation: b.GetIncarnation(), Leaving: b.GetLeaving()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Hear(time.Now(), e, busy)
	return nil, nil
}
