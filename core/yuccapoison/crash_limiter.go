package yuccapoison

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
)

const (
	// strikeTopic is the bus topic of CrashNotice.
	strikeTopic = "poison.strike"
	// maxLivenessChecks is how many servers are checked at the same time. A
	// crash beyond that is not counted.
	maxLivenessChecks = 32
)

// CrashBus is the part of a bus that a CrashLimiter needs.
type CrashBus interface {
	yuccapeer.Bus
	// Connected returns the names of the entries that can be called at once.
	Connected() []string
}

// CrashLimiter stops a request after several servers in a row died with it
// in flight. Unlike a Guard it makes no request wait. A server
// that dies for another reason counts as one crash for each request that it
// was running; the first answer to such a request clears its crashes. The entries
// tell each other of crashes as they happen, and its Learner asks those that have just been
// connected. It is safe for concurrent use. Make one with NewCrashLimiter.
type CrashLimiter struct {
	// learner asks other entries which requests are stopped.
	learner *yuccakernel.Worker
	bus     CrashBus
	// alive reports whether a server is alive.
	alive func(server string) bool
	// log receives the crashes.
	log zerolog.Logger
	// group runs the liveness checks.
	group errgroup.Group

	// mu guards records.
	mu      sync.Mutex
	records crashRecords
}

// NewCrashLimiter returns a CrashLimiter that shares its records with the
// other entries over a bus. alive reports whether a server is alive, to tell
// a broken connection from a dead server. It runs in the background; the
// request does not wait for it.
func NewCrashLimiter(bus CrashBus, alive func(server string) bool, log zerolog.Logger) *CrashLimiter {
	s := &CrashLimiter{bus: bus, alive: alive, log: log, records: crashRecords{}}
	s.learner = yuccakernel.NewWorker(s.learn)
	s.group.SetLimit(maxLivenessChecks)
	bus.Handle(strikeTopic, s.onNotice)
	bus.Handle(stoppedTopic, s.onAsked)
	return s
}

// Learner returns the service that asks each entry, when it has been connected, which
// requests are stopped.
func (s *CrashLimiter) Learner() *yuccakernel.Worker { return s.learner }

// Check returns an error of kind Quarantined for a fingerprint with maxCrashes or
// more if the last crash is less than crashTTL ago.
func (s *CrashLimiter) Check(p Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[p]; ok && r.stopped(time.Now()) {
		return yuccaerror.New(yuccaerror.Quarantined, "%d servers in a row died with this request in flight", r.count)
	}
	return nil
}

// Start does nothing. It is there so that a CrashLimiter has the methods of
// a Guard.
func (s *CrashLimiter) Start(Fingerprint, string) {}

// End records the end of an attempt. Broken counts as a crash if the server is not alive.
// Answered clears the crashes of the request, and nothing else does.
func (s *CrashLimiter) End(run Run, o Outcome) {
	switch o {
	case Answered:
		if s.clear(run.Fingerprint) {
			s.broadcast(&CrashNotice{Fingerprint: uint64(run.Fingerprint), Cleared: true})
		}
	case Broken:
		c := crash{death{run.Server, time.Now()}, run.Started}
		s.group.TryGo(func() error {
			if !s.alive(run.Server) {
				s.recordCrash(run.Fingerprint, c)
			}
			return nil
		})
	}
}

// Close waits for the running liveness checks.
func (s *CrashLimiter) Close() { _ = s.group.Wait() }

// recordCrash records a crash and tells the other entries.
func (s *CrashLimiter) recordCrash(p Fingerprint, c crash) {
	now := time.Now()
	count := s.addCrash(p, c, now)
	s.log.Info().Uint64("print", uint64(p)).Str("server", c.server).Int("strikes", count).Msg("request_struck")
	s.broadcast(&CrashNotice{Fingerprint: uint64(p), Server: c.server, StartedMsAgo: msAgo(now, c.started), DiedMsAgo: msAgo(now, c.at)})
}

// addCrash counts a crash and returns the number of crashes in a row.
func (s *CrashLimiter) addCrash(p Fingerprint, c crash, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.add(p, c, now).count
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
	p, now := Fingerprint(m.GetFingerprint()), time.Now()
	if m.GetCleared() {
		s.clear(p)
		return nil, nil
	}
	s.addCrash(p, crash{death{m.GetServer(), timeAgo(now, m.GetDiedMsAgo())}, timeAgo(now, m.GetStartedMsAgo())}, now)
	return nil, nil
}

// msAgo returns how long before now a time was, in milliseconds.
func msAgo(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at)).Milliseconds()) } // #nosec G115

// timeAgo returns the time that was a number of milliseconds before now, at most crashTTL.
func timeAgo(now time.Time, ms uint64) time.Time {
	return now.Add(-time.Duration(min(ms, uint64(crashTTL.Milliseconds()))) * time.Millisecond) // #nosec G115
}
