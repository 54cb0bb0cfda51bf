package yuccapeer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccapause"
)

const (
	connectInterval = 200 * time.Millisecond
	dialTimeout     = 2 * time.Second
	// patience is how long the entry with the higher name waits for the other
	// one to open the session.
	patience = 2 * time.Second
	// lostAfter is how many failed attempts make a peer count as lost.
	lostAfter    = 2
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 10 * time.Second
	// forgetAfter is how long the failures to reach a peer outside the mesh are
	// remembered, so that a lost peer does not come back to the mesh at once.
	forgetAfter = 5 * time.Second
	// keepIdle is how long a session outside the mesh is kept without a call.
	keepIdle = time.Minute
)

// target is a peer that the entry tries to reach.
type target struct {
	since    time.Time
	next     time.Time
	failures int
	// dialing is closed when the present attempt ends, nil between attempts.
	dialing chan struct{}
}

// backoff returns the pause after a number of failures; dice is from 0 to 1.
func backoff(failures int, dice float64) time.Duration {
	pause := min(maxBackoff, firstBackoff<<min(failures, 16))
	return time.Duration(float64(pause) * (0.5 + dice/2))
}

// due reports whether to dial now. The entry with the lower name dials first,
// so that a pair seldom opens two sessions.
func (t *target) due(now time.Time, lower bool) bool {
	return t.dialing == nil && now.After(t.next) && (lower || now.Sub(t.since) > patience)
}

// forgotten reports whether the failures of a peer outside the mesh no longer
// count.
func (t *target) forgotten(now time.Time) bool {
	return t.dialing == nil && now.Sub(t.next) > forgetAfter
}

// connect keeps the sessions that the mesh asks for until the bus stops.
func (p *Peers) connect() error {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		p.dialDue(time.Now())
		p.closeIdle()
		select {
		case <-ticker.C:
		case <-p.wake:
		case <-p.ctx.Done():
			return nil
		}
	}
}

// rewire derives the mesh anew.
func (p *Peers) rewire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{p.set.Name: true}
	for _, e := range p.view {
		known[e.Name] = true
	}
	p.seen.keep(known)
	p.remesh()
}

// remesh chooses the peers to keep sessions with. The caller holds mu.
func (p *Peers) remesh() {
	p.mesh = newMesh(p.set.Name, p.set.Domain, p.view, p.hopeful)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// hopeful reports whether a peer may be alive: it is connected or was not yet
// tried in vain. The caller holds mu.
func (p *Peers) hopeful(name string) bool {
	_, connected := p.sessions[name]
	t, tried := p.targets[name]
	return connected || !tried || t.failures < lostAfter
}

func (p *Peers) dialDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[string]string{}
	for _, group := range []map[string]string{p.mesh.near, p.mesh.far} {
		for name, addr := range group {
			wanted[name] = addr
		}
	}
	if len(p.sessions) == 0 {
		for _, addr := range p.set.Seeds {
			wanted[addr] = addr
		}
	}
	changed := false
	for name := range p.targets {
		if _, ok := wanted[name]; !ok && p.targets[name].forgotten(now) {
			delete(p.targets, name)
			changed = true
		}
	}
	for name, addr := range wanted {
		if _, connected := p.sessions[name]; connected {
			delete(p.targets, name)
			continue
		}
		if t := p.target(name, now); t.due(now, p.set.Name < name) {
			p.attempt(name, addr, t)
		}
	}
	if changed {
		p.remesh()
	}
}

// target returns the state of the attempts to reach a peer. The caller holds
// mu.
func (p *Peers) target(name string, now time.Time) *target {
	t, ok := p.targets[name]
	if !ok {
		t = &target{since: now}
		p.targets[name] = t
	}
	return t
}

// attempt starts an attempt to reach a peer unless one is under way. The caller
// holds mu.
func (p *Peers) attempt(name, addr string, t *target) {
	if t.dialing != nil || p.ctx.Err() != nil {
		return
	}
	t.dialing = make(chan struct{})
	p.group.Go(func() error { return p.dialTarget(name, addr, t) })
}

// dialTarget makes one attempt to reach a peer and serves the session that
// comes of it.
func (p *Peers) dialTarget(name, addr string, t *target) error {
	s, err := p.dial(p.ctx, addr)
	adopted := err == nil && p.adopt(s)
	failures := p.dialed(t, err)
	if failures == lostAfter {
		p.rewire()
	}
	switch {
	case failures == 1 && p.ctx.Err() == nil:
		p.log.Warn().Err(err).Str("peer", name).Str("addr", addr).Msg("peer_unreachable")
	case adopted:
		p.carry(s)
	case err == nil:
		s.close()
	}
	return nil
}

