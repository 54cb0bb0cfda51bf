package yuccapoison

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
)

const (
	strikeTopic = "poison.strike"
	// strikeLimit is how many servers in a row may die of a request before it is
	// stopped.
	strikeLimit = 3
	// strikeLife is how long strikes count.
	strikeLife = 5 * time.Minute
	// maxStruck bounds how many requests with strikes are remembered.
	maxStruck = 4096
	// maxAsked bounds how many servers are asked at once whether they live.
	maxAsked = 32
)

// Publisher is the part of a bus that strikes need.
type Publisher interface {
	Handle(topic string, h yuccapeer.Handler)
	Publish(topic string, body []byte)
}

// CrashLimiter stops a request after servers have died of it several times in a row.
// Unlike a Guard it makes no request wait for another: one server that dies by
// itself gives a strike to each request that it was running, and the first of
// them that is answered is cleared. Make one with NewCrashLimiter.
type CrashLimiter struct {
	bus   Publisher
	alive func(server string) bool
	log   zerolog.Logger
	group errgroup.Group

	mu     sync.Mutex
	struck map[Fingerprint]struck
}

// struck is how often servers died of a request in a row, and when the last did.
type struck struct {
	count int
	at    time.Time
}

// NewCrashLimiter returns strikes that are shared with the other entries over a bus.
// The function alive tells a connection that broke from a server that died; it
// is asked beside the request, which does not wait for it.
func NewCrashLimiter(bus Publisher, alive func(server string) bool, log zerolog.Logger) *CrashLimiter {
	s := &CrashLimiter{bus: bus, alive: alive, log: log, struck: map[Fingerprint]struck{}}
	s.group.SetLimit(maxAsked)
	bus.Handle(strikeTopic, s.hear)
	return s
}

// Check returns an error of kind Poison for a request with too many strikes.
func (s *CrashLimiter) Check(p Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.struck[p]; ok && v.count >= strikeLimit && time.Since(v.at) < strikeLife {
		return yuccaerror.New(yuccaerror.Poison, "%d servers in a row died with this request in flight", v.count)
	}
	return nil
}

// Start notes that a request is about to be sent.
func (s *CrashLimiter) Start(Fingerprint, string) {}

// End notes that the connection of a request broke or that it was answered.
func (s *CrashLimiter) End(p Fingerprint, server string, died bool) {
	if !died {
		if s.clear(p) {
			s.tell(&CrashNotice{Fingerprint: uint64(p), Cleared: true})
		}
		return
	}
	s.group.TryGo(func() error {
		if !s.alive(server) {
			s.died(p, server)
		}
		return nil
	})
}

// Close waits for what is still being asked.
func (s *CrashLimiter) Close() { _ = s.group.Wait() }

func (s *CrashLimiter) died(p Fingerprint, server string) {
	count := s.strike(p, time.Now())
	s.log.Info().Uint64("print", uint64(p)).Str("server", server).Int("strikes", count).Msg("request_struck")
	s.tell(&CrashNotice{Fingerprint: uint64(p)})
}

func (s *CrashLimiter) strike(p Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.struck) >= maxStruck {
		s.forget(now)
	}
	v := s.struck[p]
	if now.Sub(v.at) > strikeLife {
		v.count = 0
	}
	v.count++
	v.at = now
	s.struck[p] = v
	return v.count
}

// forget drops old strikes, and all when that is not enough. The caller holds
// mu.
func (s *CrashLimiter) forget(now time.Time) {
	for p, v := range s.struck {
		if now.Sub(v.at) > strikeLife {
			delete(s.struck, p)
		}
	}
	if len(s.struck) >= maxStruck {
		clear(s.struck)
	}
}

func (s *CrashLimiter) clear(p Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.struck[p]
	delete(s.struck, p)
	return ok
}

func (s *CrashLimiter) tell(m *CrashNotice) {
	body, err := proto.Marshal(m)
	if err != nil {
		s.log.Error().Err(err).Msg("strike_not_encoded")
		return
	}
	s.bus.Publish(strikeTopic, body)
}

func (s *CrashLimiter) hear(_ context.Context, from string, body []byte) ([]byte, error) {
	var m CrashNotice
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "strike of %s: %w", from, err)
	}
	if m.GetCleared() {
		s.clear(Fingerprint(m.GetFingerprint()))
		return nil, nil
	}
	s.strike(Fingerprint(m.GetFingerprint()), time.Now())
	return nil, nil
}
