package yuccademand

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccakernel"
	"yuccawell.example/core/yuccapeer"
	"yuccawell.example/core/yuccaplan"
	"yuccawell.example/core/yuccarelay"
)

const (
	// Topic is the bus topic on which measurements are asked for.
	Topic = "demand"
	// Interval is the length of one measurement.
	Interval = 2 * time.Second
	// keepLength is how long the last measurement of an entry that does not
	// answer is used.
	keepLength = 5 * time.Minute
	callLimit  = time.Second
	atOnce     = 64
)

// Bus is the part of a bus that gathering needs.
type Bus interface {
	Handle(topic string, h yuccapeer.Handler)
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// Lease tells whether the entry holds the planner's lease.
type Lease interface {
	Held() (epoch uint64, held bool)
}

// Collector measures and gathers. Make one with New.
type Collector struct {
	*yuccakernel.Worker

	self    string
	bus     Bus
	members func() []string
	holder  Lease
	busy    func(service, region string) int
	log     zerolog.Logger

	mu     sync.Mutex
	tally  Counter
	latest map[string]report
}

// report is one entry's measurement and when it ended.
type report struct {
	at   time.Time
	rows []yuccaplan.Demand
}

// New returns a service for the entry with the given name. The function members
// names the entries that are believed alive, busy counts requests in flight.
func New(self string, bus Bus, members func() []string, holder Lease, busy func(service, region string) int, log zerolog.Logger) *Collector {
	s := &Collector{
		self:    self,
		bus:     bus,
		members: members,
		holder:  holder,
		busy:    busy,
		log:     log,
		latest:  map[string]report{},
	}
	s.Worker = yuccakernel.NewWorker(s.run)
	bus.Handle(Topic, s.answer)
	return s
}

// Observe implements yuccarelay.Observer.
func (s *Collector) Observe(r yuccarelay.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.Add(r)
}

// Demands returns the latest measurement of every entry with its age.
func (s *Collector) Demands(now time.Time) []yuccaplan.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []yuccaplan.Demand
	for name, r := range s.latest {
		if now.Sub(r.at) > keepLength {
			delete(s.latest, name)
			continue
		}
		for _, d := range r.rows {
			d.Age = max(now.Sub(r.at), 0)
			all = append(all, d)
		}
	}
	return all
}

func (s *Collector) run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.measure(time.Now())
			if _, held := s.holder.Held(); held {
				s.gather(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Collector) measure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[s.self] = report{now, s.tally.Flush(now, s.self, s.busy)}
}

// gather asks the other entries for their measurements. What an entry does not
// answer stays as it was and grows old.
func (s *Collector) gather(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	group := &errgroup.Group{}
	group.SetLimit(atOnce)
	for _, name := range s.members() {
		if name == s.self {
			continue
		}
		group.Go(func() error {
			s.askOne(ctx, name)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Collector) askOne(ctx context.Context, name string) {
	asked := time.Now()
	body, err := s.bus.Call(ctx, name, Topic, nil)
	if err != nil {
		s.log.Debug().Err(err).Str("from", name).Msg("demand_not_heard")
		return
	}
	r, err := decode(name, body, asked)
	if err != nil {
		s.log.Warn().Err(err).Str("from", name).Msg("demand_unreadable")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[name] = r
}

func (s *Collector) answer(context.Context, string, []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.latest[s.self]
	m := &Report{}
	for _, d := range own.rows {
		m.Measurements = append(m.Measurements, &Measurement{
			Service:  d.Service,
			Region:   d.Region,
			InFlight: float32(d.Busy),
			Rate:     float32(d.Rate),
			Refused:  float32(d.Refused),
			Bytes:    float32(d.Bytes),
			Latency:  int64(d.Latency),
			Age:      int64(time.Since(own.at)),
		})
	}
	return proto.Marshal(m)
}

// decode reads an answer to a question asked at a time. The measurement counts
// as ended before the question by the age it states, so that the way there and
// back makes it older, never younger.
func decode(entry string, body []byte, asked time.Time) (report, error) {
	m := &Report{}
	if err := proto.Unmarshal(body, m); err != nil {
		return report{}, yuccaerror.New(yuccaerror.Protocol, "demand of %s: %w", entry, err)
	}
	r := report{at: asked}
	for _, row := range m.Measurements {
		r.at = asked.Add(-max(time.Duration(row.Age), 0))
		r.rows = append(r.rows, yuccaplan.Demand{
			Entry:   entry,
			Service: row.Service,
			Region:  row.Region,
			Busy:    float64(row.InFlight),
			Rate:    float64(row.Rate),
			Refused: float64(row.Refused),
			Bytes:   float64(row.Bytes),
			Latency: time.Duration(row.Latency),
		})
	}
	return r, nil
}
