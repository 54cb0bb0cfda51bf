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
	// Topic is the bus topic of replicated snapshots.
	Topic = "burn"
	// ReplicationInterval is how often an entry sends a snapshot of its counts to
	// other entries. An entry that is killed loses what it counted since the last
	// one.
	ReplicationInterval = 15 * time.Second
	// snapshotRetention is how long an entry keeps the snapshots of ended runs.
	snapshotRetention = 90 * 24 * time.Hour
	// replicaCount is the number of entries that receive each snapshot.
	replicaCount = 2
	// callTimeout is the limit for sending one snapshot to one entry.
	callTimeout = 2 * time.Second
)

// Transport is the part of the peer bus that replication needs.
type Transport interface {
	// Handle sets the function that handles the messages of a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Call sends a message to the named entry and returns its answer.
	Call(ctx context.Context, to, topic string, body []byte) ([]byte, error)
}

// Service holds an entry's own counts, replicates them to other entries and keeps
// the replicas of other entries' counts. Create it with New.
type Service struct {
	self string
	// run identifies this start of the entry.
	run string
	bus Transport
	// members returns the names of the entries that are considered alive.
	members func() []string
	log     zerolog.Logger
	windows *Windows

	mu sync.Mutex
	// seq is the sequence number of the newest own snapshot.
	seq uint64
	// replicas holds the snapshots received from other entries.
	replicas SnapshotSet
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a service for the entry with the name self. The function members
// returns the names of the entries that are considered alive.
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

// Windows returns the counts of the entry's own requests, for recording.
func (s *Service) Windows() *Windows { return s.windows }

// Start implements yuccakernel.Service.
func (s *Service) Start(ctx context.Context, group *errgroup.Group) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.bus.Handle(Topic, s.receive)
	group.Go(func() error {
		defer close(s.done)
		s.replicate(ctx)
		return nil
	})
	return nil
}

// Stop ends replication and sends a final snapshot, together with the replicas
// that the entry keeps, to other entries.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	<-s.done
	s.sendSnapshots(ctx, true)
	return nil
}

// Done implements yuccakernel.Service.
func (s *Service) Done() <-chan struct{} { return s.done }

// replicate sends a snapshot in every interval until ctx ends.
func (s *Service) replicate(ctx context.Context) {
	tick := time.NewTicker(ReplicationInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.sendSnapshots(ctx, false)
		case <-ctx.Done():
			return
		}
	}
}

// sendSnapshots sends a snapshot of this entry's counts to the entries that keep
// its replicas. With a final one it also passes on the replicas that this entry
// keeps for others.
func (s *Service) sendSnapshots(ctx context.Context, final bool) {
	all := []Snapshot{s.ownSnapshot(final)}
	if final {
		all = append(all, s.replicaSet().Snapshots()...)
	}
	for _, c := range all {
		body, err := encodeSnapshot(c)
		if err != nil {
			s.log.Error().Err(err).Msg("burn_copy_unreadable")
			continue
		}
		s.sendTo(ctx, replicaHolders(c.Origin, s.self, s.members()), body)
	}
}

// sendTo sends an encoded snapshot to each named entry. It logs and skips those
// that can't be reached.
func (s *Service) sendTo(ctx context.Context, names []string, body []byte) {
	for _, name := range names {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := s.bus.Call(limited, name, Topic, body)
		cancel()
		if err != nil {
			s.log.Debug().Err(err).Str("to", name).Msg("burn_copy_not_sent")
		}
	}
}

// replicaHolders returns the members, other than origin and self, that keep the
// replicas of an origin. It chooses them by rendezvous hash, so that senders that
// know the same members choose the same ones.
func replicaHolders(origin, self string, members []string) []string {
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
	return others[:min(replicaCount, len(others))]
}

// ownSnapshot returns a new snapshot of this entry's counts. It shares the live
// Windows, so the counts go on changing until they are encoded.
func (s *Service) ownSnapshot(final bool) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return Snapshot{Origin: s.self, Run: s.run, Seq: s.seq, At: time.Now(), Final: final, Windows: s.windows}
}

// replicaSet returns the replicas that this entry keeps.
func (s *Service) replicaSet() SnapshotSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas
}

// Snapshots returns the entry's own counts and the replicas that it keeps.
func (s *Service) Snapshots() SnapshotSet { return s.replicaSet().With(s.ownSnapshot(false)) }

// receive handles a snapshot from another entry. It ignores one of its own run.
func (s *Service) receive(_ context.Context, _ string, body []byte) ([]byte, error) {
	c, err := decodeSnapshot(body, time.Now())
	if err != nil {
		return nil, err
	}
	if c.Origin == s.self && c.Run == s.run {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas = s.replicas.With(c).WithoutBefore(time.Now().Add(-snapshotRetention))
	return nil, nil
}

// encodeSnapshot returns a snapshot as an encoded SnapshotMessage.
func encodeSnapshot(c Snapshot) ([]byte, error) {
	windows, err := c.Windows.Encode()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&SnapshotMessage{Origin: c.Origin, Run: c.Run, Seq: c.Seq, At: c.At.UnixNano(), Last: c.Final, Windows: windows})
}

// decodeSnapshot decodes the output of encodeSnapshot. Its errors are of kind
// Protocol.
func decodeSnapshot(body []byte, now time.Time) (Snapshot, error) {
	m := &SnapshotMessage{}
	if err := proto.Unmarshal(body, m); err != nil {
		return Snapshot{}, yuccaerror.New(yuccaerror.Protocol, "snapshot of counts: decode message: %w", err)
	}
	if m.Origin == "" || m.Run == "" {
		return Snapshot{}, yuccaerror.New(yuccaerror.Protocol, "snapshot of counts lacks its origin or run")
	}
	windows, err := DecodeWindows(m.Windows, now)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Origin: m.Origin, Run: m.Run, Seq: m.Seq, At: time.Unix(0, m.At), Final: m.Last, Windows: windows}, nil
}
