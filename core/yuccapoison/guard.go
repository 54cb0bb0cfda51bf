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

// The topics of messages between guards.
const (
	newsTopic = "poison.news"
	turnTopic = "poison.turn"
)

const (
	// callTimeout bounds a call of another entry.
	callTimeout = 250 * time.Millisecond
	// turnWait is how long a guard holds a call for a turn.
	turnWait = 100 * time.Millisecond
	// maxCalls is how many entries are told of a death one by one.
	maxCalls = 16
)

// Options are the dependencies and bounds of a Guard. Zero bounds get defaults.
type Options struct {
	Bus yuccapeer.Bus
	// Self is this entry's name.
	Self string
	// Members returns the names of the entries that are not leaving.
	Members func() []string
	// Alive reports whether a server takes new connections. It tells a
	// connection that was closed from a server that died; nil means that every
	// broken connection is a death.
	Alive func(server string) bool
	Log   zerolog.Logger

	// Hold is how long a suspect waits for its turn.
	Hold time.Duration
	// Limits bound what is remembered.
	Limits Limits
}

func (o Options) withDefaults() Options {
	if o.Members == nil {
		o.Members = func() []string { return nil }
	}
	if o.Alive == nil {
		o.Alive = func(string) bool { return false }
	}
	o.Hold = orDuration(o.Hold, 2*time.Second)
	o.Limits.Suspicion = orDuration(o.Limits.Suspicion, 5*time.Minute)
	o.Limits.Quarantine = orDuration(o.Limits.Quarantine, 10*time.Minute)
	o.Limits.ProbeTTL = orDuration(o.Limits.ProbeTTL, 10*time.Second)
	o.Limits.Passes = orInt(o.Limits.Passes, 16)
	o.Limits.Prints = orInt(o.Limits.Prints, 4096)
	return o
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

func orInt(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// Guard stops requests that kill servers. Make one with New.
type Guard struct {
	opt Options

	mu      sync.RWMutex
	state   State
	changed chan struct{}
	flights map[flight]run
	// held are the turns that prints have here.
	held map[Fingerprint]*grant
}

// grant is a turn of a dead server's suspects, and the flight that uses it.
type grant struct {
	dead string
	on   string
}

// flight is a print on a server.
type flight struct {
	print  Fingerprint
	server string
}

// run counts the requests of a flight and when the last one started.
type run struct {
	count   int
	started time.Time
}

// New returns a guard and registers what it answers to other entries.
func New(opt Options) *Guard {
	opt = opt.withDefaults()
	g := &Guard{
		opt:     opt,
		state:   NewState(opt.Limits),
		changed: make(chan struct{}),
		flights: map[flight]run{},
		held:    map[Fingerprint]*grant{},
	}
	opt.Bus.Handle(newsTopic, g.onNews)
	opt.Bus.Handle(turnTopic, g.onTurn)
	return g
}

// step wakes who waits for a turn, but after the many messages that change none.
func (g *Guard) step(m Message) Command {
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

// Check returns an error of kind Poison when requests of the print are
// quarantined. A suspect waits for its turn, and gets an error of kind Shed when
// that does not come.
func (g *Guard) Check(p Fingerprint) error {
	g.mu.RLock()
	known := len(g.state.records) > 0
	g.mu.RUnlock()
	if !known {
		return nil
	}
	limit := time.Now().Add(g.opt.Hold)
	for {
		now := time.Now()
		g.mu.RLock()
		stopped := g.state.Quarantined(p, now)
		server, suspect := g.state.Suspect(p, now)
		g.mu.RUnlock()
		switch {
		case stopped:
			return yuccaerror.New(yuccaerror.Poison, "servers died with this request in flight")
		case !suspect || g.turn(p, server):
			return nil
		case !now.Before(limit):
			return yuccaerror.New(yuccaerror.Shed, "another request of server %s is being tried", server)
		}
	}
}

// Start notes that a request is about to be sent.
func (g *Guard) Start(p Fingerprint, server string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	f := flight{p, server}
	g.flights[f] = run{g.flights[f].count + 1, now}
	if h, ok := g.held[p]; ok && h.on == "" {
		h.on = server
	}
}

// End notes that the connection of a request broke or that it is over.
func (g *Guard) End(p Fingerprint, server string, died bool) {
	started := g.land(flight{p, server})
	defer g.leave(p, func(h *grant) bool { return h.on == server })
	if died && !g.opt.Alive(server) {
		g.mu.RLock()
		familiar := g.state.KnownGood(p)
		g.mu.RUnlock()
		g.death(ServerDied{p, server, started, time.Now(), familiar})
		return
	}
	if g.step(Passed{p}) == TellCleared {
		g.tell(&SuspectReport{Cleared: []uint64{uint64(p)}})
	}
}

func (g *Guard) land(f flight) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.flights[f]
	if r.count <= 1 {
		delete(g.flights, f)
	} else {
		g.flights[f] = run{r.count - 1, r.started}
	}
	return r.started
}

// death tells the others before the request may be sent again.
func (g *Guard) death(m ServerDied) {
	cmd := g.step(m)
	g.opt.Log.Warn().Str("server", m.Server).Uint64("print", uint64(m.Fingerprint)).Bool("quarantined", cmd == NowQuarantined).Msg("server_died_with_request")
	g.tell(&SuspectReport{Deaths: []*Death{{
		Fingerprint: uint64(m.Fingerprint),
		Server:      m.Server,
		Started:     m.Started.UnixNano(),
		At:          m.At.UnixNano(),
		KnownGood:   m.KnownGood,
	}}})
}

func (g *Guard) tell(n *SuspectReport) {
	body, err := proto.Marshal(n)
	if err != nil {
		return
	}
	others := slices.DeleteFunc(slices.Clone(g.opt.Members()), func(name string) bool { return name == g.opt.Self })
	if len(others) > maxCalls {
		g.opt.Bus.Publish(newsTopic, body)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var group errgroup.Group
	for _, name := range others {
		group.Go(func() error {
			_, err := g.opt.Bus.Call(ctx, name, newsTopic, body)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		g.opt.Log.Info().Err(err).Msg("poison_news_lost")
	}
}

func (g *Guard) onNews(_ context.Context, _ string, body []byte) ([]byte, error) {
	var n SuspectReport
	if err := proto.Unmarshal(body, &n); err != nil {
		return nil, yuccaerror.New(yuccaerror.Protocol, "news: %w", err)
	}
	for _, d := range n.GetDeaths() {
		g.step(ServerDied{Fingerprint(d.GetFingerprint()), d.GetServer(), time.Unix(0, d.GetStarted()), time.Unix(0, d.GetAt()), d.GetKnownGood()})
	}
	for _, p := range n.GetCleared() {
		g.step(Cleared{Fingerprint(p)})
	}
	return nil, nil
}

// arbiter returns the entry that gives the turns of a dead server's suspects.
func arbiter(members []string, server string) string {
	best, top := "", uint64(0)
	for _, name := range members {
		score := xxhash.Sum64String(strconv.Itoa(len(server)) + server + "/" + name)
		if best == "" || score > top {
			best, top = name, score
		}
	}
	return best
}

// DialCheck returns an Alive that opens a connection to the address of a server. A
// server without an address was taken away and is not taken for dead.
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