// dialed ends an attempt and returns how many have failed in a row.
func (p *Peers) dialed(t *target, err error) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(t.dialing)
	t.dialing = nil
	t.failures++
	if err == nil {
		t.failures = 0
	}
	t.next = time.Now().Add(backoff(t.failures, rand.Float64()))
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
	return dialSession(countedConn{conn, &p.counter}, p.hello())
}

func (p *Peers) hello() *Hello {
	return &Hello{Lowest: lowestVersion, Highest: highestVersion, Name: p.set.Name, Domain: p.set.Domain, Incarnation: p.set.Incarnation}
}

// listen accepts sessions until the bus stops.
func (p *Peers) listen() error {
	slots := make(chan struct{}, maxSessions)
	for {
		conn, err := p.socket.Accept()
		if p.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			yuccapause.For(p.ctx, firstBackoff)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		p.group.Go(func() error {
			defer func() { <-slots }()
			p.welcome(conn)
			return nil
		})
	}
}

func (p *Peers) welcome(conn net.Conn) {
	s, err := acceptSession(p.ctx, countedConn{conn, &p.counter}, p.hello())
	if err != nil {
		if p.ctx.Err() == nil {
			p.log.Warn().Err(err).Str("addr", conn.RemoteAddr().String()).Msg("peer_dropped")
		}
		return
	}
	if !p.adopt(s) {
		s.close()
		return
	}
	p.carry(s)
}

// carry runs an adopted session to its end.
func (p *Peers) carry(s *session) {
	p.log.Info().Str("peer", s.peer.Name).Msg("peer_connected")
	err := s.run(p.ctx, p)
	p.release(s)
	if p.ctx.Err() != nil {
		return
	}
	event := p.log.Info()
	name := "peer_lost"
	if yuccaerror.Is(err, yuccaerror.Protocol) {
		event, name = p.log.Warn(), "peer_dropped"
	}
	event.AnErr("error", err).Str("peer", s.peer.Name).Msg(name)
	p.rewire()
}

// adopt makes s the session to its peer and reports whether it did.
func (p *Peers) adopt(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.sessions[s.peer.Name]
	if p.ctx.Err() != nil || ok && !replaces(p.set.Name, s, old) {
		return false
	}
	if ok {
		old.close()
	}
	p.sessions[s.peer.Name] = s
	return true
}

// replaces reports whether a new session takes the place of an old one. Both
// ends decide alike: a later run of the peer wins, then the session that the
// entry with the lower name dialed, then the newer.
func replaces(self string, s, old *session) bool {
	if s.peer.Incarnation != old.peer.Incarnation {
		return s.peer.Incarnation > old.peer.Incarnation
	}
	return s.dialed == old.dialed || s.dialed == (self < s.peer.Name)
}

func (p *Peers) release(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[s.peer.Name] == s {
		delete(p.sessions, s.peer.Name)
	}
}

// closeIdle closes the sessions that calls opened and no longer need.
func (p *Peers) closeIdle() {
	for _, s := range p.all() {
		p.mu.Lock()
		_, wanted := p.mesh.wanted(s.peer.Name)
		p.mu.Unlock()
		if s.dialed && !wanted && len(p.set.Seeds) == 0 && s.idle() > keepIdle {
			s.close()
		}
	}
}

// session returns the session to a peer and opens one where there is none.
func (p *Peers) session(ctx context.Context, name string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.mu.Lock()
	s, addr := p.sessions[name], p.addr(name)
	if s != nil || addr == "" {
		p.mu.Unlock()
		if s == nil {
			return nil, yuccaerror.New(yuccaerror.Unreachable, "entry %s is not known", name)
		}
		return s, nil
	}
	t := p.target(name, time.Now())
	p.attempt(name, addr, t)
	dialing := t.dialing
	p.mu.Unlock()
	if dialing == nil {
		return nil, yuccaerror.New(yuccaerror.Unreachable, "the bus has stopped")
	}
	select {
	case <-dialing:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sessions[name]; s != nil {
		return s, nil
	}
	return nil, yuccaerror.New(yuccaerror.Unreachable, "entry %s: no session", name)
}

// addr returns the address of a peer. The caller holds mu.
func (p *Peers) addr(name string) string {
	for _, e := range p.view {
		if e.Name == name {
			return e.Peer
		}
	}
	return ""
}
