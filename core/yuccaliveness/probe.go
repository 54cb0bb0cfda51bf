package yuccaliveness

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// probeTimeout bounds the wait for a connection to a silent entry.
	probeTimeout = time.Second
	// maxProbes is the number of silent entries that are connected to at a time.
	maxProbes = 32
)

// TCPProber is the Prober that opens TCP connections. The zero value is ready to use.
type TCPProber struct{}

// Accepts implements Prober.
func (TCPProber) Accepts(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// probeSilent connects to the listed entries while none of them sends heartbeats.
func (s *Monitor) probeSilent(ctx context.Context) {
	group := &errgroup.Group{}
	group.SetLimit(maxProbes)
	for _, e := range s.toProbe(time.Now()) {
		group.Go(func() error {
			accepts := s.prober.Accepts(ctx, e.ClientAddr)
			if ctx.Err() == nil {
				s.recordProbe(e.Name, accepts)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// toProbe returns the entries that are to be connected to now. The entry's other links are
// looked at only while it is isolated, since that may take a call to the platform.
func (s *Monitor) toProbe(now time.Time) []Entry {
	s.mu.Lock()
	isolated, since := s.state.Isolated(now), s.state.OverdueSince()
	s.mu.Unlock()
	work := isolated && s.local.LinksWorkSince(since)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.SetLinksWork(work)
	return s.state.ToProbe(now)
}

func (s *Monitor) recordProbe(name string, accepts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.isolation.presumesAlive(name)
	s.state.RecordProbe(time.Now(), name, accepts)
	if after := s.state.isolation.presumesAlive(name); after != before {
		s.log.Info().Str("name", name).Bool("alive", after).Msg("silent_entry_probed")
		s.expireChoices()
	}
}
