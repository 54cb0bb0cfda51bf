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
	"yuccawell.example/core/yuccapause"
)

// loadSettings is the settings file of a load.
type loadSettings struct {
	// Entries are tried in turn for the first look-up.
	Entries []string `toml:"entries"`
	// Admins are the entries' addresses for operators, asked for the headroom.
	Admins []string `toml:"admins"`
	// Out is the file for the result as JSON; empty means standard output.
	Out string `toml:"out"`
	// Delay is added before each request, for the way from caller to entry.
	Delay   yuccaconfig.Duration `toml:"delay"`
	Streams []streamSettings     `toml:"stream"`
	Phases  []phaseSettings      `toml:"phase"`
}

// streamSettings is the load of one service from one region.
type streamSettings struct {
	Service string `toml:"service"`
	Host    string `toml:"host"`
	// Caller is an address in the region where the requests arise.
	Caller string `toml:"caller"`
	// Callers is how many addresses, from Caller upwards, share the rate.
	Callers int `toml:"callers"`
	// Rate is in requests per second.
	Rate   float64 `toml:"rate"`
	Method string  `toml:"method"`
	Path   string  `toml:"path"`
	// Size is the length of the answer's body in bytes.
	Size int `toml:"size"`
	// Deadline is passed on with each request; zero leaves it out.
	Deadline yuccaconfig.Duration `toml:"deadline"`
}

type phaseSettings struct {
	Name   string               `toml:"name"`
	Length yuccaconfig.Duration `toml:"length"`
	// Factor multiplies the rates.
	Factor float64 `toml:"factor"`
}

// Validate implements yuccaconfig.Validator.
func (s *loadSettings) Validate() []yuccaconfig.Problem {
	var faults []yuccaconfig.Problem
	if len(s.Entries) == 0 {
		faults = append(faults, yuccaconfig.Problem{Key: "entries", Message: "missing", Allowed: "addresses of entries"})
	}
	for _, e := range s.Entries {
		faults = append(faults, checkAddr("entries", e)...)
	}
	for _, p := range s.Phases {
		if p.Length <= 0 || p.Factor < 0 {
			faults = append(faults, yuccaconfig.Problem{Key: "phase", Message: "length or factor out of range", Allowed: "a positive length and a factor of 0 or more"})
		}
	}
	return faults
}

// arrivalSeed fixes the times at which requests are due.
const arrivalSeed = 1

// load is one run. Arrivals follow the schedule whatever the answers do.
type load struct {
	set     *loadSettings
	callers []*caller
	mu      sync.Mutex
	phase   int
	results []*phaseResult
	sampler sampler
}

func runLoad(ctx context.Context, set *loadSettings) error {
	l := &load{set: set, sampler: sampler{admins: set.Admins}}
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
	l.drive(ctx, group)
	if err := group.Wait(); err != nil {
		return err
	}
	return l.write()
}

func (l *load) drive(ctx context.Context, group *errgroup.Group) {
	progress := time.NewTicker(time.Second)
	defer progress.Stop()
	for i, p := range l.set.Phases {
		l.mu.Lock()
		l.phase = i
		l.mu.Unlock()
		l.drivePhase(ctx, group, p, l.results[i], progress.C)
	}
}

func (l *load) drivePhase(ctx context.Context, group *errgroup.Group, p phaseSettings, result *phaseResult, tick <-chan time.Time) {
	inner, stop := context.WithTimeout(ctx, time.Duration(p.Length))
	defer stop()
	streams := &errgroup.Group{}
	streams.Go(func() error {
		l.sampler.run(inner, result.sampled)
		return nil
	})
	for _, c := range l.callers {
		streams.Go(func() error {
			l.stream(inner, group, c, p.Factor, result)
			return nil
		})
	}
	for inner.Err() == nil {
		select {
		case <-tick:
			fmt.Fprintf(os.Stderr, "phase=%s %s\n", p.Name, result.line())
		case <-inner.Done():
		}
	}
	_ = streams.Wait()
}

// stream starts requests at random times of the given rate, fixed beforehand by
// the caller's number. A request's latency counts from the moment at which it
// was due.
func (l *load) stream(ctx context.Context, group *errgroup.Group, c *caller, factor float64, result *phaseResult) {
	rate := c.set.Rate * factor
	if rate <= 0 {
		<-ctx.Done()
		return
	}
	arrivals := rand.New(rand.NewPCG(arrivalSeed, c.number))
	due := time.Now()
	for {
		due = due.Add(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
		if !yuccapause.For(ctx, time.Until(due)) {
			return
		}
		at := due
		group.Go(func() error {
			yuccapause.For(context.Background(), time.Duration(l.set.Delay))
			result.add(c.set.Service, c.call(), time.Since(at))
			return nil
		})
	}
}

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
