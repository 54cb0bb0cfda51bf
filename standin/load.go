package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccawell.example/core/yuccaconfig"
	"yuccawell.example/core/yuccasleep"
)

// loadSettings is the settings file of the load command, which generates the
// callers' requests.
type loadSettings struct {
	// Entries are the entries' addresses for callers, tried in order for the first
	// lookup.
	Entries []string `toml:"entries"`
	// Admins are the entries' admin addresses, polled for the headroom.
	Admins []string `toml:"admins"`
	// Out is the file for the results as JSON lines; empty means standard output.
	Out string `toml:"out"`
	// Delay is added before each request: the network delay between caller and
	// entry.
	Delay yuccaconfig.Duration `toml:"delay"`
	// Streams run at the same time in every phase.
	Streams []streamSettings `toml:"stream"`
	// Phases run one after the other.
	Phases []phaseSettings `toml:"phase"`
}

// streamSettings is the load of one service from one region.
type streamSettings struct {
	// Service is the name of the service.
	Service string `toml:"service"`
	// Host is the Host header of the requests.
	Host string `toml:"host"`
	// Caller is the first client address; it lies in the region that the requests
	// come from.
	Caller string `toml:"caller"`
	// Callers is the number of consecutive client addresses, from Caller on, that
	// share the rate. Values below 1 mean 1.
	Callers int `toml:"callers"`
	// Rate is the mean number of requests per second in a phase with factor 1.
	Rate float64 `toml:"rate"`
	// Method is the HTTP method. A POST request must run at most once.
	Method string `toml:"method"`
	// Path is the URL path of the requests.
	Path string `toml:"path"`
	// Size is the requested response size in bytes.
	Size int `toml:"size"`
	// Deadline is the deadline sent with each request; zero means none.
	Deadline yuccaconfig.Duration `toml:"deadline"`
}

// phaseSettings is a section of the run with a constant rate.
type phaseSettings struct {
	// Name identifies the phase in the results.
	Name string `toml:"name"`
	// Length is how long the phase lasts; it must be positive.
	Length yuccaconfig.Duration `toml:"length"`
	// Factor multiplies the rates of all streams; it must be 0 or more.
	Factor float64 `toml:"factor"`
}

// Validate implements yuccaconfig.Validator.
func (s *loadSettings) Validate() []yuccaconfig.Problem {
	var problems []yuccaconfig.Problem
	if len(s.Entries) == 0 {
		problems = append(problems, yuccaconfig.Problem{Key: "entries", Message: "missing", Allowed: "addresses of entries"})
	}
	for _, e := range s.Entries {
		problems = append(problems, checkAddr("entries", e)...)
	}
	for _, p := range s.Phases {
		if p.Length <= 0 || p.Factor < 0 {
			problems = append(problems, yuccaconfig.Problem{Key: "phase", Message: "length or factor out of range", Allowed: "a positive length and a factor of 0 or more"})
		}
	}
	return problems
}

// arrivalSeed seeds the arrival times of requests, which are the same in each run.
const arrivalSeed = 1

// load is one run of the load generator. It is an open loop: requests are sent
// when they are due, even while earlier ones are still in flight.
type load struct {
	set     *loadSettings
	callers []*caller
	mu      sync.Mutex
	// phase is the index of the current phase.
	phase int
	// results holds one result for each phase.
	results []*phaseResult
	sampler headroomSampler
}

// runLoad runs all phases, waits for the responses and writes the results.
func runLoad(ctx context.Context, set *loadSettings) error {
	l := &load{set: set, sampler: headroomSampler{admins: set.Admins}}
	for _, p := range set.Phases {
		l.results = append(l.results, newPhaseResult(p.Name))
	}
	for _, s := range set.Streams {
		callers, err := newCallers(s, set.Entries)
		if err != nil {
			return err
		}
		for _, c := range callers {
			c.number = uint64(len(l.callers))
			l.callers = append(l.callers, c)
		}
	}
	group := &errgroup.Group{}
	l.runPhases(ctx, group)
	if err := group.Wait(); err != nil {
		return err
	}
	return l.write()
}

// runPhases runs the phases one after the other. It starts the requests in group
// and does not wait for them.
func (l *load) runPhases(ctx context.Context, group *errgroup.Group) {
	progress := time.NewTicker(time.Second)
	defer progress.Stop()
	for i, p := range l.set.Phases {
		l.mu.Lock()
		l.phase = i
		l.mu.Unlock()
		l.runPhase(ctx, group, p, l.results[i], progress.C)
	}
}

// runPhase runs one phase and prints its progress to standard error on each tick.
func (l *load) runPhase(ctx context.Context, group *errgroup.Group, p phaseSettings, result *phaseResult, tick <-chan time.Time) {
	phaseCtx, stop := context.WithTimeout(ctx, time.Duration(p.Length))
	defer stop()
	streams := &errgroup.Group{}
	streams.Go(func() error {
		l.sampler.run(phaseCtx, result.recordHeadroom)
		return nil
	})
	for _, c := range l.callers {
		streams.Go(func() error {
			l.generate(phaseCtx, group, c, p.Factor, result)
			return nil
		})
	}
	for phaseCtx.Err() == nil {
		select {
		case <-tick:
			fmt.Fprintf(os.Stderr, "phase=%s %s\n", p.Name, result.progress())
		case <-phaseCtx.Done():
		}
	}
	_ = streams.Wait()
}

// generate starts a caller's requests in group until ctx ends. Arrivals are a
// Poisson process of the stream's rate times factor; the caller's number
// determines their times. The latency of a request counts from the time at which
// it was due.
func (l *load) generate(ctx context.Context, group *errgroup.Group, c *caller, factor float64, result *phaseResult) {
	rate := c.set.Rate * factor
	if rate <= 0 {
		<-ctx.Done()
		return
	}
	arrivals := rand.New(rand.NewPCG(arrivalSeed, c.number))
	due := time.Now()
	for {
		due = due.Add(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
		if !yuccasleep.For(ctx, time.Until(due)) {
			return
		}
		arrival := due
		group.Go(func() error {
			yuccasleep.For(context.Background(), time.Duration(l.set.Delay))
			result.add(c.set.Service, c.send(), time.Since(arrival))
			return nil
		})
	}
}

// write writes the results to the configured file or to standard output.
func (l *load) write() error {
	out := os.Stdout
	if l.set.Out != "" {
		f, err := os.Create(l.set.Out)
		if err != nil {
			return err
		}
		defer f.Close()
		out = f
	}
	return writeResults(out, l.results)
}
