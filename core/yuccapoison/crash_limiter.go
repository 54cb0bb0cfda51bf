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
	// strikeTopic is the bus topic of CrashNotice.
	strikeTopic = "poison.strike"
	// maxCrashes is how many servers in a row may die with a request in
	// flight before the request is stopped.
	maxCrashes = 3
	// crashTTL is how long crashes count after the last one.
	crashTTL = 5 * time.Minute
	// maxCrashRecords is how many fingerprints with crashes are remembered.
	maxCrashRecords = 4096
	// maxLivenessChecks is how many servers are checked at the same time. A
	// crash beyond that is not counted.
	maxLivenessChecks = 32
)

// Publisher is the part of a bus that a CrashLimiter needs.
type Publisher interface {
	// Handle registers the handler of a topic.
	Handle(topic string, h yuccapeer.Handler)
	// Publish sends a message to all other members of the bus.
	Publish(topic string, body []byte)
}

// CrashLimiter stops a request after several servers in a row died with it
// in flight. Unlike a Guard it makes no request wait for another. A server
// that dies for another reason counts as one crash for each request that it
// was running; the first answer to such a request clears its crashes. It is
// safe for concurrent use. Make one with NewCrashLimiter.
type CrashLimiter struct {
	// bus carries the crash notices.
	bus Publisher
	// alive reports whether a server is alive.
	alive func(server string) bool
	// log receives the crashes.
	log zerolog.Logger
	// group runs the liveness checks.
	group errgroup.Group

	// mu guards records.
	mu sync.Mutex
	// records holds the fingerprints with crashes.
	records map[Fingerprint]crashRecord
}

// crashRecord counts the servers in a row that died with a fingerprint in
// flight.
type crashRecord struct {
	// count is the number of servers.
	count int
	// at is when the last death was recorded.
	at time.Time
}

// NewCrashLimiter returns a CrashLimiter that shares its records with the
// other entries over a bus. alive reports whether a server is alive, to tell
// a broken connection from a dead server. It runs in the background; the
// request does not wait for it.
func NewCrashLimiter(bus Publisher, alive func(server string) bool, log zerolog.Logger) *CrashLimiter {
	s := &CrashLimiter{bus: bus, alive: alive, log: log, records: map[Fingerprint]crashRecord{}}
	s.group.SetLimit(maxLivenessChecks)
	bus.Handle(strikeTopic, s.onNotice)
	return s
}

// Check returns an error of kind Quarantined for a fingerprint with maxCrashes or
// more if the last crash is less than crashTTL ago.
func (s *CrashLimiter) Check(p Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.records[p]; ok && v.count >= maxCrashes && time.Since(v.at) < crashTTL {
		return yuccaerror.New(yuccaerror.Quarantined, "%d servers in a row died with this request in flight", v.count)
	}
	return nil
}

// Start does nothing. It is there so that a CrashLimiter has the methods of
// a Guard.
func (s *CrashLimiter) Start(Fingerprint, string) {}

// End records the end of an attempt. Broken counts as a crash if the server is not alive.
// Answered clears the crashes of the request, and nothing else does.
func (s *CrashLimiter) End(p Fingerprint, server string, o Outcome) {
	switch o {
	case Answered:
		if s.clear(p) {
			s.broadcast(&CrashNotice{Fingerprint: uint64(p), Cleared: true})
		}
	case Broken:
		s.group.TryGo(func() error {
			if !s.alive(server) {
				s.recordCrash(p, server)
			}
			return nil
		})
	}
}

// Close waits for the running liveness checks.
func (s *CrashLimiter) Close() { _ = s.group.Wait() }

// recordCrash records a crash and tells the other entries.
func (s *CrashLimiter) recordCrash(p Fingerprint, server string) {
	count := s.addCrash(p, time.Now())
	s.log.Info().Uint64("print", uint64(p)).Str("server", server).Int("strikes", count).Msg("request_struck")
	s.broadcast(&CrashNotice{Fingerprint: uint64(p)})
}

// addCrash counts a crash and returns the number of crashes in a row.
func (s *CrashLimiter) addCrash(p Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) >= maxCrashRecords {
		s.evict(now)
	}
	v := s.records[p]
	if now.Sub(v.at) > crashTTL {
		v.count = 0
	}
	v.count++
	v.at = now
	s.records[p] = v
	return v.count
}

// evict drops expired records, and then all records if the map is still
// full. The caller holds mu.
func (s *CrashLimiter) evict(now time.Time) {
	for p, v := range s.records {
		if now.Sub(v.at) > crashTTL {
			delete(s.records, p)
		}
	}
	if len(s.records) >= maxCrashRecords {
		clear(s.records)
	}
}

// clear drops the record of a fingerprint and reports whether there was one.
func (s *CrashLimiter) clear(p Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.records[p]
	delete(s.records, p)
	return ok
}

// broadcast publishes a notice to the other entries.
func (s *CrashLimiter) broadcast(m *CrashNotice) {
	body, err := proto.Marshal(m)
	if err != nil {
		s.log.Error().Err(err).Msg("strike_not_encoded")
		return
	}
	s.bus.Publish(strikeTopic, body)
}

// onNotice handles the notice of another entry.
func (s *CrashLimiter) onNotice(_ context.Context, from string, body []byte) ([]byte, error) {
	var m CrashNotice
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode crash notice from %s: %w", from, err)
	}
	if m.GetCleared() {
		s.clear(Fingerprint(m.GetFingerprint()))
		return nil, nil
	}
	s.addCrash(Fingerprint(m.GetFingerprint()), time.Now())
	return nil, nil
}
