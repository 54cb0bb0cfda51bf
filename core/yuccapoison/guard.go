package yuccapoison

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapeer"
)

// The bus topics of messages between guards.
const (
	// reportTopic is the bus topic of SuspectReport.
	reportTopic = "poison.news"
	// probeTopic is the bus topic of ProbeRequest.
	probeTopic = "poison.turn"
)

const (
	// callTimeout is the timeout of a call to another entry.
	callTimeout = 250 * time.Millisecond
	// probeWait is how long one try to acquire the probe waits for it.
	probeWait = 100 * time.Millisecond
	// maxDirectCalls is the greatest number of entries that a report is sent
	// to by direct calls; for more entries it is published.
	maxDirectCalls = 16
)

// Options are the dependencies and limits of a Guard. A limit of zero means
// its default.
type Options struct {
	// Bus carries the messages between the guards of all entries.
	Bus yuccapeer.Bus
	// Self is the name of this entry.
	Self string
	// Members returns the names of the entries that are not leaving; nil
	// means none.
	Members func() []string
	// Alive reports whether a server accepts new connections, to tell a
	// closed connection from a dead server. Nil means that every broken
	// connection counts as a server death.
	Alive func(server string) bool
	// Log receives the events of the guard.
	Log zerolog.Logger

	// ProbeTimeout is how long a suspect waits for the probe before it is rejected;
	// the default is 2 s.
	ProbeTimeout time.Duration
	// Limits bound the State. The defaults are: Suspicion 5 min, Quarantine
	// 10 min, ProbeTTL 10 s, Passes 16 and MaxFingerprints 4096.
	Limits Limits
}

// withDefaults returns the options with defaults for the fields that are
// zero.
func (o Options) withDefaults() Options {
	if o.Members == nil {
		o.Members = func() []string { return nil }
	}
	if o.Alive == nil {
		o.Alive = func(string) bool { return false }
	}
	o.ProbeTimeout = orDuration(o.ProbeTimeout, 2*time.Second)
	o.Limits.Suspicion = orDuration(o.Limits.Suspicion, 5*time.Minute)
	o.Limits.Quarantine = orDuration(o.Limits.Quarantine, 10*time.Minute)
	o.Limits.ProbeTTL = orDuration(o.Limits.ProbeTTL, 10*time.Second)
	o.Limits.Passes = orInt(o.Limits.Passes, 16)
	o.Limits.MaxFingerprints = orInt(o.Limits.MaxFingerprints, 4096)
	return o
}

