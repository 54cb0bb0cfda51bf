package yuccaburn

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
)

const (
	// Topic is the bus topic of copies.
	Topic = "burn"
	// ReplicationInterval is how often an entry gives a copy of its counts to another.
	// A killed entry loses what it counted since.
	ReplicationInterval = 15 * time.Second
	// keepLength is how long copies of ended runs are held.
	keepLength = 90 * 24 * time.Hour
	copies     = 2
	callLimit  = 2 * time.Second
)

// Transport is the part of a bus that copies need.
type Transport interface {
	Handle(topic string, h yuccapeer.Handler)
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// Service records an entry's requests and keeps copies of other entries'
// counts. Make one with New.
type Service struct {
	self    string
	run     string
	bus     Transport
	members func() []string
	log     zerolog.Logger
	windows *Windows

	mu     sync.Mutex
	seq    uint64
	keep   SnapshotSet
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a service for the entry with the given name. The function members
// names the entries that are believed alive.
func New(self string, bus Transport, members func() []string, log zerolog.Logger) *Service {
	return &Service{
		self:    self,
		run:     uuid.NewString(),
		bus:     bus,
		members: members,
		log:     log,
		windows: NewWindows(),
		done:    make(chan struct{}),
	}
}

// Windows returns where the entry records its own requests.
func (s *Service) Windows() *Windows { return s.windows }

// Start implements yuccakernel.Service.
func (s *Service) Start(ctx context.Context, group *errgroup.Group) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.bus.Handle(Topic, s.take)
	group.Go(func() error {
		defer close(s.done)
		s.spread(ctx)
		return nil
	})
	return nil
}

// Stop hands the counts over and ends the service.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	<-s.done
	s.send(ctx, true)
	return nil
}

// Done implements yuccakernel.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

func (s *Service) spread(ctx context.Context) {
	tick := time.NewTicker(ReplicationInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.send(ctx, false)
		case <-ctx.Done():
			return
		}
	}
}

// send gives a copy to the keepers of this entry. A last copy takes with it
// what the entry keeps for others.
func (s *Service) send(ctx context.Context, last bool) {
	all := []Snapshot{s.own(last)}
	if last {
		all = append(all, s.kept().Snapshots()...)
	}
	for _, c := range all {
		body, err := encodeCopy(c)
		if err != nil {
			s.log.Error().Err(err).Msg("burn_copy_unreadable")
			continue
		}
		s.sendTo(ctx, keepers(c.Origin, s.self, s.members()), body)
	}
}

func (s *Service) sendTo(ctx context.Context, names []string, body []byte) {
	for _, name := range names {
		limited, cancel := context.WithTimeout(ctx, callLimit)
		_, err := s.bus.Call(limited, name, Topic, body)
		cancel()
		if err != nil {
			s.log.Debug().Err(err).Str("to", name).Msg("burn_copy_not_sent")
		}
	}
}

// keepers returns the members that keep the copies of an origin: the same ones
// for everybody who knows the same members.
func keepers(origin, self string, members []string) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(name string) bool { return name == origin || name == self })
	slices.SortFunc(others, func(a, b string) int {
		x, y := xxhash.Sum64String(origin+"/"+a), xxhash.Sum64String(origin+"/"+b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return others[:min(copies, len(others))]
}

func (s *Service) own(last bool) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return Snapshot{Origin: s.self, Run: s.run, Seq: s.seq, At: time.Now(), Last: last, Windows: s.windows}
}

func (s *Service) kept() SnapshotSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keep
}

// Snapshots returns what the entry knows: its own counts and the copies it keeps.
func (s *Service) Snapshots() SnapshotSet { return s.kept().With(s.own(false)) }

func (s *Service) take(_ context.Context, _ string, body []byte) ([]byte, error) {
	c, err := decodeCopy(body, time.Now())
	if err != nil {
		return nil, err
	}
	if c.Origin == s.self && c.Run == s.run {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = s.keep.With(c).Without(time.Now().Add(-keepLength))
	return nil, nil
}

func encodeCopy(c Snapshot) ([]byte, error) {
	windows, err := c.Windows.Encode()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&SnapshotMessage{Origin: c.Origin, Run: c.Run, Seq: c.Seq, At: c.At.UnixNano(), Last: c.Last, Windows: windows})
}

func decodeCopy(body []byte, now time.Time) (Snapshot, error) {
	m := &SnapshotMessage{}
	if err := proto.Unmarshal(body, m); err != nil {
		return Snapshot{}, yuccaerror.New(yuccaerror.Protocol, "copy of windows: %w", err)
	}
	if m.Origin == "" || m.Run == "" {
		return Snapshot{}, yuccaerror.New(yuccaerror.Protocol, "copy of windows has no origin")
	}
	windows, err := DecodeWindows(m.Windows, now)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Origin: m.Origin, Run: m.Run, Seq: m.Seq, At: time.Unix(0, m.At), Last: m.Last, Windows: windows}, nil
}
