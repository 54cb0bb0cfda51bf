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
	// Topic is the bus topic of requests for an entry's report.
	Topic = "demand"
	// Interval is the length of one measurement and the time between reports.
	Interval = 2 * time.Second
	// maxReportAge is the age up to which the last report of an entry that does
	// not answer remains in use.
	maxReportAge = 5 * time.Minute
	// callTimeout limits the time for fetching all reports.
	callTimeout = time.Second
	// maxConcurrentCalls limits the number of reports fetched concurrently.
	maxConcurrentCalls = 64
)

// Bus is the part of the message bus between entries that a Collector needs.
type Bus interface {
	// Handle registers the handler for calls on a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Call sends body to the named entry and returns its response.
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// Lease reports whether this entry holds the planner's lease.
type Lease interface {
	// Held returns the epoch of the lease and whether this entry holds it.
	Held() (epoch uint64, held bool)
}

// Collector measures the load of its entry, answers requests for the report, and
// collects the reports of the other entries while its entry holds the planner's
// lease. Create one with New.
type Collector struct {
	*yuccakernel.Worker

	// self is the name of the entry.
	self string
	// bus connects the entry to the others.
	bus Bus
	// members returns the names of the entries that are believed alive.
	members func() []string
	// lease is the planner's lease.
	lease Lease
	// inFlight returns the number of requests in flight to a service in a region.
	inFlight func(service, region string) int
	log      zerolog.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// counter counts the entry's requests of the current interval.
	counter Counter
	// latest is the latest report of each entry, this one included.
	latest map[string]entryReport
}

// entryReport is the latest measurement of one entry.
type entryReport struct {
	// endedAt is the time at which the measurement ended.
	endedAt time.Time
	// demands is the measurement by service and region. Age is not set.
	demands []yuccaplan.Demand
}

// New returns a Collector for the entry named self and registers its handler on
// the bus. The function members returns the names of the entries that are
// believed alive. The function inFlight returns the number of this entry's
// requests in flight to a service in a region.
func New(self string, bus Bus, members func() []string, lease Lease, inFlight func(service, region string) int, log zerolog.Logger) *Collector {
	s := &Collector{
		self:     self,
		bus:      bus,
		members:  members,
		lease:    lease,
		inFlight: inFlight,
		log:      log,
		latest:   map[string]entryReport{},
	}
	s.Worker = yuccakernel.NewWorker(s.run)
	bus.Handle(Topic, s.handleReport)
	return s
}

// Observe counts a request that has ended. It implements yuccarelay.Observer.
func (s *Collector) Observe(r yuccarelay.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.Add(r)
}

// Demands returns the latest measurement of every entry, with its age at the given
// time. It omits and deletes measurements older than five minutes.
func (s *Collector) Demands(now time.Time) []yuccaplan.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []yuccaplan.Demand
	for name, r := range s.latest {
		if now.Sub(r.endedAt) > maxReportAge {
			delete(s.latest, name)
			continue
		}
		for _, d := range r.demands {
			d.Age = max(now.Sub(r.endedAt), 0)
			all = append(all, d)
		}
	}
	return all
}

// run measures once per Interval and gathers reports while the lease is held.
func (s *Collector) run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.measure(time.Now())
			if _, held := s.lease.Held(); held {
				s.gather(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// measure stores this entry's report for the interval that ends now.
func (s *Collector) measure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[s.self] = entryReport{now, s.counter.Flush(now, s.self, s.inFlight)}
}

// gather fetches the reports of the other entries. For an entry that does not
// answer, the last report stays in use, with a growing age.
func (s *Collector) gather(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	group := &errgroup.Group{}
	group.SetLimit(maxConcurrentCalls)
	for _, name := range s.members() {
		if name == s.self {
			continue
		}
		group.Go(func() error {
			s.fetch(ctx, name)
			return nil
		})
	}
	_ = group.Wait()
}

// fetch fetches and stores the report of one entry. It logs a failure.
func (s *Collector) fetch(ctx context.Context, name string) {
	sentAt := time.Now()
	body, err := s.bus.Call(ctx, name, Topic, nil)
	if err != nil {
		s.log.Debug().Err(err).Str("from", name).Msg("demand_not_heard")
		return
	}
	r, err := decodeReport(name, body, sentAt)
	if err != nil {
		s.log.Warn().Err(err).Str("from", name).Msg("demand_unreadable")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[name] = r
}

// handleReport answers a call on Topic with this entry's latest report.
func (s *Collector) handleReport(context.Context, string, []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.latest[s.self]
	m := &Report{}
	for _, d := range own.demands {
		m.Measurements = append(m.Measurements, &Measurement{
			Service:  d.Service,
			Region:   d.Region,
			InFlight: float32(d.InFlight),
			Rate:     float32(d.Rate),
			Refused:  float32(d.Rejected),
			Bytes:    float32(d.Bytes),
			Latency:  int64(d.Latency),
			Age:      int64(time.Since(own.endedAt)),
		})
	}
	return proto.Marshal(m)
}

// decodeReport parses a Report. The end of the measurement is the time at which
// the call was sent, minus the age that the report states. Network delay thus
// makes a measurement appear older than it is, never younger. The error is of
// kind Protocol.
func decodeReport(entry string, body []byte, sentAt time.Time) (entryReport, error) {
	m := &Report{}
	if err := proto.Unmarshal(body, m); err != nil {
		return entryReport{}, yuccaerror.New(yuccaerror.Protocol, "decode demand report of entry %s: %w", entry, err)
	}
	r := entryReport{endedAt: sentAt}
	for _, row := range m.Measurements {
		r.endedAt = sentAt.Add(-max(time.Duration(row.Age), 0))
		r.demands = append(r.demands, yuccaplan.Demand{
			Entry:    entry,
			Service:  row.Service,
			Region:   row.Region,
			InFlight: float64(row.InFlight),
			Rate:     float64(row.Rate),
			Rejected: float64(row.Refused),
			Bytes:    float64(row.Bytes),
			Latency:  time.Duration(row.Latency),
		})
	}
	return r, nil
}