// orDuration returns d, or the default for zero.
func orDuration(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// orInt returns n, or the default for zero.
func orInt(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// Guard stops requests that crash servers, as the package comment describes.
// It is safe for concurrent use. Make one with New.
type Guard struct {
	// opt holds the options, with defaults for those that were zero.
	opt Options

	// mu guards the fields below.
	mu sync.RWMutex
	// state holds the suspects and quarantined fingerprints.
	state State
	// changed is closed and replaced when a probe may have become free.
	changed chan struct{}
	// attempts holds the attempts in flight at this entry.
	attempts map[attemptKey]attemptGroup
	// probes holds the probes that fingerprints have acquired at this entry.
	probes map[Fingerprint]*heldProbe
}

// heldProbe is the probe of a dead server that a fingerprint has acquired.
type heldProbe struct {
	// deadServer is the server whose suspect runs.
	deadServer string
	// runningOn is the server that runs the suspect; empty before the
	// attempt starts.
	runningOn string
}

// attemptKey identifies alike attempts on one server.
type attemptKey struct {
	// fingerprint is the fingerprint of the request.
	fingerprint Fingerprint
	// server is the name of the server.
	server string
}

// attemptGroup counts the alike attempts in flight on one server.
type attemptGroup struct {
	// count is the number of attempts.
	count int
	// started is when the last one started.
	started time.Time
}

// New returns a Guard and registers its handlers on the bus.
func New(opt Options) *Guard {
	opt = opt.withDefaults()
	g := &Guard{
		opt:      opt,
		state:    NewState(opt.Limits),
		changed:  make(chan struct{}),
		attempts: map[attemptKey]attemptGroup{},
		probes:   map[Fingerprint]*heldProbe{},
	}
	opt.Bus.Handle(reportTopic, g.onReport)
	opt.Bus.Handle(probeTopic, g.onProbeRequest)
	return g
}

// apply updates the state with a message. It notifies the requests that wait
// for a probe, except after Passed: that message is frequent and frees no
// probe.
func (g *Guard) apply(m Event) Command {
	g.mu.Lock()
	defer g.mu.Unlock()
	var cmd Command
	g.state, cmd = g.state.Update(m)
	if _, ok := m.(Passed); !ok {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	return cmd
}

// Check returns an error of kind Quarantined for a quarantined fingerprint. For a
// suspect it waits for the probe, and returns an error of kind Shed when it
// was not acquired within Options.ProbeTimeout.
func (g *Guard) Check(p Fingerprint) error {
	g.mu.RLock()
	hasRecords := len(g.state.records) > 0
	g.mu.RUnlock()
	if !hasRecords {
		return nil
	}
	deadline := time.Now().Add(g.opt.ProbeTimeout)
	for {
		now := time.Now()
		g.mu.RLock()
		quarantined := g.state.Quarantined(p, now)
		server, suspect := g.state.Suspect(p, now)
		g.mu.RUnlock()
		switch {
		case quarantined:
			return yuccaerror.New(yuccaerror.Quarantined, "servers died with this request in flight")
		case !suspect || g.acquireProbe(p, server):
			return nil
		case !now.Before(deadline):
			return yuccaerror.New(yuccaerror.Shed, "another request of server %s is being tried", server)
		}
	}
}

// Start records that an attempt is about to be sent to a server.
func (g *Guard) Start(p Fingerprint, server string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	f := attemptKey{p, server}
	g.attempts[f] = attemptGroup{g.attempts[f].count + 1, now}
	if h, ok := g.probes[p]; ok && h.runningOn == "" {
		h.runningOn = server
	}
}

// End records the end of an attempt. Broken counts as a server death, and as a run without
// one if the server is alive.
func (g *Guard) End(run Run, o Outcome) {
	p, server := run.Fingerprint, run.Server
	started := g.finishAttempt(attemptKey{p, server})
	defer g.releaseProbe(p, func(h *heldProbe) bool { return h.runningOn == server })
	if o == Unproven {
		return
	}
	if o == Broken && !g.opt.Alive(server) {
		g.mu.RLock()
		knownGood := g.state.KnownGood(p)
		g.mu.RUnlock()
		g.reportDeath(ServerDied{p, server, started, time.Now(), knownGood})
		return
	}
	if g.apply(Passed{p}) == TellCleared {
		g.broadcast(&SuspectReport{Cleared: []uint64{uint64(p)}})
	}
}

// finishAttempt removes an attempt and returns when the last attempt like it
// started.
func (g *Guard) finishAttempt(f attemptKey) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.attempts[f]
	if r.count <= 1 {
		delete(g.attempts, f)
	} else {
		g.attempts[f] = attemptGroup{r.count - 1, r.started}
	}
	return r.started
}

// reportDeath records a server death and tells the other entries, before the
// request may be sent again.
func (g *Guard) reportDeath(m ServerDied) {
	cmd := g.apply(m)
	g.opt.Log.Warn().Str("server", m.Server).Uint64("print", uint64(m.Fingerprint)).Bool("quarantined", cmd == NowQuarantined).Msg("server_died_with_request")
	g.broadcast(&SuspectReport{Deaths: []*Death{{
		Fingerprint: uint64(m.Fingerprint),
		Server:      m.Server,
		Started:     m.Started.UnixNano(),
		At:          m.At.UnixNano(),
		KnownGood:   m.KnownGood,
	}}})
}

// broadcast sends a report to all other entries. It waits for the direct
// calls, up to callTimeout.
func (g *Guard) broadcast(n *SuspectReport) {
	body, err := proto.Marshal(n)
	if err != nil {
		g.opt.Log.Error().Err(err).Msg("poison_news_not_encoded")
		return
	}
	others := slices.DeleteFunc(slices.Clone(g.opt.Members()), func(name string) bool { return name == g.opt.Self })
	if len(others) > maxDirectCalls {
		g.opt.Bus.Publish(reportTopic, body)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var group errgroup.Group
	for _, name := range others {
		group.Go(func() error {
			_, err := g.opt.Bus.Call(ctx, name, reportTopic, body)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		g.opt.Log.Info().Err(err).Msg("poison_news_lost")
	}
}

// onReport handles the report of another entry.
func (g *Guard) onReport(_ context.Context, _ string, body []byte) ([]byte, error) {
	var n SuspectReport
	if err := proto.Unmarshal(body, &n); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "decode suspect report: %w", err)
	}
	for _, d := range n.GetDeaths() {
		g.apply(ServerDied{Fingerprint(d.GetFingerprint()), d.GetServer(), time.Unix(0, d.GetStarted()), time.Unix(0, d.GetAt()), d.GetKnownGood()})
	}
	for _, p := range n.GetCleared() {
		g.apply(Cleared{Fingerprint(p)})
	}
	return nil, nil
}

// arbiter returns the entry that grants the probe of a dead server: the
// one with the highest rendezvous score. It is empty without members.
func arbiter(members []string, server string) string {
	best, bestScore := "", uint64(0)
	for _, name := range members {
		score := xxhash.Sum64String(strconv.Itoa(len(server)) + server + "/" + name)
		if best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// DialCheck returns an Alive function that opens a TCP connection to the
// server's address. A server without an address has been removed and counts
// as alive.
func DialCheck(addr func(server string) string, timeout time.Duration) func(string) bool {
	return func(server string) bool {
		to := addr(server)
		if to == "" {
			return true
		}
		c, err := net.DialTimeout("tcp", to, timeout)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	}
}
