package yuccapeer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"yuccawell.example/core/yuccaerror"
)

const (
	// dialTimeout limits the TCP connect of one dial.
	dialTimeout = 2 * time.Second
	// passiveDialDelay is how long the entry with the higher name waits for the
	// other one to open the session before it dials itself.
	passiveDialDelay = 500 * time.Millisecond
	// baseBackoff is the base delay of the exponential backoff, before jitter.
	// Every failed dial in a row doubles the delay.
	baseBackoff = 200 * time.Millisecond
	// maxBackoff is the longest delay between two dials.
	maxBackoff = 10 * time.Second
	// failureTTL is how long the failed dials of a peer outside the mesh are
	// remembered, so that a lost peer does not return to the mesh at once.
	failureTTL = 5 * time.Second
)

// target is the state of the dials to one peer or seed address.
type target struct {
	// since is when the entry first wanted a session to the peer.
	since time.Time
	// nextDial is the earliest time of the next dial.
	nextDial time.Time
	// failures is how many dials in a row have failed.
	failures int
	// dialing is closed when the current dial ends; nil when none is in
	// progress.
	dialing chan struct{}
}

// backoff returns the delay after a number of failed dials. The jitter from 0
// to 1 selects a delay between half and all of the exponential value.
func backoff(failures int, jitter float64) time.Duration {
	delay := min(maxBackoff, baseBackoff<<min(failures, 16))
	return time.Duration(float64(delay) * (0.5 + jitter/2))
}

// due reports whether to dial now. The entry with the lower name dials first,
// so that a pair rarely opens two sessions.
func (t *target) due(now time.Time, lower bool) bool {
	return t.dialing == nil && now.After(t.nextDial) && (lower || now.Sub(t.since) > passiveDialDelay)
}

// failuresExpired reports whether the failures of a peer outside the mesh are
// old enough to be forgotten.
func (t *target) failuresExpired(now time.Time) bool {
	return t.dialing == nil && now.Sub(t.nextDial) > failureTTL
}

// dialDue dials the peers of the mesh that are due, and the seeds while there
// is no session. It forgets the expired failures of all others.
func (p *Peers) dialDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forgetUnlisted(now) {
		p.rebuildMesh()
	}
	wanted := map[string]string{}
	for _, group := range []map[string]string{p.mesh.domainPeers, p.mesh.gatewayPeers} {
		for name, addr := range group {
			if addr != "" {
				wanted[name] = addr
			}
		}
	}
	if len(p.sessions) == 0 {
		for _, addr := range p.settings.Seeds {
			wanted[addr] = addr
		}
	}
	changed := false
	for name := range p.targets {
		if _, ok := wanted[name]; !ok && p.targets[name].failuresExpired(now) {
			delete(p.targets, name)
			changed = true
		}
	}
	for name, addr := range wanted {
		if _, connected := p.sessions[name]; connected {
			delete(p.targets, name)
			continue
		}
		if t := p.target(name, now); t.due(now, p.settings.Name < name) {
			p.startDial(name, addr, t)
		}
	}
	if changed {
		p.rebuildMesh()
	}
}

// target returns the dial state of a peer, a new one if there is none. The
// caller holds mu.
func (p *Peers) target(name string, now time.Time) *target {
	t, ok := p.targets[name]
	if !ok {
		t = &target{since: now}
		p.targets[name] = t
	}
	return t
}

// startDial dials a peer in the background unless a dial is in progress. The
// caller holds mu.
func (p *Peers) startDial(name, addr string, t *target) {
	if t.dialing != nil || p.ctx.Err() != nil {
		return
	}
	t.dialing = make(chan struct{})
	p.group.Go(func() error { return p.dialTarget(name, addr, t) })
}

// dialTarget dials a peer once and serves the resulting session until it ends.
// Only the first of several failures in a row is logged.
func (p *Peers) dialTarget(name, addr string, t *target) error {
	s, err := p.dial(p.ctx, addr)
	registered := err == nil && p.addSession(s)
	failures := p.finishDial(t, err)
	if failures == lostAfterFailures {
		p.updateMesh()
	}
	switch {
	case failures == 1 && p.ctx.Err() == nil:
		p.log.Warn().Err(err).Str("peer", name).Str("addr", addr).Msg("peer_unreachable")
	case registered:
		p.runSession(s)
	case err == nil:
		s.close()
	}
	return nil
}

// finishDial records the end of a dial and returns how many have failed in a
// row.
func (p *Peers) finishDial(t *target, err error) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(t.dialing)
	t.dialing = nil
	t.failures++
	if err == nil {
		t.failures = 0
	}
	t.nextDial = time.Now().Add(backoff(t.failures, rand.Float64()))
	return t.failures
}

// dial opens a session to the peer at an address.
func (p *Peers) dial(ctx context.Context, addr string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, yuccaerror.Wrap(yuccaerror.Unreachable, err)
	}
	return dialSession(countedConn{conn, &p.traffic}, p.hello())
}
